"""The queue of attempts that wait for a free slot."""

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
    """Return the highest level with waiting work, -1 if there is none."""
    if not waiting:
        return -1
    return math.floor(max(waiter.work.rank for waiter in waiting.values()))


def next_to_start(
    waiting: dict[str, Waiter],
    running_by_tenant: dict[str, int],
    standing_level: int,
) -> Waiter:
    """Return the attempt to start next, one of the most important.

    Within a level, the tenant that uses least of its share goes first, and
    then the earliest deadline. Up to ``standing_level``, the last to arrive
    goes first instead of the earliest deadline: in a standing queue, all
    attempts would otherwise wait for nearly as long as they may.
    """

    def order(waiter: Waiter) -> tuple[float, float, float]:
        work = waiter.work
        level = math.floor(work.rank)
        use = running_by_tenant.get(work.tenant, 0) / work.tenant_share
        age = -waiter.arrived_at if level <= standing_level else work.deadline
        return -level, use, age

    return min(waiting.values(), key=order)


def next_to_refuse(
    waiting: dict[str, Waiter], running_by_tenant: dict[str, int]
) -> Waiter:
    """Return the attempt to refuse when the queue is full.

    It comes from the least important level. Within that level, the tenant
    that uses most of its share is chosen, and then the lowest rank.
    """

    def order(waiter: Waiter) -> tuple[float, float, float]:
        work = waiter.work
        use = running_by_tenant.get(work.tenant, 0) / work.tenant_share
        return math.floor(work.rank), -use, work.rank

    return min(waiting.values(), key=order)


def expired(
    waiter: Waiter, now: float, estimate: float, max_wait_seconds: float
) -> bool:
    """Return whether the attempt waited too long or can't finish in time.

    ``max_wait_seconds`` may shorten the wait that the attempt itself allows,
    and ``estimate`` is its expected service time.
    """
    work = waiter.work
    waited = now - waiter.arrived_at >= min(
        work.max_wait_seconds, max_wait_seconds
    )
    return waited or now + estimate > work.deadline
