"""Tests that a stop loses no answer that its client reads late."""

from __future__ import annotations

import asyncio
import typing

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, _ = place.HOSTS
BODY = b"x" * 1_000_000
"""Fits into the socket of the daemon, but not into that of the client."""
GRACE = 4.0
LATER = {"nothing": b"", "request": b"GET /s/ HTTP/1.1\r\nHost: a.example\r\n"}


async def _answer(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(place.signed(got, BODY))


@pytest.mark.parametrize("later", LATER.values(), ids=LATER)
def test_answer_that_is_read_after_the_stop_is_whole(later: bytes) -> None:
    """The socket of a process that has ended is reset by further data.

    The kernel then drops the part of the answer that it has not sent.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = GRACE
        cluster.policy(3, place.route("/s/", "s", True, GRACE))
        await cluster.upstream(B, "s", _answer)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        reader, writer = await asyncio.open_connection(A, cluster.ports[0])
        transport = typing.cast("asyncio.Transport", writer.transport)
        transport.pause_reading()
        _, head = cluster.request("/s/")
        writer.write(head)
        reading = asyncio.ensure_future(_read_late(reader, transport, later))
        await cluster.stop(A)
        answer = await reading
        assert (answer.status, answer.body) == (200, BODY)

    test_path.run(test())


async def _read_late(
    reader: asyncio.StreamReader, transport: asyncio.Transport, later: bytes
) -> place.Answer:
    """Read the answer at three quarters of the grace period."""
    await asyncio.sleep(0.7 * GRACE)
    transport.write(later)
    await asyncio.sleep(0.05 * GRACE)
    transport.resume_reading()
    return await place.read_answer(reader, 0.0)
