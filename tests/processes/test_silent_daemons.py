"""Tests of calls at an upstream whose daemon gets no processor for a while."""

from __future__ import annotations

import asyncio
import signal
import typing

import pytest

from tests.processes import mesh as mesh_module
from tests import threads

if typing.TYPE_CHECKING:
    from collections import abc

WORK_MS = 4_000
LIMIT_MS = 15_000


@pytest.fixture(scope="module")
def domain(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[mesh_module.Mesh]:
    """Give a mesh of four VMs in one failure domain, which probe in turns."""
    vms = [mesh_module.Vm(f"poster-{n}", "pos-a") for n in range(1, 5)]
    with mesh_module.of(tmp_path_factory.mktemp("domain"), *vms) as made:
        yield made


@pytest.mark.parametrize("seconds", [1.0, 3.0, 6.0])
def test_silence_of_the_owner_ends_no_binding(
    domain: mesh_module.Mesh, seconds: float
) -> None:
    """A binding was told of as unknown, whose upstream answered in time."""

    async def story(mesh: mesh_module.Mesh) -> None:
        for vm in mesh.vms:
            await mesh.slow(vm, WORK_MS)
        ticket = await mesh.any_ticket(mesh.vms[0])
        issuer = ticket.partition("~")[0]
        owner = next(vm for vm in mesh.vms if vm.name == issuer)
        entrance = next(vm for vm in mesh.vms if vm is not owner)
        nonce = mesh.nonce()
        call = asyncio.create_task(
            mesh.call(entrance, nonce, ticket, 0, LIMIT_MS)
        )
        await mesh.started(nonce, call)
        owner.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        owner.process.send_signal(signal.SIGCONT)
        told = await call
        assert told.outcome == "done", told
        assert await mesh.ran(nonce) == 1
        await mesh.all_serve(1)

    mesh_module.run(domain, story)


def test_signal_goes_to_no_thread_that_handles_it_late(
    domain: mesh_module.Mesh,
) -> None:
    """Bounds of a stop counted from when another thread got a processor."""

    async def story(mesh: mesh_module.Mesh) -> None:
        for vm in mesh.vms:
            assert threads.count(vm.process.pid) > 1
            assert threads.unconfined(vm.process.pid, signal.SIGTERM) == []

    mesh_module.run(domain, story)
