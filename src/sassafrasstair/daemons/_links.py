"""Outgoing exchanges with other daemons, over SP request sockets."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

import msgspec
import pynng

from sassafrasstair.daemons import _errors
from sassafrasstair.daemons import _messages
from sassafrasstair import dials
from sassafrasstair import settings

SEND_TIMEOUT_MS = 400
CONNECT_SECONDS = 0.4
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
MAX_IDLE_SECONDS = 60.0

Exchange = typing.Callable[
    [str, _messages.Message, float],
    typing.Awaitable[_messages.Message],
]


@dataclasses.dataclass(slots=True)
class _Link:
    """A connection to one peer.

    ``last_used_at`` is the monotonic time at which an exchange last began or
    ended. ``in_flight`` is the number of exchanges in progress.
    """

    socket: pynng.Req0
    last_used_at: float
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class Links:
    """One request socket for each peer address in use."""

    by_address: dict[str, _Link] = dataclasses.field(default_factory=dict)
    checks: dict[str, asyncio.Transport] = dataclasses.field(
        default_factory=dict
    )
    """Open connections to silent peers; their ends show that a VM is gone."""
    bytes_sent: int = 0
    bytes_received: int = 0


def start_threads() -> None:
    """Start the threads that serve all sockets of the process."""
    pynng.Req0().close()


async def exchange(
    links: Links, address: str, message: _messages.Message, timeout: float
) -> _messages.Message:
    """Send one message to the daemon at ``address`` and return its reply.

    ``timeout`` is in seconds and covers the request and the reply. Raises
    ``PeerUnreachable`` when nothing was sent, ``PeerLost`` otherwise.
    """
    link = _link_to(links, address)
    data = _messages.encode(message)
    link.in_flight += 1
    try:
        async with asyncio.timeout(timeout):
            reply = await _exchange(link.socket, data)
    except TimeoutError as error:
        raise _errors.PeerTimeout(f"no reply in {timeout:.3f} s") from error
    except pynng.NNGException as error:
        raise _errors.PeerLost(str(error)) from error
    finally:
        link.in_flight -= 1
        link.last_used_at = time.monotonic()
    links.bytes_sent += len(data)
    links.bytes_received += len(reply)
    try:
        return _messages.decode(reply)
    except msgspec.DecodeError as error:
        raise _errors.PeerLost(f"unreadable reply: {error}") from error


async def check_reachable(links: Links, address: str, timeout: float) -> None:
    """Raise ``PeerUnreachable`` if nobody accepts connections at ``address``.

    A link that is connected is not checked. The socket of any other connects
    again and again in the background, and does not tell that it is refused:
    an exchange would wait until its message times out.
    """
    if not _link_to(links, address).socket.pipes:
        transport = await _connect(address, timeout)
        if transport is not None:
            transport.abort()


async def check_silent(links: Links, address: str, timeout: float) -> None:
    """Raise ``PeerUnreachable`` if the VM of a silent peer is not there.

    The system of a VM accepts a connection while its daemon is stalled, and
    keeps it. One is kept open until ``end_check``: the kernel's probes end it
    if the VM is gone, and more of them would fill the daemon's queue.
    """
    kept = links.checks.get(address)
    if kept is not None and not kept.is_closing():
        return
    links.checks.pop(address, None)
    transport = await _connect(address, timeout)
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        dials.probe(
            sock, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_COUNT
        )
    end_check(links, address)
    links.checks[address] = transport


def end_check(links: Links, address: str) -> None:
    """Close the connection that ``check_silent`` keeps, if there is one."""
    transport = links.checks.pop(address, None)
    if transport is not None:
        transport.abort()


async def _connect(address: str, timeout: float) -> asyncio.Transport | None:
    """Return a new connection, None for an address that can't be parsed.

    Raises ``PeerUnreachable``.
    """
    try:
        host, port = settings.parse_address(address)
    except ValueError:
        return None
    seconds = min(timeout, CONNECT_SECONDS)
    try:
        transport, _ = await dials.dial(asyncio.Protocol, host, port, seconds)
    except (OSError, ValueError) as error:
        raise _errors.PeerUnreachable(f"{address!r}: {error}") from error
    return transport


def close_idle(links: Links) -> None:
    """Close the sockets that no exchange has used for a minute.

    An exchange may wait longer than that for a slow upstream. A link with
    an exchange in progress is therefore not idle: closing it would lose the
    answer and leave the outcome unknown.
    """
    idle_cutoff = time.monotonic() - MAX_IDLE_SECONDS
    for address, link in list(links.by_address.items()):
        if not link.in_flight and link.last_used_at < idle_cutoff:
            link.socket.close()
            del links.by_address[address]


def disconnect(links: Links, address: str) -> None:
    """Close one link; its exchanges in progress raise ``PeerLost``."""
    link = links.by_address.pop(address, None)
    if link is not None:
        link.socket.close()


def close(links: Links) -> None:
    """Close all sockets; exchanges in progress raise ``PeerLost``."""
    for link in links.by_address.values():
        link.socket.close()
    links.by_address.clear()
    for address in list(links.checks):
        end_check(links, address)


def _link_to(links: Links, address: str) -> _Link:
    link = links.by_address.get(address)
    if link is None:
        link = _Link(_dial(address), 0.0)
        links.by_address[address] = link
    link.last_used_at = time.monotonic()
    return link


def _dial(address: str) -> pynng.Req0:
    """Return a socket that connects in the background.

    Raises ``PeerUnreachable`` for text that is no address.
    """
    # By default a request socket resends its message when a connection is
    # lost. The attempt would then arrive twice, the second time after the
    # caller was told that its outcome is unknown. A negative resend time
    # ends the exchange with ConnectionReset instead.
    socket = pynng.Req0(resend_time=-1, send_timeout=SEND_TIMEOUT_MS)
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.tcp_nodelay = True
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.NNGException as error:
        socket.close()
        raise _errors.PeerUnreachable(f"{address!r}: {error}") from error
    return socket


async def _exchange(socket: pynng.Req0, data: bytes) -> bytes:
    with socket.new_context() as context:
        await _send(context, data)
        _raise_if_cancelled()
        reply: bytes = await context.arecv()
    return reply


async def _send(context: pynng.Context, data: bytes) -> None:
    try:
        await context.asend(data)
    except pynng.Timeout as error:
        # The socket removes a message that timed out from its queue under
        # the same lock under which it passes messages to a connection, so
        # this message was not sent.
        raise _errors.PeerUnreachable("no connection") from error


def _raise_if_cancelled() -> None:
    # pynng drops a cancellation that arrives just after its operation has
    # succeeded. Without this check the next operation would wait without a
    # bound, and the exchange would outlive its timeout or its caller.
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
