"""What the daemon asks of a guard beside requests."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.load import _limits

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _guards


def limit(guard: _guards.Guard, now: float) -> float:
    """Return how many attempts may run at the upstream now."""
    return _limits.current(guard.limit_state, now)


def resize(guard: _guards.Guard, slots: int) -> None:
    """Take the slots that a new bundle gives the instance.

    What was learnt below the old slots is kept; a limit that stood at the
    old slots goes to the new ones.
    """
    limits = guard.limit_state
    at_slots = limits.value >= limits.slots
    limits.slots = float(slots)
    limits.value = limits.slots if at_slots else min(limits.value, slots)
