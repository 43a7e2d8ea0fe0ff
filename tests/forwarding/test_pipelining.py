"""Tests of requests that a client sends ahead of earlier answers."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _stops
from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
TIMEOUT = 0.5


class World:
    """A client of the daemon on A, and an instance that answers when told.

    ``/s/`` is a safe route and ``/u/`` one that is not.
    """

    def __init__(self, timeout: float) -> None:
        self.cluster = place.Cluster()
        self.timeout = timeout
        self.released: dict[str, asyncio.Event] = {}
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def start(self) -> None:
        """Start two daemons and an instance, and connect the client."""
        cluster = self.cluster
        cluster.policy(
            3,
            place.route("/s/", "s", True, self.timeout),
            place.route("/u/", "s", False, self.timeout),
        )
        await cluster.upstream(B, "s", self._script)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        self.reader, self.writer = await asyncio.open_connection(
            A, cluster.ports[0]
        )

    @property
    def counters(self) -> _counters.Counters:
        """The counters of the client's daemon."""
        return self.cluster.daemons[A].daemon.counters

    @property
    def got(self) -> list[str]:
        """The paths that the instance received, sorted."""
        received = self.cluster.upstreams[B].got
        return sorted(got.line.split(b" ")[1].decode() for got in received)

    def send(
        self, *paths: str, deadline_ms: int = 4000, headers: str = ""
    ) -> None:
        """Send one request after the other, without waiting for answers."""
        for path in paths:
            self.writer.write(
                (
                    f"GET {path} HTTP/1.1\r\nHost: a.example\r\n{headers}"
                    f"X-Request: {path}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                    "\r\n"
                ).encode()
            )

    def release(self, *paths: str) -> None:
        """Let the instance answer these requests."""
        for path in paths:
            self._event(path).set()

    async def wait_until_received(self, *paths: str) -> None:
        """Wait until the instance has received exactly these requests."""
        while len(self.got) < len(paths):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        assert self.got == sorted(paths)

    async def read(self, count: int) -> list[tuple[str, int]]:
        """Read answers; return the path and the status of each."""
        found = []
        for _ in range(count):
            answer = await place.read_answer(self.reader, 0.0)
            path = answer.fields.get(b"x-request", b"").decode()
            found.append((path, answer.status))
        return found

    async def _script(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await self._event(got.line.split(b" ")[1].decode()).wait()
        writer.write(place.signed(got, b"whole"))

    def _event(self, path: str) -> asyncio.Event:
        return self.released.setdefault(path, asyncio.Event())


def run(
    test: typing.Callable[[World], typing.Awaitable[None]],
    timeout: float = 2.0,
) -> None:
    """Run a test in its own event loop, with a timeout."""

    async def start_and_test() -> None:
        world = World(timeout)
        await world.start()
        await test(world)
        world.writer.close()

    test_path.run(start_and_test())


def test_requests_of_safe_routes_run_side_by_side() -> None:
    """Each would wait for the one before it, and time out behind it."""

    async def test(world: World) -> None:
        paths = [f"/s/{number}" for number in range(4)]
        world.send(*paths)
        await world.wait_until_received(*paths)
        for path in reversed(paths):
            world.release(path)
            await asyncio.sleep(0.02)
        assert await world.read(4) == [(path, 200) for path in paths]
        assert world.counters.pipelined == {"beside": 3}

    run(test)


@pytest.mark.parametrize("second", ["/u/2", "/none/2"])
def test_request_of_no_safe_route_runs_alone(second: str) -> None:
    """A method does not tell whether a request may run beside others."""

    async def test(world: World) -> None:
        world.send("/s/1", second, "/s/3")
        await world.wait_until_received("/s/1")
        world.release("/s/1", "/u/2", "/s/3")
        answers = await world.read(3)
        status = 200 if second == "/u/2" else 404
        assert answers == [("/s/1", 200), (second, status), ("/s/3", 200)]
        assert world.counters.pipelined == {"waited": 2}

    run(test)


def test_deadline_behind_a_slow_first_request() -> None:
    """The third's time is over while the first still runs.

    Its answer is held until its turn, and delays none of the others.
    """

    async def test(world: World) -> None:
        world.send("/s/1", "/s/2")
        world.send("/s/3", deadline_ms=100)
        await world.wait_until_received("/s/1", "/s/2", "/s/3")
        world.release("/s/2")
        await asyncio.sleep(0.2)
        world.release("/s/1")
        answers = await world.read(3)
        assert answers == [("/s/1", 200), ("/s/2", 200), ("/s/3", 504)]

    run(test)


@pytest.mark.parametrize("late", ["/s/2", "/u/2"])
def test_request_whose_time_is_over_when_it_starts_is_not_run(
    late: str,
) -> None:
    """It waits for an unsafe one that times out.

    It would be run in vain, and 504 would not tell the client that it may
    send it again.
    """

    async def test(world: World) -> None:
        world.send("/u/1", late, "/s/3")
        answers = await world.read(3)
        assert answers == [("/u/1", 504), (late, 503), ("/s/3", 503)]
        assert world.got == ["/u/1"]

    run(test, TIMEOUT)


def test_shutdown_answers_all_that_was_read() -> None:
    """SIGTERM arrives while two of three requests run.

    The third, and one that is sent later, were read and got no answer.
    """

    async def test(world: World) -> None:
        paths = ["/s/1", "/s/2", "/u/3", "/s/4"]
        world.send(*paths[:3])
        await world.wait_until_received("/s/1", "/s/2")
        running = world.cluster.daemons[A]
        stopping = asyncio.ensure_future(_stops.stop(running))
        await asyncio.sleep(0.05)
        world.send("/s/4")
        world.release("/s/2", "/s/1", "/u/3", "/s/4")
        answers = await world.read(5)
        assert answers == [*((path, 200) for path in paths), ("", 0)]
        await asyncio.wait_for(stopping, place.GRACE)
        assert world.got == sorted(paths)
        assert world.counters.pipelined == {"beside": 1, "waited": 2}

    run(test)


@pytest.mark.parametrize("first", ["/s/1", "/u/1"])
def test_shutdown_refuses_what_waits_behind_a_request_that_is_cut(
    first: str,
) -> None:
    """It was read, has not run, and the connection ended without a word."""

    async def test(world: World) -> None:
        world.send(first, "/u/2", "/s/3", deadline_ms=9000)
        await world.wait_until_received(first)
        stopping = asyncio.ensure_future(_stops.stop(world.cluster.daemons[A]))
        answers = await world.read(4)
        assert answers == [(first, 502), ("/u/2", 503), ("/s/3", 503), ("", 0)]
        await asyncio.wait_for(stopping, place.GRACE)
        assert world.got == [first]

    run(test, 3 * place.GRACE)


def test_client_that_leaves_ends_all_its_running_requests() -> None:
    """Instances would go on with requests that nobody waits for."""

    async def test(world: World) -> None:
        world.send("/s/1", "/s/2", "/u/3")
        await world.wait_until_received("/s/1", "/s/2")
        world.writer.close()
        for got in world.cluster.upstreams[B].got:
            await asyncio.wait_for(got.cut.wait(), 1.0)
        assert not world.cluster.daemons[A].daemon.calls
        assert world.got == ["/s/1", "/s/2"]

    run(test)


def test_request_without_an_answer_delays_others_to_its_deadline() -> None:
    """Answers behind it would be held until the client leaves."""

    async def test(world: World) -> None:
        world.send("/s/1", "/s/2")
        await world.wait_until_received("/s/1", "/s/2")
        world.release("/s/2")
        answers = await world.read(2)
        assert answers == [("/s/1", 504), ("/s/2", 200)]

    run(test, TIMEOUT)


def test_connection_close_of_the_client_ends_what_it_sends() -> None:
    """What follows would run here, and run again when it is sent again."""

    async def test(world: World) -> None:
        world.send("/s/1")
        world.send("/u/2", headers="Connection: close\r\n")
        world.send("/u/3")
        world.release("/s/1", "/u/2", "/u/3")
        answers = await world.read(3)
        assert answers == [("/s/1", 200), ("/u/2", 200), ("", 0)]
        assert world.got == ["/s/1", "/u/2"]

    run(test)
