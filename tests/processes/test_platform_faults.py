from __future__ import annotations

import asyncio
import typing

import pytest

from tests.processes import mesh as mesh_module
from tests.processes import relay

if typing.TYPE_CHECKING:
    from collections import abc

IN_FORCE_SECONDS = 6.0
BOTH_WATCHES_SECONDS = 1.0
"""After this time both daemons have read a bundle from the platform itself."""


@pytest.fixture(scope="module")
def mesh(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[mesh_module.Mesh]:
    """Give two failure domains; relays stand before all of the second."""
    near = mesh_module.Vm("poster-1", "pos-a", peer=mesh_module.free_port())
    far = mesh_module.Vm("poster-2", "pos-b", peer=mesh_module.free_port())
    far.platform = mesh_module.free_port()
    directory = tmp_path_factory.mktemp("mesh")
    with mesh_module.of(directory, near, far) as made:
        yield made


def _run(
    mesh: mesh_module.Mesh,
    story: typing.Callable[
        [mesh_module.Mesh, list[relay.Relay]], typing.Awaitable[None]
    ],
    version: int,
) -> None:
    """Run a story that begins with ``version`` in force everywhere."""
    mesh.version = version

    async def whole(mesh: mesh_module.Mesh) -> None:
        try:
            await story(mesh, relays)
        finally:
            for one in relays:
                one.close()

    async def with_relays() -> None:
        for one in relays:
            await one.start()

    near, far = mesh.vms
    relays = [
        relay.Relay(near.peer, near.listen),
        relay.Relay(far.peer, far.listen),
        relay.Relay(far.platform, mesh.reader),
    ]
    mesh_module.run(mesh, whole, with_relays)


async def _serves(mesh: mesh_module.Mesh, door: mesh_module.Vm) -> None:
    async def holds() -> bool:
        told = await mesh.call(door, mesh.nonce())
        return told.outcome == "done"

    await mesh.until(holds)


def test_platform_that_is_stale_or_gone_reverts_nothing(
    mesh: mesh_module.Mesh,
) -> None:
    """A bundle that was in force everywhere gives way to an older one.

    The platform goes on with an older state, then goes down. A VM is
    replaced meanwhile: its new daemon reads the older bundle, or nothing.
    """

    async def story(mesh: mesh_module.Mesh, relays: list[relay.Relay]) -> None:
        near, _ = mesh.vms
        await mesh.publish(2)
        await mesh.all_serve(2)
        for fault in ("/stale?back=1", "/down"):
            assert await mesh.ask("POST", mesh.control, fault)
            near.process.kill()
            near.process.wait()
            mesh.start_daemon(near)
            await mesh.all_serve(2)
            for vm in mesh.vms:
                await _serves(mesh, vm)
        await mesh.publish(3)
        assert [await mesh.held(vm) for vm in mesh.vms] == [2, 2]
        assert await mesh.ask("POST", mesh.control, "/back")
        await mesh.all_serve(3)

    _run(mesh, story, 1)


def test_failure_domain_that_is_cut_off_serves_and_catches_up(
    mesh: mesh_module.Mesh,
) -> None:
    """A cut-off failure domain refuses its callers, or stays behind.

    One domain is cut off from the other and from the platform. Both have
    an upstream of their own. A bundle comes out meanwhile, and then the
    network comes back.
    """

    async def story(mesh: mesh_module.Mesh, relays: list[relay.Relay]) -> None:
        near, far = mesh.vms
        ticket = await mesh.ticket(far)
        for one in relays:
            one.cut()
        nonce = mesh.nonce()
        lost = await mesh.call(near, nonce, ticket)
        assert lost.outcome in {"not-run", "unknown"}
        assert await mesh.ran(nonce) == 0
        await mesh.publish(4)

        async def near_alone() -> bool:
            return (await mesh.held(near), await mesh.held(far)) == (4, 3)

        await mesh.until(near_alone)
        for vm in mesh.vms:
            await _serves(mesh, vm)
            own = await mesh.ticket(vm)
            told = await mesh.call(vm, mesh.nonce(), own)
            assert told.outcome == "done"
        for one in relays:
            one.heal()
        async with asyncio.timeout(IN_FORCE_SECONDS):
            await mesh.all_serve(4)

    _run(mesh, story, 3)


def test_bundle_after_the_platform_was_restored_is_in_force(
    mesh: mesh_module.Mesh,
) -> None:
    """Its index had been that of a bundle that the platform lost."""

    async def story(mesh: mesh_module.Mesh, relays: list[relay.Relay]) -> None:
        await mesh.publish(5)
        await mesh.all_serve(5)
        assert await mesh.ask("POST", mesh.control, "/restore?back=1")
        await mesh.publish(6)
        await mesh.all_serve(6)

    _run(mesh, story, 4)


def test_large_bundle_after_the_platform_was_restored_is_in_force_in_time(
    mesh: mesh_module.Mesh,
) -> None:
    """Bundles of 160 KB were compared by their index alone."""

    async def story(mesh: mesh_module.Mesh, relays: list[relay.Relay]) -> None:
        await mesh.publish(7, extra_classes=2_000)
        await mesh.all_serve(7)
        await asyncio.sleep(BOTH_WATCHES_SECONDS)
        assert await mesh.ask("POST", mesh.control, "/restore?back=1")
        await mesh.publish(8, extra_classes=2_000)
        async with asyncio.timeout(IN_FORCE_SECONDS):
            await mesh.all_serve(8)

    _run(mesh, story, 6)
