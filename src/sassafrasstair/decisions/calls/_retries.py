"""Retry budgets for each callee service, and spread Retry-After times."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair import bundles


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


def retry_after(
    refusal: bundles.Refusal, repeat: int, rng: random.Random
) -> float:
    """Return seconds until the caller should come back, spread evenly."""
    low = refusal.retry_after_min_ms / 1000
    high = refusal.retry_after_max_ms / 1000
    return rng.uniform(low, high)
