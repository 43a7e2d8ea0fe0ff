from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools

from tests.processes import mesh as mesh_module

CALLERS = 4
ENOUGH_CALLS = 40


@dataclasses.dataclass
class _Record:
    """What callers were told of each nonce."""

    told: dict[str, mesh_module.Told] = dataclasses.field(default_factory=dict)
    stop: bool = False


async def _calls(mesh: mesh_module.Mesh, record: _Record, number: int) -> None:
    """Call without pause; go to the other daemon when one refuses."""
    door = mesh.vms[number % len(mesh.vms)]
    for turn in itertools.count():
        if record.stop:
            return
        nonce = mesh.nonce()
        ticket = ""
        if turn % 2:
            ticket = await mesh.any_ticket(door)
        if not turn % 2 or ticket:
            record.told[nonce] = await mesh.call(door, nonce, ticket)
            if record.told[nonce].outcome == "done":
                continue
        door = mesh.vms[(mesh.vms.index(door) + 1) % len(mesh.vms)]
        await asyncio.sleep(0.02)


async def _replace(mesh: mesh_module.Mesh, vm: mesh_module.Vm) -> int:
    """Drain a VM as the platform does; return its daemon's exit code."""
    vm.state = "leaving"
    assert await mesh.publish_vms()
    vm.process.terminate()
    code = await asyncio.to_thread(vm.process.wait, 15)
    vm.state = "live"
    assert await mesh.publish_vms()
    await mesh.start()
    return code


def test_rolling_restart_cuts_nothing(pair: mesh_module.Mesh) -> None:
    """A shopkeeper's upload is cut off while a daemon is replaced.

    Each daemon in turn is taken off the VM list, stopped and started anew,
    while callers call both. A caller may be refused, and then truly; none
    may be cut off or left not knowing.
    """

    async def story(mesh: mesh_module.Mesh) -> None:
        for vm in mesh.vms:
            await mesh.slow(vm, 20)
        record = _Record()
        calls = [
            asyncio.create_task(_calls(mesh, record, number))
            for number in range(CALLERS)
        ]
        for vm in mesh.vms:
            before = len(record.told)

            async def enough(before: int = before) -> bool:
                return len(record.told) > before + ENOUGH_CALLS

            await mesh.until(enough)
            assert await _replace(mesh, vm) == 0
        record.stop = True
        await asyncio.gather(*calls)
        told = collections.Counter(
            (one.outcome, one.reason) for one in record.told.values()
        )
        assert {outcome for outcome, _ in told} <= {"done", "not-run"}, told
        counts = await mesh.all_ran()
        for nonce, one in record.told.items():
            assert (counts[nonce] > 0) == (one.outcome == "done"), one

    mesh_module.run(pair, story)
