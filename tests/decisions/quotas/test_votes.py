"""Votes for the allocator of a failure domain without peers."""

from __future__ import annotations

import dataclasses
import heapq
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import quotas
from sassafrasstair.decisions.quotas import _votes

HOSTS = ("a", "b", "c")
CUSTOMER = "one"
LIMIT = quotas.Limit(10.0, 20.0)
SECONDS = quotas.VOTE_SECONDS


@dataclasses.dataclass(frozen=True)
class Question:
    """One question of a voter; both ways take a time of their own."""

    pause: float
    allocator: str
    forth: float
    back: float
    restarts: bool


_QUESTIONS = strategies.lists(
    strategies.builds(
        Question,
        strategies.sampled_from([0.1, 0.4, 1.0]),
        strategies.sampled_from(HOSTS[:2]),
        strategies.sampled_from([0.0, 0.3, 1.5]),
        strategies.sampled_from([0.0, 0.0, 0.3, 1.5]),
        strategies.sampled_from([False] * 7 + [True]),
    ),
    min_size=10,
    max_size=30,
)


@hypothesis.settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)
@hypothesis.given(questions=_QUESTIONS)
def test_daemon_votes_for_one_allocator_at_a_time(
    questions: list[Question],
) -> None:
    """A late question must not count while its sender votes for another."""
    ballot = quotas.new_ballot(-SECONDS)
    votes = {host: _votes.Votes(frozenset(HOSTS)) for host in HOSTS}
    order = itertools.count()
    events: list[tuple[float, int, str, Question, float]] = []
    now = 1.0
    for question in questions:
        now += question.pause
        heapq.heappush(events, (now, next(order), "send", question, 0.0))
    while events:
        now, _, step, question, stamp = heapq.heappop(events)
        host, later = question.allocator, now
        if step == "send":
            if question.restarts:
                ballot = quotas.new_ballot(now)
            stamp = quotas.cast_vote(ballot, host, now)
            step, later = "arrive", now + question.forth
        elif step == "arrive":
            _votes.count_vote(votes[host], "a", stamp, now)
            step, later, stamp = "answer", now + question.back, now
        else:
            quotas.receive_stamp(ballot, host, stamp, now)
            step = ""
        if step:
            event = (later, next(order), step, question, stamp)
            heapq.heappush(events, event)
        ends = [each.expires_at.get("a", 0.0) for each in votes.values()]
        assert sum(end > now for end in ends) <= 1


@pytest.mark.parametrize(
    ("asked_at", "arrives_at", "counts"),
    [
        (1.5, 1.5, True),
        (1.5, SECONDS + 0.9, True),
        (1.5, SECONDS + 1.0, False),
        (SECONDS + 1.0, SECONDS + 1.0, False),
        (1.5, 0.5, False),
    ],
)
def test_vote_counts_from_the_time_of_its_stamp(
    asked_at: float, arrives_at: float, counts: bool
) -> None:
    """A question that waited at a paused allocator would count as a vote."""
    ballot = quotas.new_ballot(-SECONDS)
    votes = _votes.Votes(frozenset(HOSTS))
    assert quotas.cast_vote(ballot, "a", 0.5) == _votes.NO_STAMP
    quotas.receive_stamp(ballot, "a", 1.0, 1.0)
    stamp = quotas.cast_vote(ballot, "a", asked_at)
    _votes.count_vote(votes, "b", stamp, arrives_at)
    assert (_votes.voted_share(votes, arrives_at) > 0.0) is counts


def test_allocator_gains_nothing_for_the_time_without_votes() -> None:
    """A paused allocator woke with a bucket that was filled meanwhile."""
    shares = quotas.new_shares("d", "a", "m", ("d",), 0.0)
    allocator = quotas.new_allocator(shares)
    quotas.set_limits(allocator, {CUSTOMER: LIMIT}, 0.0)
    quotas.set_voters(allocator, frozenset(HOSTS), 0.0)

    def ask(host: str, wanted: int, stamp: float, now: float) -> int:
        need = quotas.Need(CUSTOMER, 10.0, 0, wanted)
        request = quotas.Ask(host, (need,), stamp)
        grants = quotas.answer_request(allocator, request, now)
        return sum(grant.tokens for grant in grants)

    for host in HOSTS:
        ask(host, 0, 1.0, 1.0)
    assert ask("a", 100, 0.0, 2.0) == pytest.approx(10, abs=1)
    assert ask("a", 100, 0.0, 9.0) == 0
    assert ask("a", 100, 8.9, 9.0) <= 1
