"""What the daemon asks of an entrance beside calls under way."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.calls import _entrances
from sassafrasstair.decisions.calls import _floors
from sassafrasstair.decisions.calls import _routing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages


def choose_target(
    entrance: _entrances.Entrance,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _messages.Target | None:
    """Return an instance to ask for a ticket, None if none is usable."""
    return _routing.pick_target(entrance.routes, targets, tried, now, rng)


def floors(
    entrance: _entrances.Entrance, now: float
) -> dict[tuple[str, str, str], float]:
    """Return the floor heard of each (service, class, tenant)."""
    return {
        key: _floors.of_service(entrance.floors, key, now)
        for key in list(entrance.floors.by_class)
    }


def retry_tokens(entrance: _entrances.Entrance) -> dict[str, float]:
    """Return what is left of the retry budget towards each service."""
    return {
        service: budget.tokens for service, budget in entrance.budgets.items()
    }
