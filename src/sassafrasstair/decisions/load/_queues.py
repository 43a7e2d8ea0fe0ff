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
    arrived_at: float


def highest_level(waiting: dict[str, Waiter]) -> int:
    """Return the highest level that waits, -1 if none does."""
    if not waiting:
        return -1
    return math.floor(max(waiter.work.rank for waiter in waiting.values()))


def next_to_start(
    waiting: dict[str, Waiter], used: dict[str, int], stands: int
) -> Waiter:
    """Return the one to start next: the most important.

    Among equals the tenant that uses least of its share goes first; then
    the earliest deadline. Up to the level ``stands`` the last to arrive
    goes first: in a queue that does not empty the others would all wait
    nearly as long as they may.
    """

    def order(waiter: Waiter) -> tuple[float, float, float]:
        work = waiter.work
        level = math.floor(work.rank)
        use = used.get(work.tenant, 0) / work.tenant_share
        age = -waiter.arrived_at if level <= stands else work.deadline
        return -level, use, age

    return min(waiting.values(), key=order)


def next_to_refuse(waiting: dict[str, Waiter], used: dict[str, int]) -> Waiter:
    """Return the one to turn away when the queue is full.

    The least important; among equals one of the tenant that uses most of
    its share, and of those the lowest rank.
    """

    def order(waiter: Waiter) -> tuple[float, float, float]:
        work = waiter.work
        use = used.get(work.tenant, 0) / work.tenant_share
        return math.floor(work.rank), -use, work.rank

    return min(waiting.values(), key=order)


def expired(
    waiter: Waiter, now: float, estimate: float, patience: float
) -> bool:
    """Say whether the waiter waited too long or cannot finish in time.

    ``patience`` in seconds may shorten how long it may wait.
    """
    work = waiter.work
    waited = now - waiter.arrived_at >= min(work.max_wait_seconds, patience)
    return waited or now + estimate > work.deadline
