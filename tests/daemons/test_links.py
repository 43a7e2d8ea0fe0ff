from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import typing

import pynng
import pytest

from sassafrasstair import daemons
from sassafrasstair.daemons import _links
from sassafrasstair.daemons import _server
from tests import loopback
from tests.runtime import meshes

WAIT = 5.0
QUEUE_FILLERS = 8


def new_address() -> str:
    return f"127.0.0.1:{loopback.free_ports(1)[0]}"


async def pong(message: daemons.Message) -> daemons.Message:
    if isinstance(message, daemons.Cancel):
        raise RuntimeError("fault")
    if isinstance(message, daemons.AnswerFetch):
        await asyncio.sleep(WAIT)
    return daemons.Pong("1", True)


@pytest.mark.parametrize("address", ["::1:7000", "[::1:7000", "", "a b"])
def test_address_that_cannot_be_dialled_is_unreachable(address: str) -> None:
    """The error was not declared, and ended the caller's work."""

    async def scenario() -> None:
        links = daemons.Links()
        with pytest.raises(daemons.PeerUnreachable):
            await daemons.exchange(links, address, daemons.Ping(), WAIT)
        assert not links.by_address
        daemons.close(links)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("listens", "message", "timeout", "error"),
    [
        (False, daemons.Ping(), WAIT, daemons.PeerUnreachable),
        (True, daemons.AnswerFetch("a", 1), 0.1, daemons.PeerTimeout),
        (False, daemons.Ping(), 0.1, daemons.PeerTimeout),
    ],
    ids=["not sent", "no reply", "may be sent"],
)
def test_errors_tell_whether_the_message_was_sent(
    listens: bool,
    message: daemons.Message,
    timeout: float,
    error: type[Exception],
) -> None:
    async def scenario() -> None:
        address = new_address()
        server = daemons.listen(address, pong) if listens else None
        links = daemons.Links()
        with pytest.raises(daemons.PeerError) as raised:
            await daemons.exchange(links, address, message, timeout)
        assert type(raised.value) is error
        daemons.close(links)
        if server is not None:
            await daemons.close_server(server)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "address", ["", "[::1]:9", "[fe80::1%a b]:9", "[fe80::1%a..b]:9"]
)
def test_refused_connection_is_told_at_once(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A message to an address of nobody waited until it timed out."""
    monkeypatch.setattr(_links, "SEND_TIMEOUT_MS", int(2_000 * WAIT))
    monkeypatch.setattr(_links, "CONNECT_SECONDS", 2 * WAIT)

    async def scenario() -> None:
        links = daemons.Links()
        with pytest.raises(daemons.PeerUnreachable):
            await daemons.check_reachable(
                links, address or new_address(), 2 * WAIT
            )
        daemons.close(links)

    asyncio.run(asyncio.wait_for(scenario(), WAIT))


def test_connection_that_nobody_answers_is_given_up() -> None:
    """Nothing was sent, so the outcome must not become unknown."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        address = new_address()
        host, _, port = address.partition(":")
        links = daemons.Links()
        with socket.socket() as listening, contextlib.ExitStack() as stack:
            listening.bind((host, int(port)))
            listening.listen(0)
            # The kernel drops further connections once its queue is full.
            for _ in range(QUEUE_FILLERS):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex((host, int(port)))
            began = loop.time()
            with pytest.raises(daemons.PeerUnreachable):
                await daemons.check_reachable(links, address, 0.1)
            assert loop.time() - began >= 0.1
        daemons.close(links)

    asyncio.run(asyncio.wait_for(scenario(), WAIT))


def test_connected_link_is_not_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each message would cost a connection."""

    async def refuse(*_: typing.Any) -> None:
        raise ConnectionRefusedError

    async def scenario() -> None:
        address = new_address()
        server = daemons.listen(address, pong)
        links = daemons.Links()
        await daemons.check_reachable(links, address, WAIT)
        await daemons.exchange(links, address, daemons.Ping(), WAIT)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "create_connection", refuse)
        await daemons.check_reachable(links, address, WAIT)
        daemons.close(links)
        await daemons.close_server(server)

    asyncio.run(asyncio.wait_for(scenario(), 2 * WAIT))


def test_server_answers_after_handler_exceptions() -> None:
    """A server still answers after exceptions in its handler.

    Each exception ended a receiver that still counted as idle and left its
    peer waiting. After a few, no new receiver was started, and the running
    daemon no longer answered any peer.
    """

    async def scenario() -> None:
        address = new_address()
        server = daemons.listen(address, pong)
        links = daemons.Links()
        for _ in range(3 * _server.IDLE_RECEIVERS):
            reply = await daemons.exchange(
                links, address, daemons.Cancel("a"), WAIT
            )
            assert reply == daemons.NoContent()
        reply = await daemons.exchange(links, address, daemons.Ping(), WAIT)
        assert reply == daemons.Pong("1", True)
        daemons.close(links)
        await daemons.close_server(server)

    asyncio.run(scenario())


def test_link_with_an_exchange_in_flight_is_not_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A link whose only exchange waits for a slow upstream stays open.

    Only the time of the last send was compared, so the link was closed
    after a minute, and answers that took longer became unknown when there
    was little traffic.
    """
    monkeypatch.setattr(_links, "MAX_IDLE_SECONDS", 0.0)

    async def scenario() -> None:
        address = new_address()
        go = asyncio.Event()

        async def slow(_: daemons.Message) -> daemons.Message:
            await go.wait()
            return daemons.NoContent()

        server = daemons.listen(address, slow)
        links = daemons.Links()
        waiting = asyncio.create_task(
            daemons.exchange(links, address, daemons.Ping(), WAIT)
        )
        await meshes.until(lambda: server.idle_receivers < len(server.tasks))
        daemons.close_idle(links)
        go.set()
        assert await waiting == daemons.NoContent()
        time.sleep(0.001)
        daemons.close_idle(links)
        assert links.by_address == {}
        await daemons.close_server(server)

    asyncio.run(scenario())


def test_cancellation_dropped_by_pynng_ends_the_exchange(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An exchange ends at its timeout even if pynng drops a cancellation.

    pynng drops a cancellation that arrives just after a send has succeeded.
    The receive that follows would wait without a bound for a peer that
    never replies.
    """

    async def late_send(context: typing.Any, data: bytes) -> None:
        try:
            await asyncio.sleep(WAIT)
        except asyncio.CancelledError:
            await context.asend(data)

    monkeypatch.setattr(_links, "_send", late_send)

    async def scenario() -> None:
        address = new_address()
        server = daemons.listen(address, pong)
        links = daemons.Links()
        message = daemons.AnswerFetch("a", 1)
        began = time.monotonic()
        with pytest.raises(daemons.PeerTimeout):
            await daemons.exchange(links, address, message, 0.05)
        assert time.monotonic() - began < WAIT / 2
        daemons.close(links)
        await daemons.close_server(server)

    asyncio.run(scenario())


def test_disconnected_link_ends_its_exchanges() -> None:
    """Disconnecting a link ends the exchanges in progress on it.

    When a VM loses power, no connection is closed. A ping fails, but a call
    in progress would wait until its deadline.
    """

    async def scenario() -> None:
        address = new_address()
        server = daemons.listen(address, pong)
        links = daemons.Links()
        call = asyncio.create_task(
            daemons.exchange(links, address, daemons.AnswerFetch("a", 1), 60)
        )
        assert await daemons.exchange(links, address, daemons.Ping(), WAIT)
        daemons.disconnect(links, address)
        with pytest.raises(daemons.PeerLost):
            await asyncio.wait_for(call, WAIT)
        daemons.close(links)
        await daemons.close_server(server)

    asyncio.run(scenario())


def test_messages_nested_too_deeply_cost_no_other_message() -> None:
    """Each one ended a receiver, until nobody received any more."""
    nested = b"\x94\xa4pong\xa11\xc3" + 100_000 * b"\x91" + b"\xc0"

    async def scenario() -> None:
        address = new_address()
        server = daemons.listen(address, pong)
        with pynng.Req0(dial=f"tcp://{address}", recv_timeout=500) as peer:
            for _ in range(2 * _server.IDLE_RECEIVERS):
                await peer.asend(nested)
                with contextlib.suppress(pynng.Timeout):
                    await peer.arecv()
        links = daemons.Links()
        reply = await daemons.exchange(links, address, daemons.Ping(), WAIT)
        assert reply == daemons.Pong("1", True)
        assert server.unreadable_messages == 2 * _server.IDLE_RECEIVERS
        daemons.close(links)
        await daemons.close_server(server)

    asyncio.run(scenario())
