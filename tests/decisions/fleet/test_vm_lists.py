"""The VM list of a platform whose index goes back after a restore."""

from __future__ import annotations

from collections import abc

import pytest

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _messages

MakeFleet = abc.Callable[..., _capacity_fleets.Fleet]


@pytest.mark.parametrize("missing_vms", [0, 1])
def test_vm_removed_after_the_platform_was_restored_is_dropped(
    settled: MakeFleet, missing_vms: int
) -> None:
    """A removed VM would stay a member until the old index is passed."""
    simulation = settled(1)
    address, node = next(iter(simulation.nodes.items()))
    records = [
        each.local_record
        for each in simulation.nodes.values()
        if each is not node
    ]
    removed, new = records[0].vm, records[-1].vm
    index = node.vm_list_index + 50

    def apply_vm_list(at: int, listed: list[fleet.Record]) -> None:
        effects = fleet.process_platform_vms(
            node, listed, at, simulation.now, simulation.rng
        )
        simulation.perform(address, effects)

    def is_live(vm: str) -> bool:
        return node.members[vm].liveness != _messages.GONE

    restored_records = records[: len(records) - missing_vms]
    apply_vm_list(index, records)
    apply_vm_list(index - 20, restored_records)
    assert is_live(new)
    assert is_live(removed)
    apply_vm_list(index - 19, restored_records[1:])
    assert not is_live(removed)
    assert is_live(new)
