"""Tests of answers that are read after their connection was closed."""

from __future__ import annotations

import typing

import pytest

from sassafrasstair import clocks
from sassafrasstair.httpio import _connections
from tests.httpio import pipelined

if typing.TYPE_CHECKING:
    import asyncio

BODY = b"x" * 1_000_000
"""Fits into the socket of the server, but not into that of the client."""
LATER = {"nothing": b"", "request": pipelined.requests("s")}


def _transport(server: pipelined.Server) -> asyncio.Transport:
    return typing.cast("asyncio.Transport", server.writer.transport)


async def _answer_unread(sent: bytes) -> pipelined.Server:
    """Answer the first request, whose client reads nothing yet."""
    server = await pipelined.start_server(sent)
    _transport(server).pause_reading()
    await server.wait_until_started(0)
    server.answer(0, body=BODY, close=True)
    await server.settle()
    return server


async def _read(server: pipelined.Server) -> pipelined.Answer:
    _transport(server).resume_reading()
    return await server.read()


@pytest.mark.parametrize("later", LATER.values(), ids=LATER)
def test_last_answer_reaches_a_client_that_sends_on_later(
    later: bytes,
) -> None:
    """Data for a closed socket resets it, and the unsent rest is dropped."""

    async def test() -> None:
        server = await _answer_unread(pipelined.requests("u"))
        server.writer.write(later)
        await server.settle()
        answer = await _read(server)
        assert (answer.closes, answer.body) == (True, BODY)
        server.writer.close()

    pipelined.run(test())


@pytest.mark.parametrize("later", LATER.values(), ids=LATER)
def test_closed_connection_is_not_aborted_while_its_answer_is_unread(
    later: bytes,
) -> None:
    """The abort resets the connection if the client has sent on."""

    async def test() -> None:
        server = await _answer_unread(pipelined.requests("u"))
        server.writer.write(pipelined.requests("s"))
        await server.settle()
        now = clocks.SystemClock().monotonic()
        server.listener.sweep(now + _connections.LINGER_SECONDS + 0.1)
        await server.settle()
        server.writer.write(later)
        await server.settle()
        answer = await _read(server)
        assert (answer.closes, answer.body) == (True, BODY)
        server.writer.close()

    pipelined.run(test())
