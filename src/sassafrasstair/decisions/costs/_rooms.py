"""The room at a service, averaged over reports."""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions import averages

MIN_WEIGHT = 0.02
"""The least weight of one report in the averages."""


@dataclasses.dataclass(slots=True)
class RoomAverage:
    """Averages of the work offered at a service and of the wait there.

    See ``ServiceCost`` for both; the last report came at ``heard_at``.
    """

    offered: float
    wait_seconds: float
    heard_at: float


def update_room(
    room: RoomAverage,
    offered: float,
    wait_seconds: float,
    constant_seconds: float,
    now: float,
) -> None:
    """Add a report to averages with a time constant."""
    weight = averages.weight(now - room.heard_at, constant_seconds, MIN_WEIGHT)
    room.offered += weight * (offered - room.offered)
    room.wait_seconds += weight * (wait_seconds - room.wait_seconds)
    room.heard_at = now
