"""The load and the limits of a guard, as reported to callers."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions.load import _limits
from sassafrasstair.decisions.load import _usual

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _guards


CAPACITY_MIN = 0.1
"""The least limit that is reported; callers take 0 for not reported."""


def limit(guard: _guards.Guard, now: float) -> float:
    """Return how many attempts may run at the upstream now.

    Under a rate limit it may be below 1.
    """
    return min(_limits.current(guard.limit_state, now), _rate_capacity(guard))


def learned_limit(guard: _guards.Guard) -> float:
    """Return the same without the warm-up ramp."""
    return min(guard.limit, _rate_capacity(guard))


def rate_limit(guard: _guards.Guard) -> float:
    """Return the rate limit in requests per second, infinite without one."""
    return guard.rate.per_second


def resize(guard: _guards.Guard, slots: int) -> None:
    """Use the number of slots that a new bundle gives the instance.

    A learned limit below the old number of slots is kept, as far as it does
    not exceed the new number. A limit equal to the old number is set to the
    new one.
    """
    limits = guard.limit_state
    at_slots = limits.value >= limits.slots
    limits.slots = float(slots)
    limits.value = limits.slots if at_slots else min(limits.value, slots)


def busy(guard: _guards.Guard) -> float:
    """Return the share of the limit in use, with the queue included."""
    return (len(guard.running) + len(guard.waiting)) / _capacity(guard)


def busy_at_or_above(guard: _guards.Guard, level: int) -> float:
    """Return the share of the limit used by work of the level and above.

    Less important work is left out, because it does not delay work of this
    level.
    """
    found = 0
    for running_level, count in guard.running_by_level.items():
        if running_level >= level:
            found += count
    for waiter in guard.waiting.values():
        if waiter.work.rank >= level:
            found += 1
    return found / _capacity(guard)


def service_seconds(guard: _guards.Guard) -> float:
    """Return the current service time in seconds, 0 if it is not known."""
    return guard.current_service_seconds


def route_seconds(guard: _guards.Guard, request_class: str) -> float:
    """Return the service time of a class, 0 if none is known.

    A class that has not been finished yet is taken for average work.
    """
    return guard.estimates_by_class.get(
        request_class, guard.mean_service_seconds
    )


def knows_route(guard: _guards.Guard, request_class: str) -> bool:
    """Return whether a request of a class has been finished here."""
    return request_class in guard.estimates_by_class


def wait_seconds(guard: _guards.Guard) -> float:
    """Return about how long new work has to wait for a slot, in seconds."""
    return max(0.0, busy(guard) - 1.0) * guard.current_service_seconds


def usual_seconds(guard: _guards.Guard, request_class: str) -> float | None:
    """Return the usual service time of a class, None if it is not known."""
    return _usual.seconds(guard.usual_by_class, request_class)


def longest_seconds(
    guard: _guards.Guard, request_class: str, now: float
) -> float:
    """Return the longest service time of a class of late, 0 if unknown."""
    return _usual.longest_seconds(guard.usual_by_class, request_class, now)


def _capacity(guard: _guards.Guard) -> float:
    """Return how many attempts at once make the instance fully busy."""
    return min(max(1.0, guard.limit), _rate_capacity(guard))


def _rate_capacity(guard: _guards.Guard) -> float:
    """Return how many attempts run on average at the rate limit.

    Infinite without a limit, and while the service time is not known.
    """
    seconds = guard.current_service_seconds
    if not guard.rate.active or seconds <= 0.0:
        return math.inf
    return max(CAPACITY_MIN, guard.rate.per_second * seconds)
