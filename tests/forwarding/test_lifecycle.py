"""Stop, reload and freeze of a daemon while requests are under way."""

from __future__ import annotations

import asyncio
import time

from sassafrasstair.forwarding import _daemon
from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS


def test_planned_stop_cuts_nothing() -> None:
    """SIGTERM comes while requests run and while more arrive.

    Each gets its answer; readiness says at once that others should serve.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.3)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        world = await test_path._world(slow)
        running = world.daemons[A]
        calls = [asyncio.ensure_future(world.call(A, "/s/"))]
        await asyncio.sleep(0.05)

        stopping = asyncio.ensure_future(_daemon.stop(running))
        await asyncio.sleep(0.05)
        calls.append(asyncio.ensure_future(world.call(A, "/s/")))
        reader, writer = await asyncio.open_connection(A, world.ports[2])
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        writer.close()
        answers = await asyncio.gather(*calls)
        assert [got.status for got in answers] == [200, 200]
        assert answers[1].fields[b"connection"] == b"close"
        await asyncio.wait_for(stopping, place.GRACE)

    test_path.run(test())


def test_settings_that_change_cut_nothing() -> None:
    """The settings file changes without a signal while a request runs.

    First it can't be read, as in the middle of its writing: nothing changes
    and the log says why. Then it has another memory limit.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(1.0)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        world = await test_path._world(slow)
        memory = world.daemons[A].daemon.memory
        before = memory.limit
        call = asyncio.ensure_future(world.call(A, "/s/", "POST"))
        await asyncio.sleep(0.05)
        world.bad_settings, world.settings_mark = True, 1
        while not any(b"settings_refused" in line for line in world.lines):
            await asyncio.sleep(0.02)
        assert memory.limit == before
        world.memory_bytes, world.settings_mark = 50_000_000, 2
        world.bad_settings = False
        while memory.limit == before:
            await asyncio.sleep(0.02)
        assert not call.done()
        assert (await call).status == 200

    test_path.run(test())


def test_deadlines_are_looked_at_again_after_a_freeze() -> None:
    """The VM stands still for longer than a request may take.

    A request that waited for a slot must not be started when the VM wakes
    up: nobody waits for it any more. Its client gets its final answer at
    once.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.2)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        world = await test_path._world(
            slow, idempotent=False, timeout=0.5, slots=1
        )
        calls = [
            asyncio.ensure_future(world.call(A, "/s/", "POST"))
            for _ in range(3)
        ]
        while len(world.daemons[B].daemon.executions) < len(calls):
            await asyncio.sleep(0.01)
        time.sleep(1.0)
        woken = time.monotonic()
        statuses = [got.status for got in await asyncio.gather(*calls)]
        assert time.monotonic() - woken < 0.5
        assert len(world.upstreams[B].got) == 1
        assert set(statuses) <= {503, 504}

    test_path.run(test())


def test_upstream_of_a_stopping_daemon_works_on_for_a_while() -> None:
    """Daemons are stopped one after the other, each beside its upstream.

    The upstream got no work from the signal until the daemon was back, so
    that a service of four lost a quarter of its room for 4 s each time. New
    work is turned away, unsent, only shortly before the daemon ends.
    """

    async def test() -> None:
        world = await test_path._world(idempotent=False)
        await world.upstream(C, "s")
        await world.daemon(C, "s")
        await world.wait_until_known(A, B, C)
        stopping = asyncio.ensure_future(_daemon.stop(world.daemons[B]))
        await asyncio.sleep(0.1)
        for _ in range(20):
            assert (await world.call(A, "/s/", "POST")).status == 200
        assert world.upstreams[B].got
        while not world.daemons[B].daemon.upstream_leaving:
            await asyncio.sleep(0.01)
        before = len(world.upstreams[B].got)
        for _ in range(20):
            assert (await world.call(A, "/s/", "POST")).status == 200
        assert len(world.upstreams[B].got) == before
        await asyncio.wait_for(stopping, place.GRACE)

    test_path.run(test())
