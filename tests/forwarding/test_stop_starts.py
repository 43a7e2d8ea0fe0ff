"""Tests that a stop starts nothing that it can't end, and ends in time."""

from __future__ import annotations

import asyncio
import collections
import typing

import pytest

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import policies
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _customers
from sassafrasstair.forwarding import _quotas
from sassafrasstair.forwarding import _stops
from sassafrasstair import outcomes
from tests.forwarding import place
from tests.forwarding import test_path
from tests.forwarding import test_stop_outcomes
from tests.forwarding import test_stops

A, B, C = place.HOSTS


async def _local_world(
    grace: float, script: place.Script, timeout: float = 4.0
) -> place.Cluster:
    """Start one daemon whose clients call the instance on the same VM."""
    cluster = place.Cluster()
    cluster.grace = grace
    cluster.policy(3, place.route("/s/", "s", False, timeout, objective=4.0))
    await cluster.upstream(A, "s", script, slots=1)
    await cluster.daemon(A, "s")
    await cluster.wait_until_known(A)
    return cluster


async def _queue(
    cluster: place.Cluster, count: int
) -> list[asyncio.Task[place.Answer]]:
    calls = [
        asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        for _ in range(count)
    ]
    while len(cluster.daemons[A].daemon.executions) < count:
        await asyncio.sleep(0.005)
    return calls


def test_final_answers_do_not_start_the_requests_that_wait() -> None:
    """Ending a call freed its slot, and the next was started and lost."""

    async def test() -> None:
        cluster = await _local_world(1.0, test_path.hang)
        await cluster.daemon(B, "front")
        await cluster.wait_until_known(B)
        calls = await _queue(cluster, 1)
        waiting = asyncio.ensure_future(cluster.call(B, "/s/", "POST"))
        daemon = cluster.daemons[A].daemon
        while len(daemon.executions) < 2:
            await asyncio.sleep(0.005)
        # A job is sent at once on an idle connection of the pool.
        daemon.upstream.try_connect(lambda reached: None)
        await cluster.stop(A)
        assert (await calls[0]).status == 502
        await asyncio.sleep(0.05)
        assert len(cluster.upstreams[A].got) == 1
        assert (await waiting).status == 503

    test_path.run(test())


def test_request_that_waits_is_not_started_just_before_the_final_answers() -> (
    None
):
    """The time left was asked for when a request came, not when it started."""

    async def test() -> None:
        async def work(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.75)
            writer.write(place.signed(got, b"whole"))

        cluster = await _local_world(1.0, work)
        calls = await _queue(cluster, 2)
        await cluster.stop(A)
        statuses = [got.status for got in await asyncio.gather(*calls)]
        assert sorted(statuses) == [200, 503]
        assert len(cluster.upstreams[A].got) == 1

    test_path.run(test())


def test_refusals_do_not_lower_the_expected_time_of_a_route() -> None:
    """After load shedding, a stop took what could not end in time."""

    async def test() -> None:
        stop = test_stops.Stop(2.0)
        await stop.start()
        daemon = stop.cluster.daemons[A].daemon
        assert daemon.view.table is not None
        route = daemon.view.table.policy.routes[0]
        for _ in range(30):
            _counters.count_answer(
                daemon.counters, route.name, 5, 200, "answered", 1.9
            )
        for _ in range(300):
            _counters.count_answer(
                daemon.counters, route.name, 5, 503, "shed_at_entrance", 0.0
            )
        assert _arrivals._expected_seconds(daemon, route) >= 1.0
        await stop.cluster.stop(A)
        await stop.cluster.stop(B)

    test_path.run(test())


def test_malformed_deadline_of_a_half_read_request_does_not_end_the_stop() -> (
    None
):
    """The error left the loop of the stop, and the process ended at once."""

    async def test() -> None:
        stop = test_stops.Stop(2.0, 0.5)
        await stop.start()
        client, other = await stop.connect(), await stop.connect()
        key, head = stop.cluster.request("/u/", "POST", 0)
        other.writer.write(head)
        _, head = stop.cluster.request("/u/", "POST", 400)
        head = head.replace(b"Ms: 4000", b"Ms: " + b"9" * 400)
        client.writer.write(head + b"x")
        running = asyncio.ensure_future(other.ended(key, 0.0))
        await asyncio.sleep(0.05)
        await stop.signal()
        assert (await running).status == 200

    test_path.run(test())


