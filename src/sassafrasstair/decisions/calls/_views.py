"""Queries on the state of an entrance, for tickets and the status page."""

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
    """Return the instance to ask for a ticket, or None if none is usable."""
    return _routing.pick_target(entrance.routes, targets, tried, now, rng)


def floors(
    entrance: _entrances.Entrance, now: float
) -> dict[tuple[str, str, str], float]:
    """Return the reported shed floor of each (service, class, tenant)."""
    return {
        key: _floors.of_service(entrance.floors, key, now)
        for key in list(entrance.floors.by_class)
    }


def retry_tokens(entrance: _entrances.Entrance) -> dict[str, float]:
    """Return the tokens left in the retry budget of each service."""
    return {
        service: budget.tokens for service, budget in entrance.budgets.items()
    }
