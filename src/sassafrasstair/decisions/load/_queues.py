"""The queue of attempts that wait for a free slot."""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.load import _demand

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.load import _messages


MIN_WAIT_SECONDS = 0.01
"""An attempt that may wait for less time than this ages as if it might wait
for as long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """One waiting attempt and when it arrived.

    The other fields follow from these and are kept, since the whole queue is
    searched at each start.
    """

    work: _messages.Work
    arrived_at: float
    level: int
    group: _demand.Group
    begun_at: float
    wait_seconds: float


def new_waiter(work: _messages.Work, now: float) -> Waiter:
    """Return an attempt that arrived just now."""
    return Waiter(
        work,
        now,
        math.floor(work.rank),
        _demand.group_of(work),
        now if work.begun_at is None else work.begun_at,
        max(work.max_wait_seconds, MIN_WAIT_SECONDS),
    )


def highest_level(waiting: dict[str, Waiter]) -> int:
    """Return the highest level with waiting work, -1 if there is none."""
    return max((waiter.level for waiter in waiting.values()), default=-1)


def next_to_start(
    waiting: dict[str, Waiter],
    running_by_tenant: dict[str, int],
    standing_level: int,
    demand: _demand.Demand,
    now: float,
) -> Waiter:
    """Return the attempt to start next, one of the most important.

    Within a level, the tenant that uses least of its share goes first. If an
    attempt of the level is known to be part of another request, the group of
    which the smallest share was started follows (see ``_demand``), and in it
    the attempt with the greatest urgency. Otherwise the earliest deadline goes
    first or, up to ``standing_level``, the last to arrive: in a standing
    queue, all attempts would otherwise wait for nearly as long as they may.
    """
    level = highest_level(waiting)
    candidates = _at_level(waiting, level)
    shares: dict[_demand.Group, float] = {}
    if _has_parts(candidates):
        groups = {waiter.group for waiter in candidates}
        shares = {
            group: _demand.started_share(demand, group) for group in groups
        }

    def order(waiter: Waiter) -> tuple[float, float, float]:
        work = waiter.work
        use = running_by_tenant.get(work.tenant, 0) / work.tenant_share
        if shares:
            return use, shares[waiter.group], -_urgency(waiter, now)
        if level <= standing_level:
            return use, 0.0, -waiter.arrived_at
        return use, 0.0, work.deadline

    return min(candidates, key=order)


def next_to_refuse(
    waiting: dict[str, Waiter], running_by_tenant: dict[str, int], now: float
) -> Waiter:
    """Return the attempt to refuse when the queue is full.

    It comes from the least important level. Within that level, the tenant
    that uses most of its share is chosen, and then the lowest rank, or the
    least urgency if one of the level is known to be part of another request.
    """
    lowest = min(waiter.level for waiter in waiting.values())
    candidates = _at_level(waiting, lowest)
    by_urgency = _has_parts(candidates)

    def order(waiter: Waiter) -> tuple[float, float]:
        work = waiter.work
        use = running_by_tenant.get(work.tenant, 0) / work.tenant_share
        return -use, _urgency(waiter, now) if by_urgency else work.rank

    return min(candidates, key=order)


def _at_level(waiting: dict[str, Waiter], level: int) -> list[Waiter]:
    return [waiter for waiter in waiting.values() if waiter.level == level]


def _has_parts(waiters: list[Waiter]) -> bool:
    """Return whether an attempt is known to be part of another request."""
    return any(_demand.is_part(waiter.group) for waiter in waiters)


def _urgency(waiter: Waiter, now: float) -> float:
    """Return the age of the request as a share of the wait allowed here.

    A request that makes its calls in sequence competes again at each of them.
    With the age, its later calls go before the first calls of requests that
    came after it, so that what was begun is finished.
    """
    return (now - waiter.begun_at) / waiter.wait_seconds


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
