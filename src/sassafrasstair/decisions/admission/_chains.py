"""The load of the services that the upstream on this VM calls.

Loads are kept separately for each importance of the request that a call is
part of: the waiting time of less important calls is no reason to refuse more
important requests.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions.admission import _averages

FADE_SECONDS = 0.3
"""A load that has not been reported for this long no longer counts."""
MIN_WEIGHT = 0.1
"""The least weight of one answer in the average, even if many answers arrive
at the same moment."""

LoadKey = tuple[str, int]
"""A route, and the importance of the requests that the calls are part of."""


@dataclasses.dataclass(slots=True)
class AveragedLoad:
    """The average load of one inner route, and when it was last reported."""

    load: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class CalleeLoads:
    """Loads reported with answers on inner routes.

    ``inner_routes`` are the routes that only upstreams call, according to
    the last answer on each.
    """

    loads: dict[LoadKey, AveragedLoad] = dataclasses.field(
        default_factory=dict
    )
    inner_routes: set[str] = dataclasses.field(default_factory=set)


def observe_inner_load(
    chains: CalleeLoads, route: str, importance: int, load: float, now: float
) -> None:
    """Add the load reported with the answer to an upstream's call."""
    chains.inner_routes.add(route)
    average = chains.loads.get((route, importance))
    if average is None:
        chains.loads[route, importance] = AveragedLoad(load, now)
        return
    weight = _averages.weight(now - average.heard_at, MIN_WEIGHT)
    average.load += weight * (load - average.load)
    average.heard_at = now


def mark_called_by_clients(chains: CalleeLoads, route: str) -> None:
    """Record that clients call the route too."""
    chains.inner_routes.discard(route)


def called_only_by_upstreams(chains: CalleeLoads, route: str) -> bool:
    """Return whether the last answer said that only upstreams call it."""
    return route in chains.inner_routes


def busiest_callee_load(
    chains: CalleeLoads, importance: int, now: float
) -> float:
    """Return the greatest load among the services called from here.

    Only loads reported for requests of the given importance count.
    """
    return max(
        (
            average.load
            for (_, known_importance), average in chains.loads.items()
            if known_importance == importance
            and now - average.heard_at < FADE_SECONDS
        ),
        default=0.0,
    )
