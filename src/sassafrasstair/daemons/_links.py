"""Outgoing exchanges with other daemons, over SP request sockets."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
import typing

import msgspec
import pynng

from sassafrasstair.daemons import _errors
from sassafrasstair.daemons import _messages

if typing.TYPE_CHECKING:
    from collections import abc

SEND_TIMEOUT_MS = 400
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
KEEP_IDLE_SECONDS = 60.0

Exchange = typing.Callable[
    [str, _messages.Message, float],
    typing.Awaitable[_messages.Message],
]


@dataclasses.dataclass(slots=True)
class _Link:
    socket: pynng.Req0
    used: float


@dataclasses.dataclass(slots=True)
class Links:
    """One request socket for each peer address in use."""

    by_address: dict[str, _Link] = dataclasses.field(default_factory=dict)
    bytes_sent: int = 0
    bytes_received: int = 0


async def exchange(
    links: Links, address: str, message: _messages.Message, timeout: float
) -> _messages.Message:
    """Send one message to the daemon at ``address``; return its reply.

    ``timeout`` is in seconds and covers both ways. Raises
    ``PeerUnreachable`` when nothing was sent, ``PeerLost`` otherwise.
    """
    link = _link(links, address)
    data = _messages.encode(message)
    with _context(link) as context:
        await _send(context, data, timeout)
        links.bytes_sent += len(data)
        reply = await _receive(context, timeout)
    links.bytes_received += len(reply)
    try:
        return _messages.decode(reply)
    except msgspec.DecodeError as error:
        raise _errors.PeerLost(f"unreadable reply: {error}") from error


@contextlib.contextmanager
def _context(link: _Link) -> abc.Iterator[pynng.Context]:
    try:
        context = link.socket.new_context()
    except pynng.NNGException as error:
        raise _errors.PeerUnreachable(str(error)) from error
    try:
        yield context
    finally:
        # Failure: the socket is closed under an exchange, as in a planned
        # stop. Closing the context then fails too, and the library's error
        # would take the place of the peer's.
        with contextlib.suppress(pynng.NNGException):
            context.close()


def close_idle(links: Links) -> None:
    """Close the sockets that no exchange used for a minute."""
    oldest = time.monotonic() - KEEP_IDLE_SECONDS
    for address, link in list(links.by_address.items()):
        if link.used < oldest:
            link.socket.close()
            del links.by_address[address]


def close(links: Links) -> None:
    """Close all sockets; exchanges under way end with ``PeerLost``."""
    for link in links.by_address.values():
        link.socket.close()
    links.by_address.clear()


def _link(links: Links, address: str) -> _Link:
    link = links.by_address.get(address)
    if link is None:
        link = _Link(_dial(address), 0.0)
        links.by_address[address] = link
    link.used = time.monotonic()
    return link


def _dial(address: str) -> pynng.Req0:
    # A request socket sends again by itself when a connection is lost: the
    # attempt would arrive twice, the second time after the caller was told
    # that its outcome is unknown. A negative resend time ends the exchange
    # with ConnectionReset instead.
    socket = pynng.Req0(resend_time=-1, send_timeout=SEND_TIMEOUT_MS)
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.tcp_nodelay = True
    socket.dial(f"tcp://{address}", block=False)
    return socket


async def _send(context: pynng.Context, data: bytes, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await context.asend(data)
    except pynng.Timeout as error:
        raise _errors.PeerUnreachable("no connection") from error
    except (pynng.NNGException, TimeoutError) as error:
        raise _errors.PeerLost(str(error)) from error


async def _receive(context: pynng.Context, timeout: float) -> bytes:
    try:
        async with asyncio.timeout(timeout):
            reply: bytes = await context.arecv()
    except TimeoutError as error:
        raise _errors.PeerTimeout(f"no reply in {timeout:.3f} s") from error
    except pynng.NNGException as error:
        raise _errors.PeerLost(str(error)) from error
    return reply
