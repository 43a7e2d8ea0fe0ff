"""Incoming exchanges from other daemons, over one SP reply socket."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import typing

import msgspec
import pynng

from sassafrasstair.daemons import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    Handler = abc.Callable[
        [_messages.Message], abc.Awaitable[_messages.Message]
    ]

CLOSE_POLL_SECONDS = 0.1
IDLE_RECEIVERS = 8
MAX_RECEIVERS = 4_096
MAX_MESSAGE_BYTES = 2_000_000

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Server:
    """A listening reply socket and its receiver tasks.

    Each exchange in progress occupies one receiver. New receivers are
    started when fewer than ``IDLE_RECEIVERS`` are idle, up to
    ``MAX_RECEIVERS`` in total. ``unreadable_messages`` counts the messages
    that could not be decoded.
    """

    socket: pynng.Rep0
    handler: Handler
    idle_receivers: int = 0
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    unreadable_messages: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    closing: bool = False


def listen(address: str, handler: Handler) -> Server:
    """Listen at ``address`` ("IP:port") and pass messages to ``handler``.

    Raises ``OSError`` if the address can't be bound.
    """
    socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
    socket.tcp_nodelay = True
    try:
        socket.listen(f"tcp://{address}")
    except pynng.NNGException as error:
        socket.close()
        raise OSError(f"cannot listen at {address}: {error}") from error
    server = Server(socket, handler)
    _add_receivers(server)
    return server


async def close(server: Server) -> None:
    """Stop listening; the replies of exchanges in progress are lost."""
    server.closing = True
    while server.tasks:
        # pynng drops a cancellation that arrives just after its operation
        # has succeeded. One round of cancellations may thus leave receivers
        # running, and the stop would never end. Under traffic this can
        # happen in every round, so receivers also check ``closing``.
        for task in server.tasks:
            task.cancel()
        await asyncio.wait(server.tasks, timeout=CLOSE_POLL_SECONDS)
    server.socket.close()


def _add_receivers(server: Server) -> None:
    while (
        server.idle_receivers < IDLE_RECEIVERS
        and len(server.tasks) < MAX_RECEIVERS
    ):
        task = asyncio.get_running_loop().create_task(_receive(server))
        server.idle_receivers += 1
        server.tasks.add(task)
        task.add_done_callback(server.tasks.discard)


async def _receive(server: Server) -> None:
    # The idle count must go down however a receiver ends. If receivers that
    # failed still counted as idle, no new one would be started after a few
    # failures, and every exchange with this daemon would time out.
    try:
        with server.socket.new_context() as context:
            while (
                not server.closing
                and server.idle_receivers <= 2 * IDLE_RECEIVERS
            ):
                data = await context.arecv()
                if server.closing:
                    break
                server.idle_receivers -= 1
                try:
                    server.bytes_received += len(data)
                    _add_receivers(server)
                    await _reply(server, context, data)
                finally:
                    server.idle_receivers += 1
    except pynng.NNGException as error:
        _LOG.warning("event=receiver_ended detail=%r", str(error))
    finally:
        server.idle_receivers -= 1


async def _reply(server: Server, context: pynng.Context, data: bytes) -> None:
    encoded = _messages.encode(await _handle_message(server, data))
    server.bytes_sent += len(encoded)
    try:
        await context.asend(encoded)
    except pynng.NNGException:
        # The peer disconnected while the handler ran. Its own side of the
        # exchange raises PeerLost.
        return


async def _handle_message(server: Server, data: bytes) -> _messages.Message:
    try:
        message = _messages.decode(data)
    except msgspec.DecodeError:
        server.unreadable_messages += 1
        return _messages.NoContent()
    try:
        return await server.handler(message)
    except Exception:
        # An internal error. An immediate empty reply lets the peer treat the
        # outcome as unknown without waiting for its timeout.
        _LOG.exception("event=handler_fault kind=%s", type(message).__name__)
        return _messages.NoContent()
