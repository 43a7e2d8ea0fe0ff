"""Tests of requests whose clients leave, or give up, while they wait."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.httpio import _connections
from tests.forwarding import place
from tests.forwarding import test_path

if typing.TYPE_CHECKING:
    from collections import abc

A, B, C = place.HOSTS
NOTICED_SECONDS = 0.5
BODY = b"12345678"
LONG_TIMEOUT = 10.0


class World:
    """An instance on B with few slots, which answers when told."""

    def __init__(self) -> None:
        self.cluster = place.Cluster()
        self.go = asyncio.Event()

    async def start(self, slots: int = 1, idempotent: bool = False) -> None:
        """Start a client's daemon on A, and an instance on B."""
        cluster = self.cluster
        cluster.policy(3, place.route("/s/", "s", idempotent, LONG_TIMEOUT))
        await cluster.upstream(B, "s", self._script, slots=slots)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)

    @property
    def received(self) -> int:
        """How many requests the instance received."""
        return len(self.cluster.upstreams[B].got)

    @property
    def executions(self) -> int:
        """How many requests run at the instance or wait for it."""
        return len(self.cluster.daemons[B].daemon.executions)

    async def connect(self, host: str) -> asyncio.StreamWriter:
        """Return the writing side of a new connection to a daemon."""
        _, writer = await asyncio.open_connection(host, self.cluster.ports[0])
        return writer

    async def wait_for_executions(self, count: int) -> None:
        """Wait until so many requests run or wait at the instance."""
        while self.executions != count:
            await asyncio.sleep(0.005)

    async def _script(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await self.go.wait()
        writer.write(place.signed(got, b"whole"))


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _abort(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _end_writing(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


@pytest.mark.parametrize("host", [A, B], ids=["forwarded", "local"])
@pytest.mark.parametrize("leave", [_close, _abort, _end_writing])
def test_request_that_waits_for_a_slot_is_not_run_after_its_client_left(
    host: str, leave: abc.Callable[[asyncio.StreamWriter], typing.Any]
) -> None:
    """Instances would work for nobody just when they have no free slot."""

    async def test() -> None:
        world = World()
        await world.start()
        first = asyncio.ensure_future(
            world.cluster.call(A, "/s/", "POST", deadline_ms=9000)
        )
        await world.wait_for_executions(1)
        writer = await world.connect(host)
        writer.write(world.cluster.request("/s/", "POST")[1])
        await world.wait_for_executions(2)
        await leave(writer)
        async with asyncio.timeout(NOTICED_SECONDS):
            await world.wait_for_executions(1)
        world.go.set()
        assert (await first).status == 200
        assert (await world.cluster.call(A, "/s/", "POST")).status == 200
        assert world.received == 2

    test_path.run(test())


@pytest.mark.parametrize("host", [A, B], ids=["forwarded", "local"])
@pytest.mark.parametrize("deadline_ms", [100, 600])
def test_request_that_was_refused_while_it_waited_does_not_run_later(
    deadline_ms: int, host: str
) -> None:
    """Its client may have sent it again: it would run twice."""

    async def test() -> None:
        world = World()
        await world.start()
        first = asyncio.ensure_future(
            world.cluster.call(A, "/s/", "POST", deadline_ms=9000)
        )
        await world.wait_for_executions(1)
        second = await world.cluster.call(
            host, "/s/", "POST", deadline_ms=deadline_ms
        )
        assert second.status == 503
        world.go.set()
        assert (await first).status == 200
        assert (await world.cluster.call(A, "/s/", "POST")).status == 200
        assert world.received == 2

    test_path.run(test())


@pytest.mark.parametrize("leave", [_close, _abort, _end_writing])
def test_half_read_request_is_not_run_after_its_client_left(
    leave: abc.Callable[[asyncio.StreamWriter], typing.Any],
) -> None:
    """A client that gives up while it uploads has not sent a request."""

    async def test() -> None:
        world = World()
        await world.start()
        world.go.set()
        writer = await world.connect(A)
        _, head = world.cluster.request("/s/", "POST", len(BODY))
        writer.write(head + BODY[:-1])
        await asyncio.sleep(0.05)
        await leave(writer)
        assert (await world.cluster.call(A, "/s/", "POST")).status == 200
        assert world.received == 1
        assert world.cluster.daemons[A].daemon.memory.held_bytes == 0

    test_path.run(test())


@pytest.mark.parametrize("leave", [_close, _abort, _end_writing])
@pytest.mark.parametrize(
    "count",
    [
        pytest.param(3, id="few"),
        pytest.param(
            _connections.SIDE_BY_SIDE_MAX + _connections.PIPELINED_MAX,
            id="reading_is_paused",
        ),
    ],
)
def test_client_that_leaves_is_noticed_behind_its_pipelined_requests(
    count: int, leave: abc.Callable[[asyncio.StreamWriter], typing.Any]
) -> None:
    """While enough requests wait, nothing is read from the connection.

    The instance would go on with all of them, one after the other.
    """

    async def test() -> None:
        world = World()
        await world.start(slots=count, idempotent=True)
        writer = await world.connect(A)
        for _ in range(count):
            writer.write(world.cluster.request("/s/", deadline_ms=9000)[1])
        started = min(count, _connections.SIDE_BY_SIDE_MAX)
        await world.wait_for_executions(started)
        await asyncio.sleep(0.05)
        await leave(writer)
        async with asyncio.timeout(NOTICED_SECONDS):
            await world.wait_for_executions(0)
        world.go.set()
        await asyncio.sleep(0.1)
        assert world.received == started

    test_path.run(test())
