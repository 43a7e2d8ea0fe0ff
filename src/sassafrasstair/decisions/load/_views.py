"""Access to the concurrency limit of a guard: its value and its slots."""

from __future__ import annotations

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
