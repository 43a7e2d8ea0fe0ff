"""Retry budgets for each callee service, and spread Retry-After times."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair import bundles

REPEAT_DOUBLINGS_MAX = 3


@dataclasses.dataclass(slots=True)
class Budget:
    """Retry tokens towards one service; successes earn them."""

    tokens: float


def new_budget(rules: bundles.RetryBudget) -> Budget:
    """Return a full budget."""
    return Budget(float(rules.burst))


def earn(budget: Budget, rules: bundles.RetryBudget) -> None:
    """Note one success."""
    budget.tokens = min(float(rules.burst), budget.tokens + rules.ratio)


def spend(budget: Budget) -> bool:
    """Take one token; False when there is none."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def retries_to_grant(left: int, leaf: bool) -> int:
    """Return how many of the chain's ``left`` retries go with an attempt.

    A service that calls no other gets none. Else one is kept back: when
    the attempt is lost, what it was given counts as spent, and without
    one kept back no hop could retry a lost attempt.
    """
    if leaf or left <= 0:
        return 0
    return max(1, left - 1)


def retry_after(
    refusal: bundles.Refusal, repeat: int, rng: random.Random
) -> float:
    """Return seconds until the caller should come back.

    Spread evenly between the bundle's bounds, so that refused callers do
    not return together, and doubled with each repeat.
    """
    low = refusal.retry_after_min_ms / 1000
    high = refusal.retry_after_max_ms / 1000
    doublings = min(repeat, REPEAT_DOUBLINGS_MAX)
    return rng.uniform(low, high) * float(2**doublings)
