"""The load and the limits of a guard, as reported to callers."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions.load import _limits

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _guards


def limit(guard: _guards.Guard, now: float) -> float:
    """Return how many attempts may run at the upstream now."""
    return _limits.current(guard.limit_state, now)


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
    return (len(guard.running) + len(guard.waiting)) / max(1.0, guard.limit)


def busy_at_or_above(guard: _guards.Guard, level: int) -> float:
    """Return the share of the limit used by work of the level and above.

    Less important work is left out, because it does not delay work of this
    level.
    """
    running = sum(
        count
        for running_level, count in guard.running_by_level.items()
        if running_level >= level
    )
    waiting = sum(
        math.floor(waiter.work.rank) >= level
        for waiter in guard.waiting.values()
    )
    return (running + waiting) / max(1.0, guard.limit)


def service_seconds(guard: _guards.Guard) -> float:
    """Return the current service time in seconds, 0 if it is not known."""
    return guard.current_service_seconds
