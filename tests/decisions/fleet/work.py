"""Which VMs of a simulated fleet are given work."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import fleet

if typing.TYPE_CHECKING:
    from sassafrasstair.bench import _capacity_fleets

SERVICE = "service-00"


def callable_vms(simulation: _capacity_fleets.Fleet, address: str) -> set[str]:
    """Return the VMs that the daemon at ``address`` may call."""
    targets = fleet.targets(simulation.nodes[address], SERVICE, simulation.now)
    return {target.vm for target in targets}


def gets_no_work(simulation: _capacity_fleets.Fleet, vm: str) -> bool:
    """Return whether no other running daemon would call ``vm``."""
    return not any(
        vm in callable_vms(simulation, address)
        for address, node in simulation.nodes.items()
        if address not in simulation.down and node.local_record.vm != vm
    )
