"""Tests of what becomes of each kind of work when a daemon stops."""

from __future__ import annotations

import asyncio
import collections
import time

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.forwarding import _daemon
from sassafrasstair.forwarding import _probes
from tests.forwarding import place
from tests.forwarding import test_path
from tests.forwarding import test_stops

A, B, C = place.HOSTS
STALL_SECONDS = 0.3
CALLS = 15


async def _calling_instance(
    grace: float, delays: collections.deque[float]
) -> place.Cluster:
    """Start an instance on B that calls the one on C, through its daemon.

    It waits before that, for the next of ``delays`` if there is one.
    """
    cluster = place.Cluster()
    cluster.grace = grace
    cluster.policy(
        3,
        place.route("/s/", "s", False, 4.0, objective=0.2),
        place.route("/inner/", "t", True, 4.0, objective=0.2),
    )

    async def call(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        delay = delays.popleft() if delays else 0.0
        await asyncio.sleep(delay)
        left_ms = int(got.fields[b"x-deadline-ms"]) - int(1000 * delay)
        answer = await cluster.call(B, "/inner/", deadline_ms=left_ms)
        ok = answer.status == 200
        status = b"200 OK" if ok else b"500 Internal Server Error"
        writer.write(place.signed(got, b"whole", status))

    await cluster.upstream(B, "s", call)
    await cluster.upstream(C, "t")
    for host, service in ((A, "front"), (B, "s"), (C, "t")):
        await cluster.daemon(host, service)
    await cluster.wait_until_known(A, B, C)
    return cluster


@pytest.mark.parametrize(("grace", "call_at"), [(2.0, 1.3), (4.0, 2.6)])
def test_run_that_calls_late_in_a_stop_is_completed(
    grace: float, call_at: float
) -> None:
    """The daemon refused connections while its upstream ran a request."""

    async def test() -> None:
        delays: collections.deque[float] = collections.deque()
        cluster = await _calling_instance(grace, delays)
        chains = cluster.daemons[B].daemon.chains
        chains.inner_routes.add("inner")
        delays.append(call_at)
        call = asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        while delays:
            await asyncio.sleep(0.01)
        await cluster.stop(B)
        assert (await call).status == 200

    test_path.run(test())


def test_work_of_others_that_waits_at_the_end_runs_elsewhere() -> None:
    """What waited for a slot was lost with what ran, and not repeated."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 1.0
        cluster.policy(3, place.route("/s/", "s", False, 4.0))
        await cluster.upstream(B, "s", test_path.hang, slots=1)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        calls = [
            asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
            for _ in range(3)
        ]
        daemon = cluster.daemons[B].daemon
        while len(daemon.executions) < len(calls):
            await asyncio.sleep(0.01)
        await cluster.upstream(C, "s")
        await cluster.daemon(C, "s")
        await cluster.wait_until_known(A, C)
        await cluster.stop(B)
        statuses = [got.status for got in await asyncio.gather(*calls)]
        assert sorted(statuses) == [200, 200, 502]
        assert len(cluster.upstreams[B].got) == 1

    test_path.run(test())


def test_stalled_upload_is_refused_and_does_not_delay_the_end() -> None:
    """A client that stops midway would keep the upstream idle for long."""

    async def test() -> None:
        stop = test_stops.Stop(6.0)
        await stop.start(4.0)
        client = await stop.connect()
        _, head = stop.cluster.request("/u/", "POST", 400)
        client.writer.write(head + b"x")
        ended = asyncio.ensure_future(client.ended("", 0.0))
        await stop.signal()
        assert stop.elapsed < 3.3
        assert (await ended).status == 503

    test_path.run(test())


@pytest.mark.parametrize("grace", [2.0, 4.0])
def test_no_request_is_lost_when_everything_changes_during_a_stop(
    grace: float,
) -> None:
    """Settings and policies change in series, and the store is away.

    The other daemon stops, too, and the event loop stands still at times.
    """

    async def change(stop: test_stops.Stop) -> None:
        cluster = stop.cluster
        await stop.signalled.wait()
        for version in range(4, 100):
            await asyncio.sleep(grace / 20)
            cluster.settings_mark = version
            timeout = 1.0 if version % 2 else 2.0
            cluster.policy(
                version,
                place.route("/s/", "s", True, timeout, objective=0.5),
                place.route("/u/", "s", False, timeout, objective=0.5),
            )
            if version == 8:
                cluster.source.away.update(place.HOSTS)
            if version % 6 == 0:
                _daemon._reload(cluster.daemons[A])
                time.sleep(STALL_SECONDS * grace / 6)

    async def test() -> None:
        stop = test_stops.Stop(grace)
        await stop.start()
        changing = asyncio.ensure_future(change(stop))
        clients = await asyncio.gather(*(stop.connect() for _ in range(20)))
        tasks = [
            asyncio.ensure_future(
                test_stops.send_at_once(client, grace * number / 20)
            )
            for number, client in enumerate(clients)
        ]
        other = asyncio.ensure_future(_stop_later(stop, B, 0.3 * grace))
        await stop.signal()
        assert stop.elapsed <= grace
        await other
        changing.cancel()
        ended = [
            one for found in await asyncio.gather(*tasks) for one in found
        ]
        assert [one for one in ended if one.lost or one.misreported] == []

    test_path.run(test())


async def _stop_later(stop: test_stops.Stop, host: str, at: float) -> None:
    await stop.wait_until(at)
    await stop.cluster.stop(host)


def test_request_that_waits_for_a_quota_at_the_signal_has_one_outcome() -> (
    None
):
    """The token may come after the daemon has begun to stop."""

    async def test() -> None:
        key = b"key-of-one"
        stop = test_stops.Stop(1.0, 0.05)
        stop.cluster.customers = (
            policies.Customer("one", (policies.digest_key(key),), rate=5.0),
        )
        await stop.start(0.8)
        calls = [
            asyncio.ensure_future(
                stop.cluster.call(
                    A, "/u/", "POST", headers=b"X-Key: %s\r\n" % key
                )
            )
            for _ in range(30)
        ]
        await asyncio.sleep(0.01)
        await stop.signal()
        statuses = [got.status for got in await asyncio.gather(*calls)]
        assert set(statuses) <= {200, 429, 503}
        assert statuses.count(200) == sum(stop.runs.values())

    test_path.run(test())


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_requests_are_served_while_all_instances_daemons_stop(
    method: str,
) -> None:
    """Each daemon left the requests to the others, which stopped, too."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 4.0
        cluster.policy(3, place.route("/s/", "s", method == "GET", 1.0))
        for host in (B, C):
            await cluster.upstream(host, "s")
        for host, service in ((A, "front"), (B, "s"), (C, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        stopping = [
            asyncio.ensure_future(cluster.stop(host)) for host in (B, C)
        ]
        statuses = []
        for _ in range(CALLS):
            await asyncio.sleep(0.1)
            statuses.append((await cluster.call(A, "/s/", method)).status)
        assert statuses == [200] * CALLS
        runs = sum(len(cluster.upstreams[host].got) for host in (B, C))
        assert runs == CALLS
        await asyncio.gather(*stopping)

    test_path.run(test())


def test_request_that_no_stopping_daemon_can_end_has_not_run() -> None:
    """As a last resort, too, it must be expected to end in time."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 1.0
        cluster.policy(3, place.route("/s/", "s", False, 4.0))

        async def work(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.4)
            await place.answer(got, writer)

        await cluster.upstream(B, "s", work)
        for host, service in ((A, "front"), (B, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B)
        for _ in range(3):
            assert (await cluster.call(A, "/s/", "POST")).status == 200
        stopping = asyncio.ensure_future(cluster.stop(B))
        await asyncio.sleep(0.5)
        assert (await cluster.call(A, "/s/", "POST")).status == 503
        assert len(cluster.upstreams[B].got) == 3
        await stopping

    test_path.run(test())


def test_daemon_gets_no_requests_shortly_before_it_ends() -> None:
    """A request that crosses the end of its connection has no known outcome.

    A ping of the entrance asked for further ones until the end.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 4.0
        cluster.policy(3, place.route("/s/", "s", False, 3.0, objective=0.2))
        delays = collections.deque([2.9])

        async def work(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(delays.popleft() if delays else 0.01)
            await place.answer(got, writer)

        await cluster.upstream(B, "s", work)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        running = asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        while delays:
            await asyncio.sleep(0.01)
        daemon = cluster.daemons[B].daemon
        stopping = asyncio.ensure_future(cluster.stop(B))
        await asyncio.sleep(0.0)
        assert daemon.stop is not None
        until = daemon.stop.last_resort_until
        while daemon.clock.monotonic() < until:
            await cluster.call(A, "/s/", "POST")
            await asyncio.sleep(0.05)
        await cluster.call(A, "/s/", "POST")
        await asyncio.sleep(0.7)
        assert not stopping.done()
        attempts = cluster.daemons[A].daemon.counters.last_resort_attempts
        assert attempts > 0
        assert (await cluster.call(A, "/s/", "POST")).status == 503
        after = cluster.daemons[A].daemon.counters.last_resort_attempts
        assert after == attempts
        assert (await running).status == 200
        await stopping

    test_path.run(test())


def test_daemon_that_still_runs_everything_gets_no_last_resorts() -> None:
    """Its stop would last longer, though other instances can take them."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 6.0
        cluster.policy(3, place.route("/s/", "s", True, 1.0))
        await cluster.upstream(B, "s")
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        assert (await cluster.call(A, "/s/")).status == 200
        stopping = asyncio.ensure_future(cluster.stop(B))
        await asyncio.sleep(0.1)
        daemon = cluster.daemons[A].daemon
        _probes._ping(daemon, f"i-{B}", B)
        await asyncio.sleep(0.2)
        assert not daemon.routes.peers[f"i-{B}"].leaving
        await stopping

    test_path.run(test())
