"""The work that reaches an instance, as a share of what it can do.

How many slots are in use tells nothing of the demand once all are. The work
that arrives, admitted or not, does: its share of the room says by how much
callers have to send less.
"""

from __future__ import annotations

import dataclasses
import math

AVERAGE_SECONDS = 0.3
"""The time constant of the average of arriving work."""
LIMIT_MIN = 0.1
"""The least number of slots that arriving work is compared with."""


@dataclasses.dataclass(slots=True)
class Demand:
    """The average of the slot-seconds that arrive per second."""

    slots: float = 0.0
    updated_at: float = -math.inf


def record_offer(demand: Demand, seconds: float, now: float) -> None:
    """Count arriving work that will occupy a slot for ``seconds``."""
    _decay(demand, now)
    demand.slots += seconds / AVERAGE_SECONDS


def withdraw_offer(demand: Demand, seconds: float, now: float) -> None:
    """Discount arrived work that the instance has refused to run."""
    _decay(demand, now)
    demand.slots = max(0.0, demand.slots - seconds / AVERAGE_SECONDS)


def offered_share(demand: Demand, limit: float, now: float) -> float:
    """Return the arriving work as a share of ``limit`` slots.

    An instance that limits its rate may use less than one slot on average.
    """
    _decay(demand, now)
    return demand.slots / max(LIMIT_MIN, limit)


def _decay(demand: Demand, now: float) -> None:
    elapsed = max(0.0, now - demand.updated_at)
    if elapsed > 0.0:
        demand.slots *= math.exp(-elapsed / AVERAGE_SECONDS)
        demand.updated_at = now
