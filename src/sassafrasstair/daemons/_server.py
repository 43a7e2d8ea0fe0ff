"""Incoming exchanges from other daemons, over one SP reply socket."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import msgspec
import pynng

from sassafrasstair.daemons import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    Handler = abc.Callable[
        [_messages.Message], abc.Awaitable[_messages.Message]
    ]

IDLE_RECEIVERS = 8
MAX_RECEIVERS = 4_096
MAX_MESSAGE_BYTES = 2_000_000


@dataclasses.dataclass(slots=True)
class Server:
    """A listening reply socket and its receivers.

    Each exchange in progress holds one receiver; a new one is made when
    few are idle, up to ``MAX_RECEIVERS``.
    """

    socket: pynng.Rep0
    handler: Handler
    idle: int = 0
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    unreadable: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    closing: bool = False


def listen(address: str, handler: Handler) -> Server:
    """Listen at ``address`` ("IP:port"); give each message to ``handler``.

    Raises ``OSError`` when the address can't be bound.
    """
    socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
    socket.tcp_nodelay = True
    try:
        socket.listen(f"tcp://{address}")
    except pynng.NNGException as error:
        socket.close()
        raise OSError(f"cannot listen at {address}: {error}") from error
    server = Server(socket, handler)
    _grow(server)
    return server


async def close(server: Server) -> None:
    """Stop listening; exchanges in progress lose their reply."""
    # Failure: a planned stop under traffic never ends. The library swallows
    # a cancellation that meets a message that has just come, and the
    # receiver would wait for the next one; so it also looks at this mark.
    server.closing = True
    for task in server.tasks:
        task.cancel()
    await asyncio.gather(*server.tasks, return_exceptions=True)
    server.socket.close()


def _grow(server: Server) -> None:
    while server.idle < IDLE_RECEIVERS and len(server.tasks) < MAX_RECEIVERS:
        task = asyncio.get_running_loop().create_task(_receive(server))
        server.idle += 1
        server.tasks.add(task)
        task.add_done_callback(server.tasks.discard)


async def _receive(server: Server) -> None:
    with server.socket.new_context() as context:
        while not server.closing and server.idle <= 2 * IDLE_RECEIVERS:
            data = await context.arecv()
            if server.closing:
                break
            server.idle -= 1
            server.bytes_received += len(data)
            _grow(server)
            try:
                await _reply(server, context, data)
            finally:
                server.idle += 1
    server.idle -= 1


async def _reply(server: Server, context: pynng.Context, data: bytes) -> None:
    try:
        message = _messages.decode(data)
    except msgspec.DecodeError:
        server.unreadable += 1
        reply: _messages.Message = _messages.Nothing()
    else:
        reply = await server.handler(message)
    encoded = _messages.encode(reply)
    server.bytes_sent += len(encoded)
    try:
        await context.asend(encoded)
    except pynng.NNGException:
        # The peer went away while the handler ran; it reports PeerLost.
        return
