"""The load of the services that the upstream on this VM calls.

Kept by the importance of the request that a call is part of: the wait of
calls that matter less is no reason to refuse what matters more.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions.admission import _averages

FADE_SECONDS = 0.3
"""A load that was not heard again for so long no longer counts."""
MIN_WEIGHT = 0.1
"""Of one answer in the average, however many come in one moment."""

LoadKey = tuple[str, int]
"""A route, and the importance of the requests that the calls are part of."""


@dataclasses.dataclass(slots=True)
class AveragedLoad:
    """The averaged load of one inner route, and when it was last heard."""

    load: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class CalleeLoads:
    """Loads heard with answers on inner routes."""

    loads: dict[LoadKey, AveragedLoad] = dataclasses.field(
        default_factory=dict
    )
    inner_routes: set[str] = dataclasses.field(default_factory=set)


def observe_inner_load(
    chains: CalleeLoads, route: str, level: int, load: float, now: float
) -> None:
    """Note the load that came with the answer to an upstream's call."""
    chains.inner_routes.add(route)
    known = chains.loads.get((route, level))
    if known is None:
        chains.loads[route, level] = AveragedLoad(load, now)
        return
    weight = _averages.weight(now - known.heard_at, MIN_WEIGHT)
    known.load += weight * (load - known.load)
    known.heard_at = now


def mark_called_by_clients(chains: CalleeLoads, route: str) -> None:
    """Note that clients call the route too."""
    chains.inner_routes.discard(route)


def called_only_by_upstreams(chains: CalleeLoads, route: str) -> bool:
    """Return whether only upstreams call the route, as far as was told."""
    return route in chains.inner_routes


def busiest_callee_load(chains: CalleeLoads, level: int, now: float) -> float:
    """Return the greatest load among the services called from here.

    As requests of the importance ``level`` meet it.
    """
    return max(
        (
            known.load
            for (_, known_level), known in chains.loads.items()
            if known_level == level and now - known.heard_at < FADE_SECONDS
        ),
        default=0.0,
    )
