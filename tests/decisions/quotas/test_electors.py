"""Parts of a share that allocators with different votes hand out."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import typing

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import quotas
from sassafrasstair.decisions.quotas import _votes

HOSTS = ("a", "b", "c", "d", "e", "f", "g")
ALLOCATORS = ("a", "b", "g")
BOUND = _votes.BOUND_SECONDS
ALL_AT_ONCE = 1.0 + 1e-9
STEP_SECONDS = 0.4


@dataclasses.dataclass(frozen=True)
class Event:
    """What changes for a few daemons, and for how long all goes on after it.

    ``forth`` and ``back`` are the seconds that their messages take to the
    allocator and back, ``math.inf`` if these are lost.
    """

    kind: str
    hosts: tuple[str, ...]
    allocator: str
    forth: float
    back: float
    steps: int


_DELAYS = (0.0, 0.0, 0.3, 1.5, math.inf)
_EVENTS = strategies.lists(
    strategies.builds(
        Event,
        strategies.sampled_from(["link", "heal", "end", "start", "prefer"]),
        strategies.sampled_from(
            [HOSTS[:1], HOSTS[1:3], HOSTS[:5], HOSTS[3:], HOSTS]
        ),
        strategies.sampled_from(ALLOCATORS),
        strategies.sampled_from(_DELAYS),
        strategies.sampled_from(_DELAYS),
        strategies.integers(0, 12),
    ),
    min_size=4,
    max_size=16,
)


class Domain:
    """Daemons that vote, end, start and stall, and their allocators."""

    def __init__(self) -> None:
        self.now = 1.0
        self.ballots: dict[str, quotas.Ballot | None] = {
            host: quotas.new_ballot(-BOUND) for host in HOSTS
        }
        self.votes = {host: _votes.Votes(HOSTS) for host in ALLOCATORS}
        self.preferred = dict.fromkeys(HOSTS, ALLOCATORS[0])
        self.links: dict[tuple[str, str], tuple[float, float]] = {}
        self._order = itertools.count()
        self._due: list[tuple[float, int, typing.Callable[[], None]]] = []

    def after(self, seconds: float, step: typing.Callable[[], None]) -> None:
        """Do a step later; never if its message is lost."""
        if seconds < math.inf:
            due = (self.now + seconds, next(self._order), step)
            heapq.heappush(self._due, due)

    def advance(self, seconds: float) -> None:
        """Let time pass, and check all parts at each step."""
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            self.now, _, step = heapq.heappop(self._due)
            step()
            self.check()
        self.now = until
        self.check()

    def check(self) -> None:
        """Check that the parts add up to no more than the share."""
        parts = [
            _votes.voted_share(votes, self.now)
            for votes in self.votes.values()
        ]
        assert sum(parts) <= ALL_AT_ONCE

    def ask(self, host: str) -> None:
        """Let a daemon ask its allocator, with its vote if it has one."""
        ballot, allocator = self.ballots[host], self.preferred[host]
        if ballot is None:
            return
        forth, back = self.links.get((host, allocator), (0.0, 0.0))
        stamp = quotas.cast_vote(ballot, allocator, self.now)

        def answer() -> None:
            answered_at = self.now
            votes = self.votes[allocator]
            _votes.count_vote(votes, host, stamp, self.now)
            self.after(
                back,
                lambda: quotas.receive_stamp(
                    ballot, allocator, answered_at, self.now
                ),
            )

        self.after(forth, answer)

    def connect(self, host: str, allocator: str) -> None:
        """Let an allocator connect to a daemon, which may be refused."""
        connected_at = self.now
        back, forth = self.links.get((host, allocator), (0.0, 0.0))

        def arrive() -> None:
            if self.ballots[host] is None:
                self.after(back, refuse)

        def refuse() -> None:
            votes = self.votes[allocator]
            _votes.record_refusal(votes, host, connected_at, self.now)

        self.after(forth, arrive)

    def step(self) -> None:
        """Let all daemons ask, and all allocators check who is down."""
        for host in HOSTS:
            self.ask(host)
        for allocator, votes in self.votes.items():
            for host in _votes.hosts_to_canvass(votes, self.now):
                self.connect(host, allocator)
        self.advance(STEP_SECONDS)

    def apply(self, event: Event) -> None:
        """Apply an event."""
        for host in event.hosts:
            if event.kind == "link":
                link = (event.forth, event.back)
                self.links[host, event.allocator] = link
            elif event.kind == "end":
                self.ballots[host] = None
            elif event.kind == "start" and self.ballots[host] is None:
                self.ballots[host] = quotas.new_ballot(self.now)
            elif event.kind == "prefer":
                self.preferred[host] = event.allocator
        if event.kind == "heal":
            self.links.clear()


@hypothesis.settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)
@hypothesis.given(events=_EVENTS)
def test_parts_of_all_allocators_never_exceed_the_share(
    events: list[Event],
) -> None:
    """Two allocators must not take the place of the same dead daemons.

    Messages are late or lost in either direction, as in cuts and stalls.
    """
    domain = Domain()
    for event in events:
        domain.apply(event)
        for _ in range(event.steps):
            domain.step()


def _refused(
    votes: _votes.Votes, host: str, times: tuple[tuple[float, float], ...]
) -> None:
    for connected_at, refused_at in times:
        _votes.record_refusal(votes, host, connected_at, refused_at)


_LONG = ((1.0, 1.0), (2.0, 2.0), (3.1, 3.1))


@pytest.mark.parametrize(
    ("refused", "now", "expected"),
    [
        ((), 3.5, 0.8),
        (_LONG[:1], 2.0, 0.8),
        (_LONG[:2], 3.0, 0.8),
        (_LONG, 3.1, 1.0),
        (_LONG, 5.0, 1.0),
        (_LONG, 5.1, 0.8),
        ((*_LONG[:2], (2.5, 3.1)), 4.4, 1.0),
        ((*_LONG[:2], (2.5, 3.1)), 4.6, 0.8),
        ((_LONG[0], _LONG[2]), 3.1, 0.8),
    ],
)
def test_daemon_that_refuses_for_as_long_as_a_vote_is_no_elector(
    refused: tuple[tuple[float, float], ...], now: float, expected: float
) -> None:
    """The share of a daemon that ended would be lost until it starts again.

    Its place among the electors is that of the next daemon.
    """
    votes = _votes.Votes(HOSTS)
    _refused(votes, "a", refused)
    for host in "bcdef":
        _votes.count_vote(votes, host, now, now)
    assert _votes.voted_share(votes, now) == pytest.approx(expected)


def test_daemons_without_a_vote_are_canvassed() -> None:
    """A daemon without requests would not know that it has to vote."""
    votes = _votes.Votes(HOSTS)
    for host in "bcd":
        _votes.count_vote(votes, host, 2.5, 2.5)
    assert _votes.hosts_to_canvass(votes, 3.1) == ["a", "e"]
    _refused(votes, "a", _LONG)
    assert _votes.hosts_to_canvass(votes, 3.1) == ["a", "e", "f"]
