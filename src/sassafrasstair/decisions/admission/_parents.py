"""Finds the request that an upstream's call is part of, by its deadline.

The importance of a call is that of its parent request. Without it, a service
deep in a chain that gets several calls for each request may serve the calls
of unimportant requests first during a surge. An important request with eight
calls then fails although the service had room for all important requests.

An upstream's calls normally expire together with their parent request, and
the daemon on the same VM knows the deadline of each request that runs there.
A call that expires earlier has a deadline of its own, which means that its
parent has much time left. In this case the parent is taken to be the request
with the most time left, among the routes whose requests are known to make
such calls. A call that is assigned to the wrong parent gets the rank of
another request that is running on the same VM.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections import abc

EARLY_SECONDS = 0.002
USUAL_SECONDS = 0.0012
LATE_SECONDS = 0.0003
"""A call appears to expire up to ``EARLY_SECONDS`` before its request,
usually by ``USUAL_SECONDS``, or up to ``LATE_SECONDS`` after it. The
remaining time is passed on twice in whole milliseconds, rounded down. Of
1,000 calls, one in a hundred was read so late that it appeared to expire
after its request."""

CHANCE_OFFSET_SECONDS = 0.01
"""A request that expires this much later than a call is not its parent.
Counting such requests shows how many match a call by chance alone."""
CHANCE_FACTOR = 1.5
CHANCE_SLACK = 2.0
"""The requests of a route count as making calls if the number that expire
together with a call exceeds the number expected by chance, by this factor
and this constant."""
HALVE_AT = 400
"""The counts are halved after this many calls, so that they follow changes."""


class RunningRequest(typing.Protocol):
    """A request that runs at the upstream on this VM."""

    @property
    def deadline(self) -> float: ...
    @property
    def rank(self) -> float: ...
    @property
    def route(self) -> str: ...


@dataclasses.dataclass(slots=True)
class Counts:
    """Statistics on the calls of one route.

    ``matches`` counts the requests that expired together with a call, by
    their route, and ``chance_matches`` those that expired
    ``CHANCE_OFFSET_SECONDS`` after a call, which match by chance.
    """

    calls: int = 0
    matches: dict[str, float] = dataclasses.field(default_factory=dict)
    chance_matches: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Parents:
    """The statistics on calls, by the route of the call."""

    counts: dict[str, Counts] = dataclasses.field(default_factory=dict)


def parent_rank(
    parents: Parents,
    route: str,
    expires: float,
    running: abc.Sequence[RunningRequest],
) -> float | None:
    """Return the rank of the request that a call is part of.

    ``expires`` is the deadline of the call. Returns None if no request is
    running.
    """
    if not running:
        return None
    counts = parents.counts.setdefault(route, Counts())
    matches, chance_matches = _matching_requests(expires, running)
    _count(counts, matches, chance_matches)
    if matches:
        usual_deadline = expires + USUAL_SECONDS
        return min(
            matches, key=lambda each: abs(each.deadline - usual_deadline)
        ).rank
    if counts.calls >= HALVE_AT / 2:
        calling_routes = _calling_routes(counts)
        running = [
            each for each in running if each.route in calling_routes
        ] or running
    return max(running, key=lambda each: each.deadline).rank


def _matching_requests(
    expires: float, running: abc.Iterable[RunningRequest]
) -> tuple[list[RunningRequest], list[RunningRequest]]:
    """Return the requests that match a call, and those that match by chance.

    The first ones expire together with the call, the others
    ``CHANCE_OFFSET_SECONDS`` later. Both are found in one pass, because about
    100 requests run on a busy VM and each call must check all of them.
    """
    matches, chance_matches = [], []
    for request in running:
        gap = request.deadline - expires
        if gap < -LATE_SECONDS:
            continue
        if gap <= EARLY_SECONDS:
            matches.append(request)
        elif -LATE_SECONDS <= gap - CHANCE_OFFSET_SECONDS <= EARLY_SECONDS:
            chance_matches.append(request)
    return matches, chance_matches


def _calling_routes(counts: Counts) -> set[str]:
    """Return the routes whose requests make calls of this route."""
    return {
        route
        for route, count in counts.matches.items()
        if count
        > CHANCE_FACTOR * counts.chance_matches.get(route, 0.0) + CHANCE_SLACK
    }


def _count(
    counts: Counts,
    matches: abc.Iterable[RunningRequest],
    chance_matches: abc.Iterable[RunningRequest],
) -> None:
    counts.calls += 1
    for table, found in (
        (counts.matches, matches),
        (counts.chance_matches, chance_matches),
    ):
        for request in found:
            table[request.route] = table.get(request.route, 0.0) + 1.0
    if counts.calls >= HALVE_AT:
        counts.calls //= 2
        for table in (counts.matches, counts.chance_matches):
            for name in table:
                table[name] /= 2.0
