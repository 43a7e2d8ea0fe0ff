"""The state of a connection's socket."""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
import struct
import termios
import typing

if typing.TYPE_CHECKING:
    import asyncio
    from collections import abc

_ENDED_STATES = frozenset({7, 8})
"""Linux' TCP_CLOSE and TCP_CLOSE_WAIT."""

_TCP_INFO = struct.Struct("2xBB48xII")
"""Linux' ``tcp_info`` up to the time since the last acknowledgement: timeouts
in a row after which data was sent again, window probes without an answer, and
the milliseconds since data and since an acknowledgement arrived."""
_ATTEMPTS_MIN = 2
"""One may have been sent just now."""
_INT = struct.Struct("i")
_TICK_MS = 10
"""The kernel counts those times in ticks, of 10 ms at most."""


def accept_waiting(
    listening: abc.Iterable[socket.socket],
) -> list[socket.socket]:
    """Accept the connections that wait at listening sockets."""
    accepted = []
    for each in listening:
        # The sockets of an event loop don't accept themselves.
        with socket.socket(fileno=os.dup(each.fileno())) as own:
            own.setblocking(False)
            with contextlib.suppress(OSError):
                while True:
                    accepted.append(own.accept()[0])
    for sock in accepted:
        sock.setblocking(False)
    return accepted


def peer_host(transport: asyncio.BaseTransport) -> str:
    """Return the peer's IP address, '' after it has disconnected."""
    name = transport.get_extra_info("peername")
    return name[0] if name else ""


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection.

    A transport reports that only while it reads.
    """
    sock = transport.get_extra_info("socket")
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] in _ENDED_STATES


def is_unresponsive(transport: asyncio.BaseTransport, seconds: float) -> bool:
    """Return whether the peer's system has acknowledged nothing for so long.

    It was asked to meanwhile. That a peer's process reads nothing is no sign
    of that: its system answers the probes of a closed window.
    """
    info = _tcp_info(transport)
    if info is None:
        return False
    retransmits, probes, _, silent_ms = info
    was_asked = max(retransmits, probes) >= _ATTEMPTS_MIN
    return was_asked and silent_ms >= 1000 * seconds


def seconds_since_data(transport: asyncio.BaseTransport) -> float:
    """Return for how long at least the kernel has had the last data."""
    info = _tcp_info(transport)
    return 0.0 if info is None else max(0, info[2] - _TICK_MS) / 1000.0


def unsent_bytes(transport: typing.Any, has_ended: bool) -> int:
    """Return the bytes that the peer's system has not acknowledged.

    Those that the kernel holds count, too, if it tells. ``has_ended`` is set
    if the end of the data was sent, which the kernel counts as a byte.
    """
    buffered: int = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    with contextlib.suppress(OSError):
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        buffered += max(0, _INT.unpack(found)[0] - has_ended)
    return buffered


def _tcp_info(
    transport: asyncio.BaseTransport,
) -> tuple[int, int, int, int] | None:
    """Return what ``_TCP_INFO`` unpacks, None if the kernel doesn't tell."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    if len(info) < _TCP_INFO.size:
        return None
    retransmits, probes, data_ms, acknowledged_ms = _TCP_INFO.unpack(info)
    return retransmits, probes, data_ms, acknowledged_ms
