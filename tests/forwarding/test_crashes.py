"""Tests of crashing instances and of the requests that ran there."""

from __future__ import annotations

import asyncio
import json
import typing

import pytest

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _crashes
from tests.forwarding import place

A, B, C = place.HOSTS


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(test, 20.0))


def events(cluster: place.Cluster, name: str) -> list[dict[str, typing.Any]]:
    """Return the log lines of one event."""
    for running in cluster.daemons.values():
        running.daemon.journal.flush_lines()
    lines = b"".join(cluster.lines).splitlines()
    found = [json.loads(line) for line in lines]
    return [line for line in found if line["event"] == name]


async def _start_cluster(idempotent: bool = True) -> place.Cluster:
    """Start a client's VM A, and instances of ``s`` on B and C."""
    cluster = place.Cluster()
    cluster.policy(3, place.route("/s/", "s", idempotent))
    await cluster.upstream(B, "s")
    await cluster.upstream(C, "s")
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.daemon(C, "s")
    await cluster.wait_until_known(A, B, C)
    return cluster


def crash_on(cluster: place.Cluster, path: str, seconds: float = 0.03) -> None:
    """Make every instance crash that runs a request for ``path``."""

    def script_of(upstream: place.Upstream) -> place.Script:
        async def script(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(seconds)
            if got.line.split(b" ")[1] == path.encode():
                upstream.crash()
            else:
                await place.answer(got, writer)

        return script

    for upstream in cluster.upstreams.values():
        upstream.script = script_of(upstream)


def test_crash_log_names_running_requests_by_fingerprint() -> None:
    """The same request, sent under two ids, crashes both instances.

    Both crashes must name it by the same fingerprint.
    """

    async def test() -> None:
        cluster = await _start_cluster(idempotent=False)
        crash_on(cluster, "/s/bad")
        for _ in range(2):
            got = await cluster.call(A, "/s/bad", "POST", b"body")
            assert got.status == 502
        lines = events(cluster, "instance_crashed")
        named = [line["requests"].split(":")[0] for line in lines]
        assert len(named) == 2
        assert named[0] == named[1]
        ended = events(cluster, "run_ended")
        assert [line["reason"] for line in ended] == ["upstream_crashed"] * 2

    run(test())


def test_broken_connection_is_no_crash() -> None:
    """The upstream drops one connection but accepts the next."""

    async def test() -> None:
        cluster = await _start_cluster(idempotent=False)

        async def lose(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.abort()

        for upstream in cluster.upstreams.values():
            upstream.script = lose
        assert (await cluster.call(A, "/s/x", "POST", b"body")).status == 502
        assert events(cluster, "instance_crashed") == []
        (ended,) = events(cluster, "run_ended")
        assert ended["reason"] == "upstream_lost"

    run(test())


def test_end_of_an_instance_that_said_it_leaves_is_no_crash() -> None:
    """Its entry still lists it as ready when it ends with a request.

    Requests that ran at several planned ends would be blocked.
    """

    async def test() -> None:
        cluster = await _start_cluster(idempotent=False)
        waiting = asyncio.Event()

        async def leave(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if got.line.startswith(b"POST /s/long"):
                waiting.set()
                await asyncio.sleep(60.0)
            whole = place.signed(got, b"whole")
            writer.write(whole.replace(b"\r\n", b"\r\nX-Leaving: 1\r\n", 1))

        for upstream in cluster.upstreams.values():
            upstream.script = leave
        long = asyncio.ensure_future(cluster.call(A, "/s/long", "POST"))
        await waiting.wait()
        for _ in range(2):
            assert (await cluster.call(A, "/s/x")).status == 200
        assert events(cluster, "instance_says_leaving")
        for upstream in cluster.upstreams.values():
            upstream.crash()
        assert (await long).status == 502
        assert events(cluster, "instance_crashed") == []

    run(test())


@pytest.mark.parametrize(
    ("strikes", "reason"),
    [(3, "crashes_instances"), (2, "suspect_running")],
)
def test_suspicion_is_checked_again_at_the_start(
    strikes: int, reason: str
) -> None:
    """A request waited for a slot while its crashes elsewhere were reported.

    It then crashed the next instance, or ran there beside another suspect.
    """

    async def test() -> None:
        first, others = asyncio.Event(), asyncio.Event()

        async def hold(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            is_first = got.line.startswith(b"POST /s/first")
            await (first if is_first else others).wait()
            await place.answer(got, writer)

        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s", False))
        upstream = await cluster.upstream(B, "s", hold, slots=2)
        daemon = (await cluster.daemon(B, "s")).daemon
        await cluster.wait_until_known(B)
        calls = [
            asyncio.ensure_future(cluster.call(B, f"/s/{name}", "POST"))
            for name in ("first", "second", "waits")
        ]
        while len(daemon.executions) < 3 or len(upstream.got) < 2:
            await asyncio.sleep(0.01)
        suspects = [
            _crashes._inbound_fingerprint(execution.request)
            for execution in daemon.executions.values()
            if execution.request.target == b"/s/waits"
            or (execution.request.target == b"/s/second" and strikes == 2)
        ]
        reports = [
            crashes.Report(
                (f"i-{number}", 1),
                0.1,
                tuple(crashes.Run(each, 0.1) for each in suspects),
                0,
                0,
            )
            for number in range(strikes)
        ]
        _crashes.receive_reports(daemon, reports, C)
        first.set()
        await calls[0]
        await asyncio.sleep(0.1)
        others.set()
        await asyncio.gather(*calls)
        assert len(upstream.got) == 2
        ended = events(cluster, "run_ended")
        assert reason in [line["reason"] for line in ended]

    run(test())
