"""Tests of the path of a request through two daemons.

The instances are healthy or fail in different ways.
"""

from __future__ import annotations

import asyncio
import typing

import pytest

from tests.forwarding import place

A, B, C = place.HOSTS


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""

    async def bounded() -> None:
        await asyncio.wait_for(test, 20.0)

    asyncio.run(bounded())


async def _world(
    script: place.Script = place.answer,
    idempotent: bool = True,
    timeout: float = 2.0,
    slots: int = 8,
) -> place.Cluster:
    """Start a client's VM A, and an instance of ``s`` on B."""
    cluster = place.Cluster()
    cluster.policy(3, place.route("/s/", "s", idempotent, timeout))
    await cluster.upstream(B, "s", script, slots)
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.wait_until_known(A, B)
    return cluster


async def refuse(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )


async def fail(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(place.signed(got, b"bad", b"500 Internal Server Error"))


async def unsigned(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    whole = place.signed(got, b"x")
    writer.write(whole.replace(b"X-Signature: s\r\n", b""))


async def of_another(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    whole = place.signed(got, b"x")
    writer.write(whole.replace(got.fields[b"x-request"], b"other"))
    writer.close()


async def cut_short(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(place.signed(got, b"whole")[:-1])
    writer.close()


async def lose(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.transport.abort()


async def hang(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(60.0)


async def other_instance(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("host", [A, B])
def test_instance_answer_is_forwarded_unchanged(host: str) -> None:
    """The answer is also unchanged if the instance is on the client's VM."""

    async def test() -> None:
        cluster = await _world()
        got = await cluster.call(host, "/s/a%20b?q", "POST", b"body")
        assert (got.status, got.body) == (200, b"whole")
        assert got.fields[b"x-signature"] == b"s"
        (seen,) = cluster.upstreams[B].got
        assert seen.line == b"POST /s/a%20b?q HTTP/1.1"
        assert seen.body == b"body"
        assert seen.fields[b"x-target"] == f"i-{B}".encode()
        assert seen.fields[b"host"] == b"a.example"

    run(test())


def test_forged_internal_fields_are_replaced() -> None:
    """A client forges the caller, the target and hop-by-hop fields.

    An instance that trusted these fields would serve the wrong caller.
    """

    async def test() -> None:
        cluster = await _world()
        forged = (
            b"X-Caller: boss\r\nX-Target: i-1\r\nX-Hop: 1\r\n"
            b"Connection: X-Hop, keep-alive\r\nAccept: a;q=1\r\n"
        )
        await cluster.call(A, "/s/", headers=forged, deadline_ms=900)
        fields = cluster.upstreams[B].got[0].fields
        assert fields[b"x-caller"] == b"front"
        assert fields[b"x-target"] == f"i-{B}".encode()
        assert 700 < int(fields[b"x-deadline-ms"]) <= 900
        assert fields[b"accept"] == b"a;q=1"
        assert b"x-hop" not in fields
        assert b"accept-encoding" not in fields
        assert not any(name.startswith(b"sassafras") for name in fields)

    run(test())


@pytest.mark.parametrize(
    "options",
    [
        b"Connection: X-Hop, X-Request, Host\r\n",
        b"Connection: close, x-request\r\nConnection: X-Hop\r\n",
        b"Connection: keep-alive\r\nConnection: X-HOP,host\r\n",
        b"Connection: X-Deadline-Ms, X-Caller, X-Target,X-Hop\r\n",
    ],
)
def test_options_of_a_connection_drop_no_field_that_is_required(
    options: bytes,
) -> None:
    """An instance would run a request that nobody sent, by its id."""

    async def test() -> None:
        cluster = await _world()
        got = await cluster.call(
            A, "/s/", headers=options + b"X-Hop: 1\r\n", deadline_ms=900
        )
        assert got.status == 200
        fields = cluster.upstreams[B].got[0].fields
        assert fields[b"x-request"] == got.fields[b"x-request"]
        assert fields[b"host"] == b"a.example"
        assert fields[b"x-caller"] == b"front"
        assert 700 < int(fields[b"x-deadline-ms"]) <= 900
        assert b"x-hop" not in fields

    run(test())


@pytest.mark.parametrize(
    ("script", "idempotent", "status"),
    [
        pytest.param(refuse, True, 503, id="refused"),
        pytest.param(refuse, False, 503, id="refused, once only"),
        pytest.param(other_instance, False, 503, id="another instance"),
        pytest.param(fail, True, 500, id="its own failure"),
        pytest.param(unsigned, True, 502, id="no signature"),
        pytest.param(of_another, True, 502, id="another's answer"),
        pytest.param(cut_short, True, 502, id="cut short"),
        pytest.param(lose, True, 502, id="lost"),
        pytest.param(lose, False, 502, id="lost, once only"),
        pytest.param(cut_short, False, 502, id="cut short, once only"),
    ],
)
def test_instance_failure_has_the_right_status(
    script: place.Script, idempotent: bool, status: int
) -> None:
    """A 503 promises that the request has not run.

    It may be sent only if the instance says so itself.
    """

    async def test() -> None:
        cluster = await _world(script, idempotent)
        got = await cluster.call(A, "/s/", "POST")
        assert got.status == status
        assert (b"x-signature" in got.fields) is (status == 500)
        assert (b"retry-after" in got.fields) is (status == 503)
        if not idempotent and status != 503:
            assert len(cluster.upstreams[B].got) == 1

    run(test())


@pytest.mark.parametrize(
    ("script", "idempotent", "runs"),
    [
        pytest.param(refuse, False, 1, id="refused is sent elsewhere"),
        pytest.param(lose, True, 1, id="lost and repeatable too"),
        pytest.param(lose, False, 0, id="lost and once only not"),
    ],
)
def test_second_instance_is_tried_if_safe(
    script: place.Script, idempotent: bool, runs: int
) -> None:
    async def test() -> None:
        cluster = await _world(script, idempotent)
        await cluster.upstream(C, "s")
        await cluster.daemon(C, "s")
        await cluster.wait_until_known(A, B, C)
        # Repeat until the failing instance is chosen first.
        while not cluster.upstreams[B].got:
            got = await cluster.call(A, "/s/", "POST")
        sound = [
            seen
            for seen in cluster.upstreams[C].got
            if seen.fields[b"x-request"]
            == cluster.upstreams[B].got[0].fields[b"x-request"]
        ]
        assert len(sound) == runs
        assert (got.status == 200) is bool(runs)

    run(test())


def test_timeout_of_the_route_ends_the_request_everywhere() -> None:
    async def test() -> None:
        cluster = await _world(hang, timeout=0.4)
        got = await cluster.call(A, "/s/")
        assert got.status == 504
        assert 0.35 < got.seconds < 0.8
        await asyncio.wait_for(cluster.upstreams[B].got[0].cut.wait(), 0.5)

    run(test())


def test_idempotent_request_leaves_a_hanging_daemon() -> None:
    """The daemon of the chosen instance accepts the request, then hangs.

    The request is idempotent, so it is retried at another instance as soon
    as a ping fails, without waiting for its timeout.
    """

    async def silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s", True, 4.0))
        await asyncio.start_server(silent, C, cluster.ports[1])
        await cluster.upstream(B, "s")
        cluster.put_entry(C, "s")
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        calls = [cluster.call(A, "/s/") for _ in range(8)]
        answers = await asyncio.gather(*calls)
        assert [got.status for got in answers] == [200] * 8
        assert max(got.seconds for got in answers) < 2.0

    run(test())


def test_wait_for_a_hanging_daemon_ends_at_the_timeout() -> None:
    """The daemon of the only instance accepts the request, then hangs.

    The request may have run and must not run twice, so the entrance waits.
    At the route's timeout the client gets its answer in any case.
    """

    async def silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s", False, 0.8))
        cluster.put_entry(C, "s")
        await asyncio.start_server(silent, C, cluster.ports[1])
        await cluster.daemon(A, "front")
        await cluster.wait_until_known(A)
        got = await cluster.call(A, "/s/", "POST")
        assert got.status == 504
        assert 0.75 < got.seconds < 1.2

    run(test())


def test_unreachable_service_is_refused_at_once() -> None:
    """No daemon of the service's instances answers pings.

    A request that is tried there nevertheless delays the answer that it has
    not run, or prevents it.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s", False))
        cluster.put_entry(C, "s")
        await cluster.daemon(A, "front")
        await cluster.wait_until_known(A)
        assert (await cluster.call(A, "/s/", "POST")).status == 503
        peers = cluster.daemons[A].daemon.routes.peers
        while not peers[f"i-{C}"].unreachable:
            await asyncio.sleep(0.02)
        got = await cluster.call(A, "/s/", "POST")
        assert got.status == 503
        assert got.seconds < 0.1
        await cluster.upstream(C, "s")
        await cluster.daemon(C, "s")
        while (await cluster.call(A, "/s/", "POST")).status != 200:
            await asyncio.sleep(0.05)

    run(test())


def test_request_queued_here_until_its_timeout_has_not_run() -> None:
    """The only slot, on the client's own VM, is taken until the timeout.

    The request never left this daemon, so the client may be told to retry.
    A 504 would mean that it may have run.
    """

    async def test() -> None:
        cluster = await _world(hang, idempotent=False, timeout=0.4, slots=1)
        first = asyncio.ensure_future(cluster.call(B, "/s/"))
        while not cluster.upstreams[B].got:
            await asyncio.sleep(0.01)
        second = await cluster.call(B, "/s/", deadline_ms=100)
        assert second.status == 503
        assert (await first).status == 504
        assert len(cluster.upstreams[B].got) == 1

    run(test())


def test_request_queued_too_long_at_the_callee_may_be_retried() -> None:
    """The route's timeout is shorter than its objective.

    If a request waits for a slot at the instance's daemon until its timeout,
    the client gets a 504 and must not retry. If the request is turned away
    earlier, the client learns that it has not run and when to retry.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s", False, 0.6, objective=4.0))
        await cluster.upstream(B, "s", hang, slots=1)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        first = asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        while not cluster.upstreams[B].got:
            await asyncio.sleep(0.01)
        got = await cluster.call(A, "/s/", "POST")
        assert got.status == 503
        assert b"retry-after" in got.fields
        assert (await first).status == 504

    run(test())


def test_client_disconnect_aborts_the_request() -> None:
    """The client closes its connection while its request runs."""

    async def test() -> None:
        cluster = await _world(hang)
        call = asyncio.ensure_future(cluster.call(A, "/s/"))
        while not cluster.upstreams[B].got:
            await asyncio.sleep(0.01)
        call.cancel()
        await asyncio.wait_for(cluster.upstreams[B].got[0].cut.wait(), 0.5)

    run(test())


@pytest.mark.parametrize(
    ("path", "status"), [("/none/", 404), ("/", 404), ("/s/", 200)]
)
def test_route_decides(path: str, status: int) -> None:
    async def test() -> None:
        cluster = await _world()
        assert (await cluster.call(A, path)).status == status

    run(test())


def test_waiting_requests_stay_in_the_daemons_queue() -> None:
    """More requests arrive than the instance has slots.

    They wait at its daemon, which can still turn them away. They could not
    be withdrawn from the instance's own queue.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.1)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        cluster = await _world(slow, slots=2)
        most = 0

        async def look() -> None:
            nonlocal most
            while True:
                held = cluster.daemons[B].daemon.executions.values()
                most = max(most, sum(run.job is not None for run in held))
                await asyncio.sleep(0.005)

        looking = asyncio.ensure_future(look())
        calls = [cluster.call(A, "/s/") for _ in range(8)]
        statuses = [got.status for got in await asyncio.gather(*calls)]
        looking.cancel()
        assert statuses.count(200) >= 6
        assert most <= 2

    run(test())


def test_unreachable_upstream_gets_no_requests() -> None:
    """An instance has ended, but its entry still exists.

    Each request sent to it would first wait for a connection. Its daemon
    turns requests away at once until a connection succeeds again.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        cluster.put_entry(B, "s")
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        assert (await cluster.call(A, "/s/")).status == 503
        assert cluster.daemons[B].daemon.upstream_down
        await cluster.upstream(B, "s")
        while cluster.daemons[B].daemon.upstream_down:
            await asyncio.sleep(0.02)
        while (await cluster.call(A, "/s/")).status != 200:
            await asyncio.sleep(0.05)

    run(test())


def test_stopped_log_reader_delays_no_request() -> None:
    """The reader of the daemons' output never reads anything."""

    async def test() -> None:
        cluster = await _world(refuse)
        for running in cluster.daemons.values():
            running.daemon.journal._sink = lambda data: 0
        for _ in range(300):
            got = await cluster.call(A, "/s/", "POST")
            assert got.status == 503
            assert got.seconds < 1.0

    run(test())
