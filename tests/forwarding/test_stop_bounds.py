"""Tests that a stop takes no work that it then breaks off.

Each instance takes longer than its route's objective, so that an expected
time is no bound.
"""

from __future__ import annotations

import asyncio
import collections
import time

import pytest

from sassafrasstair.decisions import admission
from tests.forwarding import place
from tests.forwarding import test_path
from tests.forwarding import test_stops

A, B, C = place.HOSTS
LONG_SECONDS = 20.0
OBJECTIVE = 0.2
WORK_SECONDS = 1.2


class Place:
    """Daemons on A, B and C; those on A and C have instances of s and t.

    ``/t/`` is for t, whose instance answers after ``WORK_SECONDS``, and
    ``/s/`` for s. ``signalled_at`` is when A got its SIGTERM.
    """

    def __init__(self, grace: float) -> None:
        self.cluster = place.Cluster()
        self.cluster.grace = grace
        self.signalled_at = 0.0
        self.signalled = asyncio.Event()

    async def start(self, script: place.Script) -> None:
        """Start the daemons; ``script`` is that of the instance of s."""
        cluster = self.cluster
        cluster.policy(
            3,
            place.route("/s/", "s", False, LONG_SECONDS, objective=OBJECTIVE),
            place.route("/t/", "t", True, LONG_SECONDS, objective=OBJECTIVE),
        )
        await cluster.upstream(A, "s", script)
        await cluster.upstream(C, "t", work)
        for host, service in ((A, "s"), (B, "front"), (C, "t")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)

    async def run_on_a(self, deadline_ms: int) -> asyncio.Task[place.Answer]:
        """Send a request through B, and wait until it runs on A."""
        cluster = self.cluster
        running = asyncio.ensure_future(
            cluster.call(B, "/s/", "POST", deadline_ms=deadline_ms)
        )
        while not cluster.upstreams[A].got:
            await asyncio.sleep(0.005)
        return running

    def stop(self) -> asyncio.Task[None]:
        """Send SIGTERM to the daemon on A."""
        self.signalled_at = time.monotonic()
        self.signalled.set()
        return asyncio.ensure_future(self.cluster.stop(A))

    async def wait_until(self, at: float) -> None:
        """Wait until ``at`` seconds after SIGTERM."""
        await self.signalled.wait()
        elapsed = time.monotonic() - self.signalled_at
        await asyncio.sleep(max(0.0, at - elapsed))


