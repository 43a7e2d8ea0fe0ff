"""How many calls an upstream makes for a request of each route.

Nothing in a call names the request that it is part of. An upstream that
makes the calls of a request one by one sends the next one, or the answer to
the request, right after the last call was answered. So calls that follow
each other closely form a chain, and the request that ends right after the
chain's last answer made it.

Where much is under way, some request ends right after the answer to a call of
another one. How often that happens by chance is counted at moments that have
nothing to do with answers, the starts of requests, and subtracted.
"""

from __future__ import annotations

import collections
import dataclasses

FOLLOW_SECONDS = 0.002
"""What an upstream does within this time after an answer counts as the next
step of the same request."""
MIN_RUNS = 20
"""Ended requests of a route after which its number of calls is known."""
AVERAGE_RUNS = 100
"""The number of requests over which calls are averaged."""
CHANCE_MAX = 0.8
MIN_CALLS = 0.2
"""With fewer calls, a route is taken to make none: chance leaves some."""
SCALE_MAX = 4.0
"""The greatest factor by which counts are corrected for calls that were
given to no request."""


@dataclasses.dataclass(slots=True)
class Chain:
    """Calls of one request; ``answered_at`` is the last one's answer."""

    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    answered_at: float = 0.0


@dataclasses.dataclass(slots=True)
class RouteCalls:
    """Averages of the calls that requests of one route make, by route."""

    runs: int = 0
    calls: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Chance:
    """What is found right before a moment that has nothing to do with it.

    ``found`` is the share of such moments with a chain that may go on, and
    ``calls`` the averages of its calls, by route.
    """

    samples: int = 0
    found: float = 0.0
    calls: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Total:
    """Calls of one route that were made, and those given to a request."""

    made: float = 0.0
    given: float = 0.0


@dataclasses.dataclass(slots=True)
class CallChains:
    """State of what this VM's upstream calls.

    ``open`` are the chains with a call under way, by the call's id, and
    ``answered`` those whose last call was answered, oldest first.
    """

    open: dict[bytes, Chain] = dataclasses.field(default_factory=dict)
    answered: collections.deque[Chain] = dataclasses.field(
        default_factory=collections.deque
    )
    routes: dict[str, RouteCalls] = dataclasses.field(default_factory=dict)
    totals: dict[str, Total] = dataclasses.field(default_factory=dict)
    chance: Chance = dataclasses.field(default_factory=Chance)


def run_started(chains: CallChains, now: float) -> None:
    """Record that the upstream begins to run a request."""
    chance = chains.chance
    chance.samples += 1
    weight = max(1.0 / chance.samples, 1.0 / AVERAGE_RUNS)
    chain = _first_answered(chains, now)
    chance.found += weight * ((chain is not None) - chance.found)
    _average(chance.calls, {} if chain is None else chain.calls, weight)


def call_started(
    chains: CallChains, call_id: bytes, route: str, now: float
) -> None:
    """Record a call of the upstream on ``route``."""
    chain = _take_answered(chains, now) or Chain()
    chain.calls[route] = chain.calls.get(route, 0) + 1
    chains.open[call_id] = chain
    total = chains.totals.setdefault(route, Total())
    total.made += 1.0
    if total.made >= 10 * AVERAGE_RUNS:
        total.made /= 2.0
        total.given /= 2.0


def call_answered(chains: CallChains, call_id: bytes, now: float) -> None:
    """Record that a call was answered; unknown ones are ignored."""
    chain = chains.open.pop(call_id, None)
    if chain is not None:
        chain.answered_at = now
        chains.answered.append(chain)


def run_ended(
    chains: CallChains, route: str, succeeded: bool, now: float
) -> None:
    """Record that the upstream has answered a request of ``route``.

    One that failed may have made fewer calls than usual, and is not counted.
    """
    chain = _take_answered(chains, now)
    if not succeeded:
        return
    counts = chains.routes.setdefault(route, RouteCalls())
    counts.runs += 1
    weight = max(1.0 / counts.runs, 1.0 / AVERAGE_RUNS)
    made = {} if chain is None else chain.calls
    for called, number in made.items():
        chains.totals.setdefault(called, Total()).given += number
    _average(counts.calls, made, weight)


def calls_per_run(chains: CallChains, route: str) -> dict[str, float]:
    """Return how many calls a request of the route makes, by their route.

    Empty until enough requests have ended.
    """
    counts = chains.routes.get(route)
    if counts is None or counts.runs < MIN_RUNS:
        return {}
    chance = chains.chance
    known = {}
    for called, number in counts.calls.items():
        own = number - chance.calls.get(called, 0.0)
        own /= max(1.0 - CHANCE_MAX, 1.0 - chance.found)
        if own >= MIN_CALLS:
            known[called] = own * _scale(chains.totals[called])
    return known


def _average(
    averages: dict[str, float], values: dict[str, int], weight: float
) -> None:
    for called in values:
        averages.setdefault(called, 0.0)
    for called in averages:
        averages[called] += weight * (values.get(called, 0) - averages[called])


def _scale(total: Total) -> float:
    """Return the correction for calls that were given to no request."""
    if total.given <= 0.0:
        return 1.0
    return min(SCALE_MAX, max(1.0, total.made / total.given))


def _take_answered(chains: CallChains, now: float) -> Chain | None:
    """Remove and return the chain that was answered first and may go on."""
    if _first_answered(chains, now) is None:
        return None
    return chains.answered.popleft()


def _first_answered(chains: CallChains, now: float) -> Chain | None:
    """Return the chain that was answered first and may go on now."""
    while chains.answered:
        if now - chains.answered[0].answered_at <= FOLLOW_SECONDS:
            return chains.answered[0]
        chains.answered.popleft()
    return None
