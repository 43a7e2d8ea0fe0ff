"""The load of the services that the upstream on this VM calls."""

from __future__ import annotations

import dataclasses

FADE_SECONDS = 0.3
"""A load that was not heard again for so long no longer counts."""
WEIGHT = 0.1
"""Of one answer in the average for its route."""


@dataclasses.dataclass(slots=True)
class Heard:
    """The averaged load of one inner route, and when it was last heard."""

    load: float
    at: float


@dataclasses.dataclass(slots=True)
class Chains:
    """Loads heard with answers on inner routes, by route."""

    heard: dict[str, Heard] = dataclasses.field(default_factory=dict)


def hear_inner(chains: Chains, route: str, load: float, now: float) -> None:
    """Note the load that came with the answer to an upstream's call."""
    known = chains.heard.get(route)
    if known is None:
        chains.heard[route] = Heard(load, now)
        return
    known.load += WEIGHT * (load - known.load)
    known.at = now


def below(chains: Chains, now: float) -> float:
    """Return the greatest load among the services called from here."""
    return max(
        (
            known.load
            for known in chains.heard.values()
            if now - known.at < FADE_SECONDS
        ),
        default=0.0,
    )
