"""The concurrency limit of one upstream instance.

It starts at the number of slots in the bundle, is cut when the upstream
itself refuses work, and grows back with successes (additive increase,
multiplicative decrease). While the instance is cold, the limit is ramped up.
"""

from __future__ import annotations

import dataclasses

COLD_SHARE = 0.25
CUT_FACTOR = 0.8
MIN_SHARE = 0.125


@dataclasses.dataclass(slots=True)
class Limit:
    """State of a concurrency limit.

    ``value`` is the learned limit, at most ``slots``, and was last cut at
    ``cut_at``. The warm-up ramp lasts from ``cold_since`` to ``warm_at``.
    """

    slots: float
    value: float
    cold_since: float
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
    warm_up_seconds = limit.warm_at - limit.cold_since
    warm_share = (
        COLD_SHARE
        + (1 - COLD_SHARE) * (now - limit.cold_since) / warm_up_seconds
    )
    return max(1.0, min(limit.value, warm_share * limit.slots))


def refused(limit: Limit, service_time: float, now: float) -> None:
    """Cut the limit after a refusal, at most once per service time.

    The attempts that were already running when the limit was cut may be
    refused too. Cutting the limit for each of them would reduce it to its
    minimum at once.
    """
    if now < limit.cut_at + service_time:
        return
    limit.cut_at = now
    minimum = max(1.0, MIN_SHARE * limit.slots)
    limit.value = max(minimum, CUT_FACTOR * limit.value)


def succeeded(limit: Limit) -> None:
    """Raise the limit after a success.

    The limit grows by about 1 for each ``value`` successes.
    """
    limit.value = min(limit.slots, limit.value + 1 / limit.value)
