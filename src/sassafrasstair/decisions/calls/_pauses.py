"""Detection of process pauses, which make received messages out of date.

Messages carry the time that was left when they were sent. While a process is
paused, messages wait in its socket; if they are treated as fresh afterwards,
they start work whose caller has already given up. A pause shows as a gap
between two heartbeats of the event loop. A message that is read soon after
the gap may be as old as the gap, so that much is subtracted from its
remaining time.
"""

from __future__ import annotations

import dataclasses

HEARTBEAT_SECONDS = 0.05
PAUSE_SECONDS = 0.25
DRAIN_SECONDS = 0.1
RUN_SHARE_MIN = 0.5
"""A process that ran for less than this part of a wait cannot tell whether
the answer was late or its own handling of it."""


@dataclasses.dataclass(slots=True)
class Pauses:
    """When the event loop last ran, and the last pause that was detected.

    ``last_pause`` is in seconds, ``resumed_at`` is the end of that pause, and
    ``count`` the number of pauses so far.
    """

    last_heartbeat: float
    last_pause: float = 0.0
    resumed_at: float = 0.0
    count: int = 0


def note(pauses: Pauses, now: float) -> bool:
    """Record that the event loop runs; return whether it was paused before.

    Called every ``HEARTBEAT_SECONDS`` and before a message is handled: after
    a pause, either of the two may happen first.
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
    """Return for how many seconds a message read now may have waited."""
    if pauses.count and now - pauses.resumed_at < DRAIN_SECONDS:
        return pauses.last_pause
    return 0.0


def ran_enough(heartbeats: int, waited: float) -> bool:
    """Return whether the process ran for long enough of a wait to judge it.

    ``heartbeats`` is the number of those during the ``waited`` seconds.
    """
    return (heartbeats + 1) * HEARTBEAT_SECONDS >= RUN_SHARE_MIN * waited
