"""Tests of a daemon that stood still, and runs again."""

from __future__ import annotations

import asyncio
import os
import socket
import time
import typing

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.forwarding import _daemon
from sassafrasstair.forwarding import _wire
from tests.forwarding import place

A, B, _ = place.HOSTS
IDLE_SECONDS = 0.6
TOLERANCE_MS = 50


def _miss_events_once(loop: asyncio.AbstractEventLoop) -> None:
    """Let the next pass of the loop see timers only.

    So does the first one after a process has been stopped and continued.
    """
    selector = typing.cast("typing.Any", loop)._selector
    select = selector.select

    def miss(timeout: float | None = None) -> list[object]:
        selector.select = select
        return []

    selector.select = miss


@pytest.mark.parametrize("seconds", [0.8, 1.5])
def test_request_that_waits_unread_is_not_closed_with_its_idle_connection(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection had been idle for too long by the time it was read."""
    limits = policies.ClientLimits(4096, 1_000_000, 2.0, IDLE_SECONDS)
    monkeypatch.setattr(place, "LIMITS", limits)
    monkeypatch.setattr(_daemon, "SWEEP_TICKS", 1)

    async def test() -> None:
        cluster = await place.start_pair(5.0)
        reader, writer = await asyncio.open_connection(A, cluster.ports[0])
        _, head = cluster.request("/s/")
        writer.write(head)
        assert (await place.read_answer(reader, 0.0)).status == 200
        _, head = cluster.request("/s/")
        os.write(writer.transport.get_extra_info("socket").fileno(), head)
        time.sleep(seconds)
        _miss_events_once(asyncio.get_running_loop())
        assert (await place.read_answer(reader, 0.0)).status == 200
        writer.close()

    asyncio.run(test())


def _forwarded(remaining: float) -> bytes:
    """Return a request of another daemon for the instance on B."""
    metadata = _wire.RequestMetadata(1, f"i-{B}", "s", 5.0, remaining, 1.0)
    value = _wire.encode_metadata(metadata)
    return (
        b"GET /s/ HTTP/1.1\r\nHost: a.example\r\nX-Request: late\r\n"
        b"%s: %s\r\n\r\n" % (_wire.METADATA_HEADER, value)
    )


def _asked(remaining: float) -> bytes:
    """Return a request of a client on A."""
    return (
        b"GET /s/ HTTP/1.1\r\nHost: a.example\r\nX-Request: late\r\n"
        b"X-Deadline-Ms: %d\r\n\r\n" % (remaining * 1000)
    )


@pytest.mark.parametrize(
    ("host", "port", "request_of"), [(A, 0, _asked), (B, 1, _forwarded)]
)
@pytest.mark.parametrize(
    ("seconds", "limit", "status"),
    [(0.3, 3.0, 200), (1.0, 3.0, 200), (3.0, 4.0, 200), (1.0, 0.8, 503)],
)
def test_time_that_a_request_waits_unread_is_not_left_to_its_instance(
    host: str,
    port: int,
    request_of: typing.Callable[[float], bytes],
    seconds: float,
    limit: float,
    status: int,
) -> None:
    """Its limit counted from when the process ran again, and read it."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        runs: list[tuple[int, float]] = []

        async def run(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            runs.append((int(got.fields[b"x-deadline-ms"]), loop.time()))
            await place.answer(got, writer)

        cluster = await place.start_pair(9.0, run)
        reader, writer = await asyncio.open_connection(
            host, cluster.ports[port]
        )
        writer.write(request_of(9.0))
        assert (await place.read_answer(reader, 0.0)).status == 200
        await asyncio.sleep(2 * _daemon.TICK_SECONDS)
        runs.clear()
        sock = writer.transport.get_extra_info("socket")
        os.write(sock.fileno(), request_of(limit))
        sent_at = loop.time()
        time.sleep(seconds)
        _miss_events_once(loop)
        answer = await place.read_answer(reader, 0.0)
        writer.close()
        if status != 200:
            # Nobody waits for it any more, and it has not run.
            assert answer.status in (status, 504)
            assert not runs
            return
        assert answer.status == status
        [(left_ms, run_at)] = runs
        assert left_ms <= 1000 * (limit - seconds) + TOLERANCE_MS
        waited = run_at - sent_at
        assert left_ms >= 1000 * (limit - waited) - TOLERANCE_MS

    asyncio.run(test())


@pytest.mark.parametrize(
    ("host", "port", "request_of"), [(A, 0, _asked), (B, 1, _forwarded)]
)
@pytest.mark.parametrize("is_kept", [True, False])
def test_request_whose_client_left_while_it_waited_unread_is_not_run(
    host: str,
    port: int,
    request_of: typing.Callable[[float], bytes],
    is_kept: bool,
) -> None:
    """It reached its instance, and was cancelled there a moment later.

    Its connection was open before, or waits to be accepted as well.
    """

    async def test() -> None:
        cluster = await place.start_pair(9.0)
        upstream = cluster.upstreams[B]
        # The connections to the instance are open.
        assert (await cluster.call(A, "/s/")).status == 200
        upstream.got.clear()
        with socket.socket() as client:
            address = (host, cluster.ports[port])
            if is_kept:
                client.connect(address)
                await asyncio.sleep(2 * _daemon.TICK_SECONDS)
            else:
                await asyncio.sleep(2 * _daemon.TICK_SECONDS)
                client.connect(address)
            client.sendall(request_of(9.0))
        time.sleep(1.0)
        _miss_events_once(asyncio.get_running_loop())
        await asyncio.sleep(0.5)
        assert not upstream.got

    asyncio.run(test())
