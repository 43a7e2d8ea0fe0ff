"""How long this process was stopped, so that late work is seen as late.

Failure: a process is paused and wakes late. Messages that waited in its
socket carry a remaining time that was right when they were sent; taken as
fresh, they start work that nobody waits for any more. The pause shows as a
gap between two beats. Whatever is read soon after the gap may be as old as
the gap, so that much is taken from its remaining time.
"""

from __future__ import annotations

import dataclasses

HEARTBEAT_SECONDS = 0.05
PAUSE_SECONDS = 0.25
DRAIN_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Pauses:
    """When the loop last ran, and the last gap that it noticed."""

    last_heartbeat: float
    last_pause: float = 0.0
    resumed_at: float = 0.0
    count: int = 0


def note(pauses: Pauses, now: float) -> bool:
    """Note that the loop runs; return whether it was paused before.

    Called each ``BEAT_SECONDS`` and before a message is handled, as after
    a pause either may come first.
    """
    gap = now - pauses.last_heartbeat
    pauses.last_heartbeat = now
    if gap < PAUSE_SECONDS:
        return False
    pauses.last_pause = gap
    pauses.resumed_at = now
    pauses.count += 1
    return True


def max_message_age(pauses: Pauses, now: float) -> float:
    """Return the seconds that a message read now may have waited."""
    if pauses.count and now - pauses.resumed_at < DRAIN_SECONDS:
        return pauses.last_pause
    return 0.0