async def work(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer later than expected."""
    await asyncio.sleep(WORK_SECONDS)
    writer.write(place.signed(got, b"whole"))


def _left_ms(got: place.ReceivedRequest, began_at: float) -> int:
    """Return what is left of a run's time, as instances pass it on."""
    elapsed_ms = 1000 * (time.monotonic() - began_at)
    return int(got.fields[b"x-deadline-ms"]) - int(elapsed_ms)


def _check(answer: place.Answer, runs: int) -> None:
    """Check that a request was answered, or refused without a run."""
    assert (answer.status, runs) in ((200, 1), (503, 0))


@pytest.mark.parametrize(("grace", "read_at"), [(4.0, 2.9), (6.0, 4.5)])
def test_upload_that_is_read_late_is_not_cut(
    grace: float, read_at: float
) -> None:
    """Its first byte came early, and its limit ends after the stop."""

    async def test() -> None:
        stop = test_stops.Stop(grace, WORK_SECONDS)
        await stop.start(LONG_SECONDS, OBJECTIVE)
        client = await stop.connect()
        key, head = stop.cluster.request("/u/", "POST", 400, 20_000)
        client.writer.write(head)

        async def send() -> test_stops.Ended:
            for number in range(8):
                await stop.wait_until(read_at * number / 7)
                client.writer.write(b"x" * 50)
            return await client.ended(key, 0.0)

        sending = asyncio.ensure_future(send())
        await stop.signal()
        ended = await sending
        assert not ended.lost, ended

    test_path.run(test())


@pytest.mark.parametrize("apart", [0.0, 1.0])
def test_request_that_expires_beside_a_run_is_not_cut(apart: float) -> None:
    """A client's request is no call of the upstream, whatever its deadline."""

    async def test() -> None:
        world = Place(6.0)
        await world.start(test_path.hang)
        running = await world.run_on_a(9000)
        expires = time.monotonic() + 9.0 + apart
        stopped = world.stop()
        await world.wait_until(4.2)
        left_ms = int(1000 * (expires - time.monotonic()))
        answer = await world.cluster.call(A, "/t/", deadline_ms=left_ms)
        await stopped
        running.cancel()
        _check(answer, len(world.cluster.upstreams[C].got))

    test_path.run(test())


def test_request_on_a_route_used_on_few_hosts_is_not_cut() -> None:
    """A route that clients use on hosts of one service looks internal."""

    async def test() -> None:
        world = Place(6.0)
        await world.start(test_path.hang)
        cluster = world.cluster
        cluster.upstreams[C].script = place.answer
        for _ in range(25):
            assert (await cluster.call(A, "/t/")).status == 200
        cluster.upstreams[C].script = work
        cluster.upstreams[C].got.clear()
        running = await world.run_on_a(9000)
        stopped = world.stop()
        await world.wait_until(4.2)
        answer = await cluster.call(A, "/t/", deadline_ms=15_000)
        await stopped
        running.cancel()
        _check(answer, len(cluster.upstreams[C].got))

    test_path.run(test())


@pytest.mark.parametrize(
    ("limit_ms", "status", "runs"), [(0, 503, 0), (1250, 200, 1)]
)
def test_late_call_of_the_upstream_is_not_cut(
    limit_ms: int, status: int, runs: int
) -> None:
    """It was taken if it could be expected to end, and took longer.

    It is taken if its own limit ends in time, and has not run otherwise.
    """

    async def test() -> None:
        world = Place(6.0)
        answers: list[place.Answer] = []

        async def call(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            began_at = time.monotonic()
            await world.wait_until(4.0)
            left_ms = limit_ms or _left_ms(got, began_at)
            answers.append(
                await world.cluster.call(A, "/t/", deadline_ms=left_ms)
            )
            writer.write(place.signed(got, b"whole"))

        await world.start(call)
        running = await world.run_on_a(9000)
        await world.stop()
        await running
        found = len(world.cluster.upstreams[C].got)
        assert (answers[0].status, found) == (status, runs)

    test_path.run(test())


@pytest.mark.parametrize(
    "offset_ms",
    [
        # The call has a limit of its own.
        -500,
        # The call was read 0.15 s after it was sent.
        150,
    ],
)
def test_call_with_another_deadline_than_its_run_is_taken(
    offset_ms: int,
) -> None:
    """On a route that clients use too, only the deadline tells of the run."""

    async def test() -> None:
        world = Place(4.0)
        answers: list[place.Answer] = []

        async def call(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            began_at = time.monotonic()
            await world.wait_until(2.6)
            left_ms = _left_ms(got, began_at) + offset_ms
            answers.append(
                await world.cluster.call(A, "/t/", deadline_ms=left_ms)
            )
            writer.write(place.signed(got, b"whole"))

        await world.start(call)
        world.cluster.upstreams[C].script = place.answer
        chains = world.cluster.daemons[A].daemon.chains
        admission.mark_called_by_clients(chains, "t")
        running = await world.run_on_a(4500)
        await world.stop()
        assert (await running).status == 200
        assert answers[0].status == 200

    test_path.run(test())


def test_internal_route_is_known_after_its_callee_has_restarted() -> None:
    """A daemon that has just started says that no route is internal."""

    async def test() -> None:
        world = Place(4.0)
        cluster = world.cluster
        answers: list[place.Answer] = []

        async def call(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            began_at = time.monotonic()
            await world.wait_until(2.6)
            left_ms = _left_ms(got, began_at) - 500
            answers.append(await cluster.call(A, "/t/", deadline_ms=left_ms))
            writer.write(place.signed(got, b"whole"))

        await world.start(call)
        cluster.upstreams[C].script = place.answer
        for _ in range(25):
            assert (await cluster.call(A, "/t/")).status == 200
        chains = cluster.daemons[A].daemon.chains
        assert admission.called_only_by_upstreams(chains, "t")
        await cluster.stop(C)
        await cluster.daemon(C, "t")
        await cluster.wait_until_known(C)
        while (await cluster.call(A, "/t/")).status != 200:
            await asyncio.sleep(0.1)
        running = await world.run_on_a(4500)
        await world.stop()
        assert (await running).status == 200
        assert answers[0].status == 200

    test_path.run(test())


def test_run_that_may_outlast_the_stop_is_not_started() -> None:
    """The daemon that took the request stops soon after, and gives it up."""

    async def test() -> None:
        async def run(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(3.0)
            writer.write(place.signed(got, b"whole"))

        world = Place(3.0)
        await world.start(run)
        stopped = world.stop()
        await world.wait_until(0.3)
        answering = asyncio.ensure_future(
            world.cluster.call(B, "/s/", "POST", deadline_ms=20_000)
        )
        await world.wait_until(1.0)
        other = asyncio.ensure_future(world.cluster.stop(B))
        answer = await answering
        await stopped
        await other
        _check(answer, len(world.cluster.upstreams[A].got))

    test_path.run(test())


def test_run_as_long_as_one_of_late_is_not_cut() -> None:
    """The average of many short runs hid that some take seconds."""

    async def test() -> None:
        delays: collections.deque[float] = collections.deque()

        async def run(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(delays.popleft())
            writer.write(place.signed(got, b"whole"))

        world = Place(3.0)
        await world.start(run)
        cluster = world.cluster
        for seconds in (2.6, *20 * [0.01]):
            delays.append(seconds)
            answer = await cluster.call(B, "/s/", "POST", deadline_ms=9000)
            assert answer.status == 200
        cluster.upstreams[A].got.clear()
        stopped = world.stop()
        await world.wait_until(0.3)
        delays.append(2.6)
        answer = await cluster.call(B, "/s/", "POST", deadline_ms=9000)
        await stopped
        _check(answer, len(cluster.upstreams[A].got))

    test_path.run(test())
