from __future__ import annotations

import asyncio
import signal
from tests.processes import mesh as mesh_module

OUTCOMES_AFTER_LOSS = {"unknown", "done"}


def test_owner_killed_in_the_middle_of_a_binding(
    pair: mesh_module.Mesh,
) -> None:
    """A broker's cover is bound twice, or "not run" is told of a bound one.

    The binding has started when the daemon that owns its ticket is killed;
    the broker repeats it through the other daemon, also once a new daemon
    is in the owner's place. The new one knows nothing of the binding.
    """

    async def story(mesh: mesh_module.Mesh) -> None:
        entrance, owner = mesh.vms
        await mesh.slow(owner, 5_000)
        ticket = await mesh.ticket(owner)
        nonce = mesh.nonce()
        call = asyncio.create_task(mesh.call(entrance, nonce, ticket))
        await mesh.started(nonce, call)
        owner.process.kill()
        told = await call
        assert told.outcome == "unknown", told
        again = await mesh.call(entrance, nonce, ticket, 1)
        assert again.outcome == "unknown"
        mesh.start_daemon(owner)
        await mesh.all_serve(1)
        for door in (entrance, owner):
            again = await mesh.call(door, nonce, ticket, 2)
            assert again.outcome == "unknown"
        assert await mesh.ran(nonce) == 1

    mesh_module.run(pair, story)


def test_entrance_killed_in_the_middle_of_a_binding(
    pair: mesh_module.Mesh,
) -> None:
    """A broker's connection is cut and the repeat binds a second time.

    The daemon that the broker called is killed while the owner's upstream
    runs the binding; the broker repeats at the owner's own daemon.
    """

    async def story(mesh: mesh_module.Mesh) -> None:
        entrance, owner = mesh.vms
        await mesh.slow(owner, 2_000)
        ticket = await mesh.ticket(owner)
        nonce = mesh.nonce()
        call = asyncio.create_task(mesh.call(entrance, nonce, ticket))
        await mesh.started(nonce, call)
        entrance.process.kill()
        assert (await call).outcome == "lost"
        again = await mesh.call(owner, nonce, ticket, 1, 20_000)
        assert again.outcome in OUTCOMES_AFTER_LOSS, again
        assert await mesh.ran(nonce) == 1

    mesh_module.run(pair, story)


def test_owner_that_pauses_past_the_deadline(
    pair: mesh_module.Mesh,
) -> None:
    """A binding runs after its broker was told that time was over.

    The owner is paused before the binding reaches it. The entrance gives
    up at the deadline. The owner wakes up with the binding in its socket
    and its clock's idea of how long the broker still waits out of date.
    """

    async def story(mesh: mesh_module.Mesh) -> None:
        entrance, owner = mesh.vms
        await mesh.slow(owner, 20)
        ticket = await mesh.ticket(owner)
        late = mesh.nonce()
        owner.process.send_signal(signal.SIGSTOP)
        told = await mesh.call(entrance, late, ticket, 0, 1_000)
        assert told.outcome == "unknown"
        owner.process.send_signal(signal.SIGCONT)
        await mesh.all_serve(1)
        again = await mesh.call(entrance, late, ticket, 1)
        if again.outcome == "not-run":
            assert await mesh.ran(late) == 0
        assert await mesh.ran(late) <= 1
        fresh = await mesh.ticket(owner)
        after = await mesh.call(entrance, mesh.nonce(), fresh)
        assert after.outcome == "done"
        assert await mesh.ran(late) <= 1

    mesh_module.run(pair, story)


def test_owner_that_pauses_in_the_middle_of_a_binding(
    pair: mesh_module.Mesh,
) -> None:
    """A broker who repeats after a pause has the cover bound twice.

    The owner pauses once its upstream has started. The upstream finishes,
    the entrance gives up at the deadline, and the owner wakes up with the
    answer, and then with the repeat of the same ticket.
    """

    async def story(mesh: mesh_module.Mesh) -> None:
        entrance, owner = mesh.vms
        # A new daemon: the old one's guard knows the slow bindings before
        # and would refuse this deadline as too short.
        owner.process.kill()
        owner.process.wait()
        await mesh.start()
        await mesh.slow(owner, 1_000)
        ticket = await mesh.ticket(owner)
        nonce = mesh.nonce()
        call = asyncio.create_task(
            mesh.call(entrance, nonce, ticket, 0, 3_000)
        )
        await mesh.started(nonce, call)
        owner.process.send_signal(signal.SIGSTOP)
        told = await call
        assert told.outcome == "unknown", told
        owner.process.send_signal(signal.SIGCONT)
        again = await mesh.call(entrance, nonce, ticket, 1)
        assert again.outcome in OUTCOMES_AFTER_LOSS, again
        assert await mesh.ran(nonce) == 1

    mesh_module.run(pair, story)
