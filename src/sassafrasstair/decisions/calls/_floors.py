"""The shed floors that callees have reported to an entrance.

A shed floor is the rank below which an instance refuses requests.
"""

from __future__ import annotations

import dataclasses

# A floor stays at its value for HOLD_SECONDS after it was reported and then
# falls by FALL_PER_SECOND. The first request that passes again either brings
# a new floor or shows that the load is gone.
HOLD_SECONDS = 0.25
FALL_PER_SECOND = 10.0
FORGET_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Floor:
    """The last shed floor that an instance reported, and when it did."""

    value: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class Floors:
    """Shed floors by (service, class, tenant), then by VM."""

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
    """Record the floor that came with an answer from ``vm``."""
    floors.by_class.setdefault(key, {})[vm] = Floor(value, now)


def decayed(floor: Floor, now: float) -> float:
    """Return the floor after its decay since it was reported."""
    elapsed = max(0.0, now - floor.heard_at - HOLD_SECONDS)
    return max(0.0, floor.value - FALL_PER_SECOND * elapsed)


def of_service(floors: Floors, key: tuple[str, str, str], now: float) -> float:
    """Return the lowest floor among the instances that reported recently.

    The lowest counts because routing can send the request to that instance.
    """
    by_vm = floors.by_class.get(key)
    if not by_vm:
        return 0.0
    for vm in [vm for vm, floor in by_vm.items() if _is_outdated(floor, now)]:
        # The floor of an instance that has left would decay to 0 and then
        # be the lowest, as if that instance still accepted everything.
        del by_vm[vm]
    if not by_vm:
        del floors.by_class[key]
    return min((decayed(floor, now) for floor in by_vm.values()), default=0.0)


def refusing_vms(
    floors: Floors,
    key: tuple[str, str, str],
    rank: float,
    now: float,
) -> frozenset[str]:
    """Return the VMs whose reported floor is above the rank."""
    by_vm = floors.by_class.get(key, {})
    return frozenset(
        vm for vm, floor in by_vm.items() if rank < decayed(floor, now)
    )


def _is_outdated(floor: Floor, now: float) -> bool:
    return now - floor.heard_at >= FORGET_SECONDS
