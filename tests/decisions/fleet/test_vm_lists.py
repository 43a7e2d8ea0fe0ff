"""The list of VMs of a platform whose index goes back."""

from __future__ import annotations

from collections import abc

import pytest

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _messages

Settled = abc.Callable[..., _capacity_fleets.Fleet]


@pytest.mark.parametrize("lacking", [0, 1])
def test_vm_removed_after_the_platform_was_restored_is_dropped(
    settled: Settled, lacking: int
) -> None:
    """It stayed a member until the index had passed what it was before."""
    made = settled(1)
    address, node = next(iter(made.nodes.items()))
    records = [
        each.local_record for each in made.nodes.values() if each is not node
    ]
    removed, new = records[0].vm, records[-1].vm
    index = node.vm_list_index + 50

    def read(at: int, listed: list[fleet.Record]) -> None:
        effects = fleet.process_platform_vms(
            node, listed, at, made.now, made.rng
        )
        made.perform(address, effects)

    def is_member(vm: str) -> bool:
        return node.members[vm].liveness != _messages.GONE

    copied = records[: len(records) - lacking]
    read(index, records)
    read(index - 20, copied)
    assert is_member(new)
    assert is_member(removed)
    read(index - 19, copied[1:])
    assert not is_member(removed)
    assert is_member(new)
