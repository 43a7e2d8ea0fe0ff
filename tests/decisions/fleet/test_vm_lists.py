"""The VM list of a platform whose index goes back after a restore."""

from __future__ import annotations

from collections import abc
import dataclasses
import functools

import pytest

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.bench import _capacity_platform
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _messages
from tests.decisions.fleet import work

MakeFleet = abc.Callable[..., _capacity_fleets.Fleet]
STEP_SECONDS = 0.05
MAX_IDLE_SECONDS = 2.0
"""For a VM that refutes that it is gone, its hold-down of a second included.
"""


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


def _read_lists(
    simulation: _capacity_fleets.Fleet,
    contents: _capacity_platform.Contents,
    spread_seconds: float,
) -> None:
    """Let the watchers read ``contents``, all within ``spread_seconds``."""
    simulation.platform.contents = contents
    for address in list(simulation.watching):
        simulation.at(
            simulation.rng.uniform(0.0, spread_seconds),
            functools.partial(simulation._deliver, address),
        )


def _seconds_without_callers(
    simulation: _capacity_fleets.Fleet, vm: str, seconds: float
) -> float:
    """Return for how much of the next ``seconds`` nobody may call ``vm``."""
    idle = 0.0
    for _ in range(round(seconds / STEP_SECONDS)):
        simulation.run(STEP_SECONDS)
        if work.gets_no_work(simulation, vm):
            idle += STEP_SECONDS
    return idle


@pytest.mark.parametrize("spread_seconds", [0.0, 2.0, 30.0])
@pytest.mark.parametrize(
    ("indexes_without", "max_idle_seconds"),
    [
        ((50,), 0.0),
        ((49, 50), 0.0),
        ((49, 51), 0.0),
        ((51,), MAX_IDLE_SECONDS),
    ],
    ids=["same", "seen-then-same", "seen-then-later", "unseen-then-later"],
)
def test_running_vm_that_a_restored_platform_lacks_gets_work(
    settled: MakeFleet,
    indexes_without: tuple[int, ...],
    max_idle_seconds: float,
    spread_seconds: float,
) -> None:
    """A VM that the copy does not list was taken for removed, and idle.

    It refuted that, and each watcher that read the list after it marked the
    VM as gone again. Where the restore was not seen, one such mark is
    allowed for.
    """
    simulation = settled(1)
    contents = simulation.platform.contents
    first_index = contents.index

    def read(index: int, vms: tuple[fleet.Record, ...]) -> None:
        changed = dataclasses.replace(
            contents, index=first_index + index, vms=vms
        )
        _read_lists(simulation, changed, spread_seconds)

    *restored_vms, lost = contents.vms
    read(50, contents.vms)
    simulation.run(spread_seconds + 1.0)
    assert not work.gets_no_work(simulation, lost.vm)
    idle = 0.0
    for index in indexes_without:
        read(index, tuple(restored_vms))
        idle += _seconds_without_callers(
            simulation, lost.vm, spread_seconds + 5.0
        )
    assert idle <= max_idle_seconds
