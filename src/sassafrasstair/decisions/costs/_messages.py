"""What a daemon reports of the services that a request of a route uses."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCost:
    """The cost of a route's requests at one service, and the room there.

    ``slot_seconds`` is how long a request occupies slots of the service, all
    its calls together. ``offered`` is the work that reaches the service's
    instances as a share of what they can do, and ``wait_seconds`` how long
    work waits there for a slot.
    """

    service: str
    slot_seconds: float
    offered: float
    wait_seconds: float
