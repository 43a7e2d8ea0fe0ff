"""The shed floors of one guard: the ranks below which work is refused.

This follows the admission level of DAGOR (Zhou et al., SoCC 2018), but
computes the level instead of approaching it in steps. The fraction of a rank
is a uniform hash, so the demand of a level can be calculated from the part of
it that is still admitted. Capacity is assigned to levels from the most
important down. In the level where the capacity runs out, tenants get their
shares by weighted max-min fairness.
"""

from __future__ import annotations

import dataclasses
import math

from sassafrasstair import bundles

LEVELS = bundles.IMPORTANCE_MAX + 1
OBSERVE_SECONDS = 0.2
FORGET_SECONDS = 0.5
# A tenant's demand is deleted if it falls below this rate per second.
MIN_RATE = 0.01
MIN_ADMITTED_PART = 0.02


@dataclasses.dataclass(slots=True)
class Demand:
    """The attempts that one tenant offers at one level.

    ``share`` is the tenant's weight, and ``rate`` the estimated number of
    attempts per second. ``count`` is the number since the last update of
    those at or above the floor. Attempts below it are refused by the callers,
    and the guard can't know since when they do so.
    """

    share: float
    rate: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class Floors:
    """The demand by level and tenant, and the floors computed from it.

    ``default_floor`` is the floor of tenants that are not in
    ``tenant_floors``. ``previous_tenant_floors`` are the tenants' floors
    before the last update, which callers may still apply.
    """

    demands: list[dict[str, Demand]]
    updated_at: float
    default_floor: float = 0.0
    tenant_floors: dict[str, float] = dataclasses.field(default_factory=dict)
    previous_tenant_floors: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


def new_floors(now: float) -> Floors:
    """Return the floors of a guard that has received no work yet."""
    return Floors([{} for _ in range(LEVELS)], now)


def count_offer(
    floors: Floors, tenant: str, share: float, rank: float
) -> None:
    """Count one offered attempt."""
    demands = floors.demands[min(int(rank), LEVELS - 1)]
    demand = demands.get(tenant)
    if demand is None:
        demand = Demand(share)
        demands[tenant] = demand
    if rank >= _effective_floor(floors, tenant):
        demand.count += 1


def floor(floors: Floors, tenant: str) -> float:
    """Return the rank below which the tenant's work is refused."""
    return floors.tenant_floors.get(tenant, floors.default_floor)


def lowest_level_within(floors: Floors, capacity: float) -> int:
    """Return the lowest level with a demand within the capacity.

    The demand of all levels above it counts too. If even the highest level
    exceeds the capacity, the result is ``LEVELS``.
    """
    left = capacity
    for level in range(LEVELS - 1, -1, -1):
        left -= sum(d.rate for d in floors.demands[level].values())
        if left < 0.0:
            return level + 1
    return 0


def update(
    floors: Floors, capacity: float, overloaded: bool, now: float
) -> None:
    """Update the demand since the last update, and recompute the floors.

    ``capacity`` is in attempts per second. Unless the guard is
    ``overloaded``, all floors are 0, whatever the estimated demand is.
    """
    elapsed = now - floors.updated_at
    if elapsed <= 0:
        return
    floors.updated_at = now
    _update_demands(floors, elapsed)
    floors.previous_tenant_floors = floors.tenant_floors
    floors.tenant_floors = {}
    floors.default_floor = 0.0
    if overloaded:
        _set_floors(floors, capacity)


def _effective_floor(floors: Floors, tenant: str) -> float:
    current = floors.tenant_floors.get(tenant, floors.default_floor)
    return max(current, floors.previous_tenant_floors.get(tenant, 0.0))


def _update_demands(floors: Floors, elapsed: float) -> None:
    weight = 1.0 - math.exp(-elapsed / OBSERVE_SECONDS)
    decay = math.exp(-elapsed / FORGET_SECONDS)
    for level, demands in enumerate(floors.demands):
        for tenant, demand in list(demands.items()):
            admitted_part = min(
                1.0, level + 1 - _effective_floor(floors, tenant)
            )
            if admitted_part < MIN_ADMITTED_PART:
                # No attempts of this level arrive, so none would ever lower
                # its floor again. Therefore the estimated demand decays.
                demand.rate *= decay
            else:
                observed_rate = demand.count / elapsed / admitted_part
                demand.rate += weight * (observed_rate - demand.rate)
            demand.count = 0
            if demand.rate < MIN_RATE:
                del demands[tenant]


def _set_floors(floors: Floors, capacity: float) -> None:
    room = capacity
    for level in range(LEVELS - 1, -1, -1):
        demands = floors.demands[level]
        room -= _set_tenant_floors(floors, level, demands, room)
        if room <= 0.0:
            floors.default_floor = float(level)
            return


def _set_tenant_floors(
    floors: Floors, level: int, demands: dict[str, Demand], room: float
) -> float:
    """Set the tenants' floors in the level; return the capacity it uses."""
    left = room
    shares = sum(demand.share for demand in demands.values())
    by_need = sorted(
        demands.items(), key=lambda item: item[1].rate / item[1].share
    )
    for tenant, demand in by_need:
        granted = min(demand.rate, left * demand.share / shares)
        left -= granted
        shares -= demand.share
        if granted < demand.rate:
            admitted_part = granted / demand.rate
            floors.tenant_floors.setdefault(
                tenant, level + 1.0 - admitted_part
            )
    return room - left
