"""The short queue of attempts that wait for a free slot."""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """One waiting attempt and when it arrived."""

    work: _messages.Work
    since: float


def pick(
    waiting: dict[str, Waiter],
    used: dict[str, int],
    last_in_first: bool,
) -> Waiter:
    """Return the one to start next: the most important.

    Among equals the tenant that uses least of its share goes first; then
    the last to arrive under overload, else the earliest deadline.
    """

    def order(waiter: Waiter) -> tuple[float, float, float]:
        work = waiter.work
        use = used.get(work.tenant, 0) / work.share
        age = -waiter.since if last_in_first else work.deadline
        return -math.floor(work.rank), use, age

    return min(waiting.values(), key=order)


def least(waiting: dict[str, Waiter]) -> Waiter:
    """Return the one to turn away when the queue is full."""
    return min(waiting.values(), key=lambda waiter: waiter.work.rank)


def expired(waiter: Waiter, now: float, estimate: float) -> bool:
    """Say whether the waiter waited too long or cannot finish in time."""
    work = waiter.work
    waited = now - waiter.since >= work.queue_limit
    return waited or now + estimate > work.deadline
