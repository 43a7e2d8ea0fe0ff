"""Tests of an instance that restarts under the same id."""

from __future__ import annotations

import asyncio
import time
import typing

import pytest

from sassafrasstair.decisions import views
from tests.forwarding import place

A, B, C = place.HOSTS
AGO_MS = 60_000


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(test, 20.0))


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


async def _hang(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(60.0)


async def _start_cluster(idempotent: bool) -> place.Cluster:
    """Start a client's VM A, and a hanging instance with one slot on B."""
    cluster = place.Cluster()
    cluster.policy(3, place.route("/s/", "s", idempotent, timeout=3.0))
    await cluster.upstream(B, "s", _hang, slots=1)
    cluster.put_instance(f"i-{B}", B, "s", slots=1, born=_now_ms() - AGO_MS)
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.daemon(C, "s")
    await cluster.wait_until_known(A, B, C)
    return cluster


async def _restart(cluster: place.Cluster) -> None:
    """Restart B's instance, and start one on C that answers."""
    await cluster.upstream(C, "s")
    await cluster.wait_until_known(A, B, C)
    cluster.upstreams[B].script = place.answer
    cluster.put_instance(f"i-{B}", B, "s", slots=1, born=_now_ms())
    await cluster.wait_until_known(A, B, C)


@pytest.mark.parametrize(
    ("idempotent", "statuses"), [(True, [200, 200]), (False, [200, 502])]
)
def test_restart_under_the_same_id_ends_earlier_requests(
    idempotent: bool, statuses: list[int]
) -> None:
    """An instance hangs and restarts under the same id.

    Requests sent before the restart, and those queued for its slot, must not
    wait for their deadlines. The request that was sent is lost and is retried
    elsewhere only if it is idempotent. The queued one has not run and is
    always retried elsewhere.
    """

    async def test() -> None:
        cluster = await _start_cluster(idempotent)
        calls = [
            asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
            for _ in range(2)
        ]
        while len(cluster.daemons[B].daemon.executions) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        await _restart(cluster)
        answers = await asyncio.gather(*calls)
        assert sorted(answer.status for answer in answers) == statuses
        assert all(answer.seconds < 2.0 for answer in answers)

    run(test())


def test_restart_resets_the_guard_and_routing_statistics() -> None:
    """A slow instance whose slot is taken restarts under the same id.

    It must not be judged by statistics from before the restart.
    """

    async def test() -> None:
        cluster = await _start_cluster(True)
        instance = f"i-{B}"
        call = asyncio.ensure_future(cluster.call(A, "/s/"))
        while not cluster.daemons[B].daemon.executions:
            await asyncio.sleep(0.01)
        (before,) = cluster.daemons[B].daemon.guards.values()
        peers = cluster.daemons[A].daemon.routes.peers
        peers[instance].ejected = True
        peers[instance].service_seconds = 9.0
        await asyncio.sleep(0.3)
        await _restart(cluster)
        assert (await call).status == 200
        assert not peers[instance].ejected
        assert peers[instance].service_seconds < 1.0
        assert peers[instance].in_flight == 0
        answers = [await cluster.call(B, "/s/") for _ in range(20)]
        assert {answer.status for answer in answers} == {200}
        guards = cluster.daemons[B].daemon.guards
        assert before in guards.values()
        assert not before.running
        assert len(guards) == 2

    run(test())


@pytest.mark.parametrize("told_late", [False, True])
def test_entry_that_gains_a_start_is_no_restart(told_late: bool) -> None:
    """An entry changes, or gains the start time that it lacked before.

    Mistaking this for a restart would abort all requests at the instance.
    """

    async def test() -> None:
        cluster = await _start_cluster(True)
        key = f"i-{B}"
        born = views.born_at(cluster.daemons[A].daemon.view, key)
        if told_late:
            key = "untold"
            cluster.put_instance(key, B, "s", slots=1)
            await cluster.wait_until_known(A, B, C)
        call = asyncio.ensure_future(cluster.call(A, "/s/"))
        while not cluster.daemons[B].daemon.executions:
            await asyncio.sleep(0.01)
        guards = dict(cluster.daemons[B].daemon.guards)
        cluster.put_instance(key, B, "s", slots=2, born=born)
        await cluster.wait_until_known(A, B, C)
        await asyncio.sleep(0.2)
        assert len(cluster.daemons[B].daemon.executions) == 1
        assert not any(guard.leaving for guard in guards.values())
        call.cancel()

    run(test())


def test_restart_ends_what_the_run_before_said_of_itself() -> None:
    """An instance names a limit, says that it leaves, and restarts.

    Under its id, it would get nothing more, or as little as before.
    """

    async def limited(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        whole = place.signed(got, b"whole")
        said = b"\r\nX-Limit: 0\r\nX-Leaving: 1\r\n"
        writer.write(whole.replace(b"\r\n", said, 1))

    async def test() -> None:
        cluster = await _start_cluster(True)
        cluster.upstreams[B].script = limited
        assert (await cluster.call(A, "/s/")).status == 200
        assert (await cluster.call(A, "/s/")).status == 503
        cluster.upstreams[B].script = place.answer
        cluster.put_instance(f"i-{B}", B, "s", slots=1, born=_now_ms())
        await cluster.wait_until_known(A, B)
        answers = [await cluster.call(A, "/s/") for _ in range(20)]
        assert {answer.status for answer in answers} == {200}
        assert cluster.daemons[A].daemon.last_notices == {}

    run(test())
