"""The path of a request through two daemons, with sound and odd instances."""

from __future__ import annotations

import asyncio
import typing

import pytest

from tests.forwarding import place

A, B, C = place.HOSTS


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in a loop of its own, with an end in any case."""

    async def bounded() -> None:
        await asyncio.wait_for(test, 20.0)

    asyncio.run(bounded())


async def _world(
    script: place.Script = place.answer,
    idempotent: bool = True,
    timeout: float = 2.0,
    slots: int = 8,
) -> place.Cluster:
    """Return a client's VM A, and an instance of ``s`` on B."""
    world = place.Cluster()
    world.policy(3, place.route("/s/", "s", idempotent, timeout))
    await world.upstream(B, "s", script, slots)
    await world.daemon(A, "front")
    await world.daemon(B, "s")
    await world.wait_until_known(A, B)
    return world


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
def test_answer_is_the_instances_own(host: str) -> None:
    """Also when the instance is on the client's own VM."""

    async def test() -> None:
        world = await _world()
        got = await world.call(host, "/s/a%20b?q", "POST", b"body")
        assert (got.status, got.body) == (200, b"whole")
        assert got.fields[b"x-signature"] == b"s"
        (seen,) = world.upstreams[B].got
        assert seen.line == b"POST /s/a%20b?q HTTP/1.1"
        assert seen.body == b"body"
        assert seen.fields[b"x-target"] == f"i-{B}".encode()
        assert seen.fields[b"host"] == b"a.example"

    run(test())


def test_caller_deadline_and_target_are_the_systems() -> None:
    """A client names another service, instance and a list of hops.

    An instance that believed it would serve the wrong caller.
    """

    async def test() -> None:
        world = await _world()
        forged = (
            b"X-Caller: boss\r\nX-Target: i-1\r\nX-Hop: 1\r\n"
            b"Connection: X-Hop, keep-alive\r\nAccept: a;q=1\r\n"
        )
        await world.call(A, "/s/", headers=forged, deadline_ms=900)
        fields = world.upstreams[B].got[0].fields
        assert fields[b"x-caller"] == b"front"
        assert fields[b"x-target"] == f"i-{B}".encode()
        assert 700 < int(fields[b"x-deadline-ms"]) <= 900
        assert fields[b"accept"] == b"a;q=1"
        assert b"x-hop" not in fields
        assert b"accept-encoding" not in fields
        assert not any(name.startswith(b"sassafras") for name in fields)

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
def test_failure_of_an_instance_is_told_as_it_is(
    script: place.Script, idempotent: bool, status: int
) -> None:
    """503 promises that nothing ran; only the instance's word allows it."""

    async def test() -> None:
        world = await _world(script, idempotent)
        got = await world.call(A, "/s/", "POST")
        assert got.status == status
        assert (b"x-signature" in got.fields) is (status == 500)
        assert (b"retry-after" in got.fields) is (status == 503)
        if not idempotent and status != 503:
            assert len(world.upstreams[B].got) == 1

    run(test())


@pytest.mark.parametrize(
    ("script", "idempotent", "runs"),
    [
        pytest.param(refuse, False, 1, id="refused is sent elsewhere"),
        pytest.param(lose, True, 1, id="lost and repeatable too"),
        pytest.param(lose, False, 0, id="lost and once only not"),
    ],
)
def test_second_instance_is_asked_where_it_may_be(
    script: place.Script, idempotent: bool, runs: int
) -> None:
    async def test() -> None:
        world = await _world(script, idempotent)
        await world.upstream(C, "s")
        await world.daemon(C, "s")
        await world.wait_until_known(A, B, C)
        # Until the first choice was the instance that fails.
        while not world.upstreams[B].got:
            got = await world.call(A, "/s/", "POST")
        sound = [
            seen
            for seen in world.upstreams[C].got
            if seen.fields[b"x-request"]
            == world.upstreams[B].got[0].fields[b"x-request"]
        ]
        assert len(sound) == runs
        assert (got.status == 200) is bool(runs)

    run(test())


def test_timeout_of_the_route_ends_the_request_everywhere() -> None:
    async def test() -> None:
        world = await _world(hang, timeout=0.4)
        got = await world.call(A, "/s/")
        assert got.status == 504
        assert 0.35 < got.seconds < 0.8
        await asyncio.wait_for(world.upstreams[B].got[0].cut.wait(), 0.5)

    run(test())


def test_lookup_leaves_a_silent_daemon_for_another() -> None:
    """The daemon of the chosen instance takes the request and falls silent.

    The request may run twice, so it goes to another instance as soon as a
    ping shows the silence, instead of waiting for its timeout.
    """

    async def silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        world = place.Cluster()
        world.policy(3, place.route("/s/", "s", True, 4.0))
        await asyncio.start_server(silent, C, world.ports[1])
        await world.upstream(B, "s")
        world.put_entry(C, "s")
        await world.daemon(A, "front")
        await world.daemon(B, "s")
        await world.wait_until_known(A, B)
        calls = [world.call(A, "/s/") for _ in range(8)]
        answers = await asyncio.gather(*calls)
        assert [got.status for got in answers] == [200] * 8
        assert max(got.seconds for got in answers) < 2.0

    run(test())


def test_silent_daemon_is_waited_for_no_longer_than_the_timeout() -> None:
    """The daemon of the only instance takes the request and falls silent.

    It may have run there and must not run twice, so the entrance waits; at
    the route's timeout the client has its answer whatever comes.
    """

    async def silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        world = place.Cluster()
        world.policy(3, place.route("/s/", "s", False, 0.8))
        world.put_entry(C, "s")
        await asyncio.start_server(silent, C, world.ports[1])
        await world.daemon(A, "front")
        await world.wait_until_known(A)
        got = await world.call(A, "/s/", "POST")
        assert got.status == 504
        assert 0.75 < got.seconds < 1.2

    run(test())