def test_upload_past_its_deadline_does_not_delay_the_end() -> None:
    """A body that trickles on after its route's timeout held up the stop."""

    async def test() -> None:
        stop = test_stops.Stop(6.0)
        await stop.start(1.0)
        client = await stop.connect()
        _, head = stop.cluster.request("/u/", "POST", 400)
        client.writer.write(head + b"x")

        async def trickle() -> None:
            while not client.writer.is_closing():
                client.writer.write(b"x")
                await asyncio.sleep(0.3)

        trickling = asyncio.ensure_future(trickle())
        await stop.signal()
        trickling.cancel()
        assert stop.elapsed < 3.5

    test_path.run(test())


@pytest.mark.parametrize("calls_before", [0, 50])
def test_call_of_the_upstream_on_a_shared_route_is_taken_late_in_a_stop(
    calls_before: int,
) -> None:
    """Calls were known only by routes that certainly no client uses."""

    async def test() -> None:
        delays: collections.deque[float] = collections.deque()
        cluster = await test_stop_outcomes._calling_instance(4.0, delays)
        for _ in range(calls_before):
            assert (await cluster.call(A, "/s/", "POST")).status == 200
        chains = cluster.daemons[B].daemon.chains
        admission.mark_called_by_clients(chains, "inner")
        delays.append(2.6)
        call = asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        while delays:
            await asyncio.sleep(0.01)
        await cluster.stop(B)
        assert (await call).status == 200

    test_path.run(test())


def test_retry_is_not_sent_just_before_the_final_answers() -> None:
    """The time left was asked for at the first attempt only."""

    async def test() -> None:
        late = asyncio.Event()

        async def refuse_late(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await late.wait()
            await test_path.refuse(got, writer)

        cluster = place.Cluster()
        cluster.grace = 1.0
        cluster.policy(3, place.route("/s/", "s", False, 4.0, objective=0.5))
        await cluster.upstream(B, "s", refuse_late)
        for host, service in ((A, "front"), (B, "s"), (C, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        call = asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        while not cluster.upstreams[B].got:
            await asyncio.sleep(0.005)
        await cluster.upstream(C, "s", test_path.hang)
        await cluster.wait_until_known(A, C)
        asyncio.get_running_loop().call_later(0.75, late.set)
        await cluster.stop(A)
        assert (await call).status == 503
        assert not cluster.upstreams[C].got

    test_path.run(test())


def test_request_that_waits_for_a_quota_is_not_sent_too_late() -> None:
    """The time left was asked for before the wait for a token."""

    async def test() -> None:
        stop = test_stops.Stop(1.0, 5.0)
        await stop.start(4.0)
        daemon = stop.cluster.daemons[A].daemon
        assert daemon.view.table is not None
        reader, writer = await asyncio.open_connection(
            A, stop.cluster.ports[0]
        )
        client = test_stops.Client(stop, reader, writer)
        held: list[typing.Callable[[outcomes.Reason], None]] = []
        customer = policies.Customer("one", (), rate=5.0)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(_customers, "identify", lambda *arguments: customer)
            patch.setattr(
                _quotas,
                "take_token",
                lambda daemon, customer, answer: held.append(answer),
            )
            key, head = stop.cluster.request("/u/", "POST")

            async def send() -> test_stops.Ended:
                await stop.wait_until(0.3)
                client.writer.write(head)
                await stop.wait_until(0.75)
                held[0](outcomes.Reason.NONE)
                return await client.ended(key, 0.3)

            sent = asyncio.ensure_future(send())
            await stop.signal()
            ended = await sent
        assert (ended.status, ended.runs) == (503, 0)

    test_path.run(test())


def test_stop_ends_within_the_grace_period_if_each_step_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error that comes back would keep the process until it is killed."""

    def fail(*arguments: object) -> None:
        raise RuntimeError("each step")

    async def test() -> None:
        stop = test_stops.Stop(1.0)
        await stop.start()
        monkeypatch.setattr(_stops, "_step", fail)
        await stop.signal()
        assert stop.elapsed < 1.0

    test_path.run(test())
