"""Whose part an upstream's call is, told by when it expires.

Load pattern: a surge at a service deep in a chain that is asked several times
for one request. Without knowing whose part a call is, its queue serves calls
of requests that matter little before those of important ones, and an
important request with eight calls fails although the service had room for
all of its kind.

An upstream's calls expire with the request that they are part of, and the
daemon beside it knows when each request that runs there expires. A call that
expires sooner is bounded by a deadline of its own; then its request has much
time left, and the one that has most is taken, of the routes whose requests
are known to make such calls. A call that is given to a wrong request has the
rank of one that runs there too.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections import abc

EARLY_SECONDS = 0.002
USUAL_SECONDS = 0.0012
LATE_SECONDS = 0.0003
"""By so much a call seems to expire before its request, at most and usually,
and after it: times are handed on twice in whole milliseconds, rounded down.
Of 1,000 calls one in a hundred was read so late that it seemed to expire
after it."""

CHANCE_OFFSET_SECONDS = 0.01
"""So much later than a call a request expires beside it by chance alone."""
CHANCE_FACTOR = 1.5
CHANCE_SLACK = 2.0
"""Requests of a route make calls if more of them expire with one than by
chance, by this factor and this number."""
HALVE_AT = 400
"""Calls after which the counts are halved, so that they follow changes."""


class RunningRequest(typing.Protocol):
    """A request at the own upstream; ``deadline`` is when it expires."""

    @property
    def deadline(self) -> float: ...
    @property
    def rank(self) -> float: ...
    @property
    def route(self) -> str: ...


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests that expired with calls, and beside one by chance, by route."""

    calls: int = 0
    matches: dict[str, float] = dataclasses.field(default_factory=dict)
    chance_matches: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Parents:
    """What was counted for the calls of each route."""

    counts: dict[str, Counts] = dataclasses.field(default_factory=dict)


def parent_rank(
    parents: Parents,
    route: str,
    expires: float,
    running: abc.Sequence[RunningRequest],
) -> float | None:
    """Return the rank of the request that a call is part of.

    ``expires`` is the instant at which the call does. None if nothing runs.
    """
    if not running:
        return None
    counts = parents.counts.setdefault(route, Counts())
    together, chance = _expiring_near(expires, running)
    _count(counts, together, chance)
    if together:
        usual = expires + USUAL_SECONDS
        return min(together, key=lambda each: abs(each.deadline - usual)).rank
    if counts.calls >= HALVE_AT / 2:
        callers = _callers(counts)
        running = [
            each for each in running if each.route in callers
        ] or running
    return max(running, key=lambda each: each.deadline).rank


def _expiring_near(
    expires: float, running: abc.Iterable[RunningRequest]
) -> tuple[list[RunningRequest], list[RunningRequest]]:
    """Return the requests that expire with a call, and so much later.

    One pass: some 100 requests run on a busy VM, and each call looks at all.
    """
    together, chance = [], []
    for request in running:
        gap = request.deadline - expires
        if gap < -LATE_SECONDS:
            continue
        if gap <= EARLY_SECONDS:
            together.append(request)
        elif -LATE_SECONDS <= gap - CHANCE_OFFSET_SECONDS <= EARLY_SECONDS:
            chance.append(request)
    return together, chance


def _callers(counts: Counts) -> set[str]:
    """Return the routes whose requests make such calls."""
    return {
        route
        for route, together in counts.matches.items()
        if together
        > CHANCE_FACTOR * counts.chance_matches.get(route, 0.0) + CHANCE_SLACK
    }


def _count(
    counts: Counts,
    together: abc.Iterable[RunningRequest],
    chance: abc.Iterable[RunningRequest],
) -> None:
    counts.calls += 1
    for table, found in (
        (counts.matches, together),
        (counts.chance_matches, chance),
    ):
        for request in found:
            table[request.route] = table.get(request.route, 0.0) + 1.0
    if counts.calls >= HALVE_AT:
        counts.calls //= 2
        for table in (counts.matches, counts.chance_matches):
            for name in table:
                table[name] /= 2.0
