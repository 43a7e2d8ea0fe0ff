"""The shed floors that an entrance has heard from its callees."""

from __future__ import annotations

import dataclasses

# A floor holds this long after it was heard, and then falls: the first
# request that passes again brings the next word, or finds the load gone.
HOLD_SECONDS = 0.25
FALL_PER_SECOND = 10.0
FORGET_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Floor:
    """Shed floor last heard from an instance for a class, and when."""

    value: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class Floors:
    """Floors by (service, class, tenant), then by VM."""

    by_class: dict[tuple[str, str, str], dict[str, Floor]] = dataclasses.field(
        default_factory=dict
    )


def observe_floor(
    floors: Floors,
    key: tuple[str, str, str],
    vm: str,
    value: float,
    now: float,
) -> None:
    """Note the floor that came with an answer of ``vm``."""
    floors.by_class.setdefault(key, {})[vm] = Floor(value, now)


def decayed(floor: Floor, now: float) -> float:
    """Return what the floor still counts for."""
    stale = max(0.0, now - floor.heard_at - HOLD_SECONDS)
    return max(0.0, floor.value - FALL_PER_SECOND * stale)


def of_service(floors: Floors, key: tuple[str, str, str], now: float) -> float:
    """Return the least floor among the instances heard lately.

    The least, because routing can send the request to that instance.
    """
    heard = floors.by_class.get(key)
    if not heard:
        return 0.0
    for vm in [vm for vm, floor in heard.items() if _is_old(floor, now)]:
        # An instance that left would else count as one without a floor.
        del heard[vm]
    if not heard:
        del floors.by_class[key]
    return min((decayed(floor, now) for floor in heard.values()), default=0.0)


def refusing_vms(
    floors: Floors,
    key: tuple[str, str, str],
    rank: float,
    now: float,
) -> frozenset[str]:
    """Return the VMs that would refuse the rank by the floors heard."""
    heard = floors.by_class.get(key, {})
    return frozenset(
        vm for vm, floor in heard.items() if rank < decayed(floor, now)
    )


def _is_old(floor: Floor, now: float) -> bool:
    return now - floor.heard_at >= FORGET_SECONDS
