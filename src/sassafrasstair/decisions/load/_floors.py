"""The shed floor of one guard: the rank below which work is refused.

Follows DAGOR's admission level (Zhou et al., SoCC 2018), but computes the
level instead of stepping to it: the rank's fraction is a uniform hash, so
the demand of a level is known from the part of it that is still admitted.
Levels are filled from the most important down; in the level where the
capacity ends, tenants get their shares by weighted max-min fairness.
"""

from __future__ import annotations

import dataclasses
import math

from sassafrasstair import bundles

LEVELS = bundles.IMPORTANCE_MAX + 1
OBSERVE_SECONDS = 0.2
FORGET_SECONDS = 0.5
# Below this rate a tenant's demand is forgotten altogether.
MIN_RATE = 0.01
MIN_ADMITTED_PART = 0.02


@dataclasses.dataclass(slots=True)
class Demand:
    """Attempts a second that one tenant offers at one level.

    ``count`` holds only those of callers above the floor: the others are
    refused further up, at a time that the guard cannot know.
    """

    share: float
    rate: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class Floors:
    """Demand for each level and tenant, and the floors set from it.

    ``value`` is the floor of tenants that are not in ``values``;
    ``before`` holds the floors before the last look, which callers may
    still apply.
    """

    demands: list[dict[str, Demand]]
    updated_at: float
    default_floor: float = 0.0
    tenant_floors: dict[str, float] = dataclasses.field(default_factory=dict)
    previous_tenant_floors: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


def new_floors(now: float) -> Floors:
    """Return the floors of a guard that has seen nothing."""
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
    if rank >= _applied(floors, tenant):
        demand.count += 1


def floor(floors: Floors, tenant: str) -> float:
    """Return the rank below which the tenant's work is refused."""
    return floors.tenant_floors.get(tenant, floors.default_floor)


def lowest_level_within(floors: Floors, room: float) -> int:
    """Return the lowest level down to which the demand is within room."""
    left = room
    for level in range(LEVELS - 1, -1, -1):
        left -= sum(d.rate for d in floors.demands[level].values())
        if left < 0.0:
            return level + 1
    return 0


def update(
    floors: Floors, capacity: float, overloaded: bool, now: float
) -> None:
    """Learn the demand since the last look and set the floors anew.

    ``capacity`` is in attempts a second; without pressure nothing is
    refused, whatever the demand seems to be.
    """
    elapsed = now - floors.updated_at
    if elapsed <= 0:
        return
    floors.updated_at = now
    _learn(floors, elapsed)
    floors.previous_tenant_floors = floors.tenant_floors
    floors.tenant_floors = {}
    floors.default_floor = 0.0
    if overloaded:
        _fill(floors, capacity)


def _applied(floors: Floors, tenant: str) -> float:
    now_set = floors.tenant_floors.get(tenant, floors.default_floor)
    return max(now_set, floors.previous_tenant_floors.get(tenant, 0.0))


def _learn(floors: Floors, elapsed: float) -> None:
    weight = 1.0 - math.exp(-elapsed / OBSERVE_SECONDS)
    faded = math.exp(-elapsed / FORGET_SECONDS)
    for level, demands in enumerate(floors.demands):
        for tenant, demand in list(demands.items()):
            part = min(1.0, level + 1 - _applied(floors, tenant))
            if part < MIN_ADMITTED_PART:
                # Nothing of this level arrives, so nothing would ever
                # lower its floor again: what was known of it fades.
                demand.rate *= faded
            else:
                seen = demand.count / elapsed / part
                demand.rate += weight * (seen - demand.rate)
            demand.count = 0
            if demand.rate < MIN_RATE:
                del demands[tenant]


def _fill(floors: Floors, capacity: float) -> None:
    room = capacity
    for level in range(LEVELS - 1, -1, -1):
        demands = floors.demands[level]
        room -= _share_out(floors, level, demands, room)
        if room <= 0.0:
            floors.default_floor = float(level)
            return


def _share_out(
    floors: Floors, level: int, demands: dict[str, Demand], room: float
) -> float:
    """Set the floors within the level; return what it takes of the room."""
    left = room
    shares = sum(demand.share for demand in demands.values())
    by_need = sorted(
        demands.items(), key=lambda item: item[1].rate / item[1].share
    )
    for tenant, demand in by_need:
        given = min(demand.rate, left * demand.share / shares)
        left -= given
        shares -= demand.share
        if given < demand.rate:
            part = given / demand.rate
            floors.tenant_floors.setdefault(tenant, level + 1.0 - part)
    return room - left
