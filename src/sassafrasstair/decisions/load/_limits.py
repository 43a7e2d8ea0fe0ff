"""The concurrency limit of one upstream instance.

It starts from the slots in the bundle, is cut when the upstream itself
refuses, grows back with successes (additive increase, multiplicative
decrease), and is ramped up while the instance is cold.
"""

from __future__ import annotations

import dataclasses

COLD_SHARE = 0.25
CUT = 0.8
LEAST_SHARE = 0.125


@dataclasses.dataclass(slots=True)
class Limit:
    """State of a limit: the learnt ``value`` and the warm-up ramp."""

    slots: float
    value: float
    cold_from: float
    warm_at: float
    cut_at: float


def new_limit(
    slots: int, now: float, cold: bool, warm_seconds: float
) -> Limit:
    """Return the limit of an instance that starts now."""
    warm_at = now + warm_seconds if cold else now
    return Limit(float(slots), float(slots), now, warm_at, now)


def current(limit: Limit, now: float) -> float:
    """Return how many attempts may run at once."""
    if now >= limit.warm_at:
        return limit.value
    span = limit.warm_at - limit.cold_from
    warm = COLD_SHARE + (1 - COLD_SHARE) * (now - limit.cold_from) / span
    return max(1.0, min(limit.value, warm * limit.slots))


def refused(limit: Limit, service_time: float, now: float) -> None:
    """Note a refusal by the upstream; cut once for each service time.

    The attempts that were already running when the limit was cut may be
    refused too: counting them again would cut to the bottom at once.
    """
    if now < limit.cut_at + service_time:
        return
    limit.cut_at = now
    least = max(1.0, LEAST_SHARE * limit.slots)
    limit.value = max(least, CUT * limit.value)


def succeeded(limit: Limit) -> None:
    """Note a success: one more for each full round of the limit."""
    limit.value = min(limit.slots, limit.value + 1 / limit.value)
