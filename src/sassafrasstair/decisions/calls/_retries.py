"""Retry budgets for each callee service, and randomized Retry-After times."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair import bundles

REPEAT_DOUBLINGS_MAX = 3


@dataclasses.dataclass(slots=True)
class Budget:
    """Retry tokens for calls to one service, earned by successful calls."""

    tokens: float


def new_budget(rules: bundles.RetryBudget) -> Budget:
    """Return a full budget."""
    return Budget(float(rules.burst))


def earn(budget: Budget, rules: bundles.RetryBudget) -> None:
    """Add the tokens that one successful call earns."""
    budget.tokens = min(float(rules.burst), budget.tokens + rules.ratio)


def spend(budget: Budget) -> bool:
    """Take one token; return False if there is none."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def retries_to_grant(retries_left: int, leaf: bool) -> int:
    """Return how many of the chain's ``retries_left`` an attempt may use.

    A service that calls no other (``leaf``) gets none. Otherwise one retry
    is kept back if there is more than one: if the attempt is lost, all
    retries granted to it count as spent, and without one kept back no hop
    could retry a lost attempt.
    """
    if leaf or retries_left <= 0:
        return 0
    return max(1, retries_left - 1)


def retry_after(
    refusal: bundles.Refusal, repeat: int, rng: random.Random
) -> float:
    """Return after how many seconds the caller should retry.

    The time is drawn uniformly between the bundle's bounds, so that refused
    callers do not return together, and doubles with each ``repeat``, up to
    ``REPEAT_DOUBLINGS_MAX`` times.
    """
    low = refusal.retry_after_min_ms / 1000
    high = refusal.retry_after_max_ms / 1000
    doublings = min(repeat, REPEAT_DOUBLINGS_MAX)
    return rng.uniform(low, high) * float(2**doublings)
