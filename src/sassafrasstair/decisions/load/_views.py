"""What the daemon asks of a guard beside requests."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _guards


def limit(guard: _guards.Guard) -> float:
    """Return how many attempts may run at the upstream now."""
    return guard.limit


def resize(guard: _guards.Guard, slots: int, now: float) -> None:
    """Take the slots that a bundle gives the instance."""
    guard.limit = float(slots)