def test_service_out_of_reach_is_refused_at_once() -> None:
    """No daemon of the service's instances answers its pings.

    Each request was tried there all the same, and its client was told late,
    or never, that it had not run.
    """

    async def test() -> None:
        world = place.Cluster()
        world.policy(3, place.route("/s/", "s", False))
        world.put_entry(C, "s")
        await world.daemon(A, "front")
        await world.wait_until_known(A)
        assert (await world.call(A, "/s/", "POST")).status == 503
        peers = world.daemons[A].daemon.routes.peers
        while not peers[f"i-{C}"].unreachable:
            await asyncio.sleep(0.02)
        got = await world.call(A, "/s/", "POST")
        assert got.status == 503
        assert got.seconds < 0.1
        await world.upstream(C, "s")
        await world.daemon(C, "s")
        while (await world.call(A, "/s/", "POST")).status != 200:
            await asyncio.sleep(0.05)

    run(test())


def test_request_that_waited_here_to_its_timeout_has_not_run() -> None:
    """The only slot, on the client's own VM, is taken until the timeout.

    The request never left this daemon, so its client may be told to come
    back; 504 would say that it may have run.
    """

    async def test() -> None:
        world = await _world(hang, idempotent=False, timeout=0.4, slots=1)
        first = asyncio.ensure_future(world.call(B, "/s/"))
        while not world.upstreams[B].got:
            await asyncio.sleep(0.01)
        second = await world.call(B, "/s/", deadline_ms=100)
        assert second.status == 503
        assert (await first).status == 504
        assert len(world.upstreams[B].got) == 1

    run(test())


def test_request_that_waits_too_long_at_the_callee_may_come_back() -> None:
    """The route's timeout is shorter than its objective.

    A posting waited for a slot at the instance's daemon to its timeout, and
    its client was told 504, after which it must not send it again. Turned
    away before, it is told that it has not run and when to come back.
    """

    async def test() -> None:
        world = place.Cluster()
        world.policy(3, place.route("/s/", "s", False, 0.6, objective=4.0))
        await world.upstream(B, "s", hang, slots=1)
        await world.daemon(A, "front")
        await world.daemon(B, "s")
        await world.wait_until_known(A, B)
        first = asyncio.ensure_future(world.call(A, "/s/", "POST"))
        while not world.upstreams[B].got:
            await asyncio.sleep(0.01)
        got = await world.call(A, "/s/", "POST")
        assert got.status == 503
        assert b"retry-after" in got.fields
        assert (await first).status == 504

    run(test())


def test_client_that_leaves_ends_the_work() -> None:
    """The client closes its connection half a second into its request."""

    async def test() -> None:
        world = await _world(hang)
        call = asyncio.ensure_future(world.call(A, "/s/"))
        while not world.upstreams[B].got:
            await asyncio.sleep(0.01)
        call.cancel()
        await asyncio.wait_for(world.upstreams[B].got[0].cut.wait(), 0.5)

    run(test())


@pytest.mark.parametrize(
    ("path", "status"), [("/none/", 404), ("/", 404), ("/s/", 200)]
)
def test_route_decides(path: str, status: int) -> None:
    async def test() -> None:
        world = await _world()
        assert (await world.call(A, path)).status == status

    run(test())


def test_instances_queue_is_ours_and_ordered() -> None:
    """More requests come than the instance has slots.

    Those that wait do so at its daemon, which can still turn them away;
    in the instance's own queue they could not be called back.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.1)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        world = await _world(slow, slots=2)
        most = 0

        async def look() -> None:
            nonlocal most
            while True:
                held = world.daemons[B].daemon.executions.values()
                most = max(most, sum(run.job is not None for run in held))
                await asyncio.sleep(0.005)

        looking = asyncio.ensure_future(look())
        calls = [world.call(A, "/s/") for _ in range(8)]
        statuses = [got.status for got in await asyncio.gather(*calls)]
        looking.cancel()
        assert statuses.count(200) >= 6
        assert most <= 2

    run(test())


def test_upstream_that_takes_no_connection_is_left_alone() -> None:
    """An instance has ended and its entry is still there.

    Each request sent to it would first wait for its connection; instead its
    daemon turns them away at once, until a connection is made again.
    """

    async def test() -> None:
        world = place.Cluster()
        world.policy(3, place.route("/s/", "s"))
        world.put_entry(B, "s")
        await world.daemon(A, "front")
        await world.daemon(B, "s")
        await world.wait_until_known(A, B)
        assert (await world.call(A, "/s/")).status == 503
        assert world.daemons[B].daemon.upstream_down
        await world.upstream(B, "s")
        while world.daemons[B].daemon.upstream_down:
            await asyncio.sleep(0.02)
        while (await world.call(A, "/s/")).status != 200:
            await asyncio.sleep(0.05)

    run(test())


def test_reader_of_the_log_that_stops_delays_no_request() -> None:
    """Whatever reads the daemons' output has no room from the start."""

    async def test() -> None:
        world = await _world(refuse)
        for running in world.daemons.values():
            running.daemon.journal._sink = lambda data: 0
        for _ in range(300):
            got = await world.call(A, "/s/", "POST")
            assert got.status == 503
            assert got.seconds < 1.0

    run(test())
