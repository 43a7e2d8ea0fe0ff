"""An oracle of instances that leave, and of daemons that are to be left.

The store acknowledges that an instance is draining or gone. Some time later
no daemon in touch sends it a request. A daemon that stops is no longer ready
in time for its clients to leave it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from tests.platform.soak import disruptions

DRAIN_SECONDS = 2.0
READY_SECONDS = 4.0
"""After SIGTERM, until when clients are to know that a daemon stops."""
QUESTIONS = 2
"""So many without a 200 in a row take a daemon out."""
READY_RATIO = 0.25
"""Of the daemons that were ready, how many may still be after that."""
READY_MAX = 1


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at an instance, with the daemons that passed it on.

    ``began_at`` is when its client sent it, in loop time.
    """

    key: str
    instance: str
    entrance: str
    host: str
    began_at: float


class Oracle:
    """Notes what the store acknowledged, and finds late arrivals."""

    def __init__(self, record: disruptions.Record) -> None:
        self.late: list[str] = []
        self._record = record
        self._left_at: dict[str, float] = {}
        self._still_ready: list[bool] = []

    def leaves(self, instance: str) -> None:
        """Note that the store knows that an instance is draining or gone."""
        self._left_at.setdefault(instance, _now())

    def returns(self, instance: str) -> None:
        """Note that an instance is registered as ready."""
        self._left_at.pop(instance, None)

    def arrived(self, arrival: Arrival) -> None:
        """Check a request that reached an instance."""
        left_at = self._left_at.get(arrival.instance)
        seconds = 0.0 if left_at is None else _now() - left_at
        if left_at is None or seconds <= DRAIN_SECONDS:
            return
        if not self._record.store_was_stable(left_at, left_at):
            return
        hosts = (arrival.entrance, arrival.host)
        if self._record.in_touch(hosts, arrival.began_at, _now()):
            self.late.append(
                f"DRAIN {arrival.key}: at {arrival.instance} from"
                f" {arrival.entrance}, {seconds:.3f} s after it left, sent"
                f" {_now() - arrival.began_at:.3f} s before"
            )

    def stopped(self, still_ready: bool) -> None:
        """Note whether a daemon that was ready still was after SIGTERM."""
        self._still_ready.append(still_ready)

    def broken(self) -> list[str]:
        """Return each rule that was broken, and how."""
        count, ready = len(self._still_ready), sum(self._still_ready)
        found = list(self.late)
        if ready > max(READY_MAX, READY_RATIO * count):
            found.append(f"DRAIN readiness: {ready} of {count} still ready")
        return found


def _now() -> float:
    return asyncio.get_running_loop().time()
