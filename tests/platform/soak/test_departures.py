"""Tests of what the soak takes for work for clients that left."""

from __future__ import annotations

import dataclasses

import pytest

from tests.platform.soak import departures
from tests.platform.soak import disruptions
from tests.platform.soak import losses

ENTRANCE = "127.20.1.2"
HOST = "127.20.1.3"
LEFT_AT = 100.0
LINK = disruptions.Kind.LINK


class _World:
    """The oracles of clients that left ``ENTRANCE``, on a set clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = LEFT_AT
        for module in (departures, disruptions, losses):
            monkeypatch.setattr(module, "_now", lambda: self.now)
        self.record = disruptions.Record()
        self.losses = losses.Oracle(self.record)
        self.oracle = departures.Oracle(self.record)

    def leave(self, key: str) -> None:
        """Note a request whose client leaves at once."""
        self.now = LEFT_AT
        self.losses.began(key, "deep", ENTRANCE, LEFT_AT - 0.2, 2.0)
        self.oracle.left(key)

    def work(self, key: str, begin: float, due: float, end: float) -> None:
        """Note work of the instance; seconds from when the client left."""
        self.now = LEFT_AT + begin
        with self.losses.at_work(key, HOST) as work:
            work.due_at = LEFT_AT + due
            self.now = LEFT_AT + end

    def broken(self, idempotent: bool = True) -> int:
        """Return how many rules were broken."""
        lives = self.losses.lives
        keys = frozenset(lives if idempotent else ())
        return len(self.oracle.broken(lives, keys))


@dataclasses.dataclass(frozen=True)
class Case:
    """Requests that arrive; seconds from when their clients left."""

    name: str
    count: int
    arrives: float
    broken: int
    host: str = ""
    disrupted: float = 0.0


ARRIVALS = (
    Case("four late", 4, 0.51, 4),
    Case("three late", 3, 0.51, 0),
    Case("four in time", 4, 0.5, 0),
    Case("entrance disrupted", 4, 0.51, 0, ENTRANCE, -2.9),
    Case("entrance disrupted before", 4, 0.51, 4, ENTRANCE, -3.1),
    Case("instance's daemon disrupted", 4, 0.51, 0, HOST, 0.3),
    Case("another daemon disrupted", 4, 0.51, 4, "127.20.1.4", 0.3),
)


@pytest.mark.parametrize("case", ARRIVALS, ids=lambda case: case.name)
def test_requests_that_arrive_long_after_their_clients_left_are_found(
    monkeypatch: pytest.MonkeyPatch, case: Case
) -> None:
    world = _World(monkeypatch)
    if case.host:
        world.now = LEFT_AT + case.disrupted
        world.record.note(case.host, LINK)
    for number in range(case.count):
        world.leave(f"{number}")
        world.now = LEFT_AT + case.arrives
        world.oracle.arrived(f"{number}", HOST)
    assert world.broken() == case.broken


@pytest.mark.parametrize(
    ("begin", "due", "end", "broken"),
    [
        (-0.1, 1.0, 0.51, 2),
        (-0.1, 1.0, 0.5, 0),
        (-0.1, 0.5, 0.6, 0),
        (0.4, 1.0, 1.0, 2),
        (0.51, 1.0, 1.0, 0),
    ],
)
def test_work_long_after_the_client_left_is_found(
    monkeypatch: pytest.MonkeyPatch,
    begin: float,
    due: float,
    end: float,
    broken: int,
) -> None:
    """Two of seven are more than a quarter."""
    world = _World(monkeypatch)
    for number in range(7):
        world.leave(f"{number}")
        if number < 2:
            world.work(f"{number}", begin, due, end)
        else:
            world.work(f"{number}", -0.1, 1.0, 0.01)
    assert world.broken() == broken


@pytest.mark.parametrize(
    ("late", "count", "idempotent", "broken"),
    [(1, 4, True, 0), (2, 8, True, 0), (2, 7, True, 2), (7, 7, False, 0)],
)
def test_a_quarter_of_the_instances_may_still_be_at_work(
    monkeypatch: pytest.MonkeyPatch,
    late: int,
    count: int,
    idempotent: bool,
    broken: int,
) -> None:
    world = _World(monkeypatch)
    for number in range(count):
        world.leave(f"{number}")
        world.work(f"{number}", -0.1, 1.0, 1.0 if number < late else 0.1)
    assert world.broken(idempotent) == broken
