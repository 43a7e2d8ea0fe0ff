"""Tests of stop, reload and suspension while requests are in flight."""

from __future__ import annotations

import asyncio
import os
import signal
import time
import typing

import pytest

from sassafrasstair import clocks
from sassafrasstair.forwarding import _daemon
from sassafrasstair.forwarding import _stops
from tests.forwarding import place
from tests.forwarding import test_path

if typing.TYPE_CHECKING:
    from collections import abc

A, B, C = place.HOSTS


def test_planned_stop_cuts_off_no_request() -> None:
    """SIGTERM arrives while requests run, and more requests follow.

    Each request gets its answer, and readiness fails immediately so that
    clients use other daemons.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.3)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        cluster = await test_path._world(slow)
        running = cluster.daemons[A]
        calls = [asyncio.ensure_future(cluster.call(A, "/s/"))]
        await asyncio.sleep(0.05)

        stopping = asyncio.ensure_future(_stops.stop(running))
        await asyncio.sleep(0.05)
        calls.append(asyncio.ensure_future(cluster.call(A, "/s/")))
        reader, writer = await asyncio.open_connection(A, cluster.ports[2])
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        writer.close()
        answers = await asyncio.gather(*calls)
        assert [got.status for got in answers] == [200, 200]
        assert answers[1].fields[b"connection"] == b"close"
        await asyncio.wait_for(stopping, place.GRACE)

    test_path.run(test())


def test_clients_are_told_of_a_stop_in_the_pass_of_its_signal() -> None:
    """The first phase counts from the signal, so that it must not be later."""

    async def test() -> None:
        cluster = await test_path._world()
        cluster.daemons[A].note_stop()
        reader, writer = await asyncio.open_connection(A, cluster.ports[2])
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        writer.close()
        answer = await cluster.call(A, "/s/")
        assert answer.status == 200
        assert answer.fields[b"connection"] == b"close"

    test_path.run(test())


@pytest.fixture(autouse=True)
def _signal_handlers() -> abc.Iterator[None]:
    """Restore the handlers that a daemon leaves behind."""
    before = {number: signal.getsignal(number) for number in _daemon.SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def test_sigterm_while_listeners_open_is_a_planned_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests could be read before the signal was handled."""
    opening = _daemon.open_listeners

    async def open_and_signal(running: _daemon.RunningDaemon) -> None:
        await opening(running)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.0)

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 1.0
        cluster.policy(1, place.route("/s/", "s"))
        monkeypatch.setattr(_daemon, "open_listeners", open_and_signal)
        dialect = place.Dialect(cluster, A, "front")
        clock = clocks.SystemClock()
        await _daemon.run(dialect, clock, cluster.take_line, 1)
        assert any(b'"stopped"' in line for line in cluster.lines)

    # The process of the tests goes on if the daemon does not handle it.
    before = signal.signal(signal.SIGTERM, lambda *_: None)
    try:
        test_path.run(test())
    finally:
        signal.signal(signal.SIGTERM, before)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_after_a_stop_does_not_end_the_process(
    number: signal.Signals,
) -> None:
    """The event loop restores the default action before the process exits."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = 1.0
        dialect = place.Dialect(cluster, A, "front")
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, signal.raise_signal, signal.SIGTERM)
        await _daemon.run(dialect, clocks.SystemClock(), cluster.take_line, 1)

    test_path.run(test())
    # The default action would end the process of the tests.
    assert signal.getsignal(number) is signal.SIG_IGN
    os.kill(os.getpid(), number)


def test_settings_change_cuts_off_no_request() -> None:
    """The settings file changes without a signal while a request runs.

    At first it is invalid, as if partly written: nothing changes and the log
    gives the reason. Then it is valid and has another memory limit.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(1.0)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        cluster = await test_path._world(slow)
        memory = cluster.daemons[A].daemon.memory
        before = memory.limit
        call = asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
        await asyncio.sleep(0.05)
        cluster.bad_settings, cluster.settings_mark = True, 1
        while not any(b"settings_refused" in line for line in cluster.lines):
            await asyncio.sleep(0.02)
        assert memory.limit == before
        cluster.memory_bytes, cluster.settings_mark = 50_000_000, 2
        cluster.bad_settings = False
        while memory.limit == before:
            await asyncio.sleep(0.02)
        assert not call.done()
        assert (await call).status == 200

    test_path.run(test())


def test_deadlines_are_checked_after_a_suspension() -> None:
    """The VM is suspended for longer than a request may take.

    A request that waited for a slot must not be started when the VM resumes,
    since its deadline has passed. Its client gets the final answer at once.
    """

    async def test() -> None:
        resumed = asyncio.Event()

        async def slow(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await resumed.wait()
            writer.write(place.signed(got, b"whole"))

        cluster = await test_path._world(
            slow, idempotent=False, timeout=0.5, slots=1
        )
        calls = [
            asyncio.ensure_future(cluster.call(A, "/s/", "POST"))
            for _ in range(3)
        ]
        daemon, upstream = cluster.daemons[B].daemon, cluster.upstreams[B]
        while len(daemon.executions) < len(calls) or not upstream.got:
            await asyncio.sleep(0.01)
        time.sleep(1.0)
        resumed.set()
        woken = time.monotonic()
        statuses = [got.status for got in await asyncio.gather(*calls)]
        assert time.monotonic() - woken < 0.5
        assert len(cluster.upstreams[B].got) == 1
        assert set(statuses) <= {503, 504}

    test_path.run(test())


def test_upstream_of_a_stopping_daemon_still_gets_work() -> None:
    """Daemons are restarted one after the other while their upstreams run.

    If an upstream gets no work from the signal until its daemon is back, a
    service of four loses a quarter of its capacity for 4 s each time. New
    work that its own limit ends in time must be turned away, unsent, only
    shortly before the daemon ends. The rest runs elsewhere at once: it might
    take longer than the daemon is there.
    """

    async def test() -> None:
        cluster = await test_path._world(idempotent=False)
        await cluster.upstream(C, "s")
        await cluster.daemon(C, "s")
        await cluster.wait_until_known(A, B, C)
        stopping = asyncio.ensure_future(_stops.stop(cluster.daemons[B]))
        await asyncio.sleep(0.1)
        for _ in range(20):
            answer = await cluster.call(A, "/s/", "POST", deadline_ms=1000)
            assert answer.status == 200
        bounded = len(cluster.upstreams[B].got)
        assert bounded
        for _ in range(20):
            assert (await cluster.call(A, "/s/", "POST")).status == 200
        assert len(cluster.upstreams[B].got) == bounded
        while not cluster.daemons[B].daemon.upstream_leaving:
            await asyncio.sleep(0.01)
        before = len(cluster.upstreams[B].got)
        for _ in range(20):
            assert (await cluster.call(A, "/s/", "POST")).status == 200
        assert len(cluster.upstreams[B].got) == before
        await asyncio.wait_for(stopping, place.GRACE)

    test_path.run(test())
