"""What the daemon asks of an entrance beside calls under way."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.calls import _entrances
from sassafrasstair.decisions.calls import _routing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages


def choose(
    entrance: _entrances.Entrance,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _messages.Target | None:
    """Return an instance to ask for a ticket, None if none is usable."""
    return _routing.pick(entrance.routes, targets, tried, now, rng)


def floors(
    entrance: _entrances.Entrance, now: float
) -> dict[tuple[str, str], float]:
    """Return the floor heard from each (service, class)."""
    return {
        (service, request_class): _entrances.floor(
            entrance, service, request_class, now
        )
        for service, request_class in entrance.floors
    }


def floor_below(
    entrance: _entrances.Entrance,
    services: abc.Iterable[str],
    request_class: str,
    now: float,
) -> float:
    """Return the greatest floor heard from ``services`` for a class.

    ``services`` are those that this VM's own upstream calls. Its daemon's
    answers pass the floor on, so that the first entrance of the chain
    refuses what the last service would. Floors heard from other services,
    for callers that use this daemon as their entrance, stay out: two
    daemons that enter calls to each other would keep a floor alive for
    ever.
    """
    return max(
        (
            _entrances.floor(entrance, service, request_class, now)
            for service in services
        ),
        default=0.0,
    )


def retry_tokens(entrance: _entrances.Entrance) -> dict[str, float]:
    """Return what is left of the retry budget towards each service."""
    return {
        service: budget.tokens for service, budget in entrance.budgets.items()
    }
