"""The state of a connection's socket."""

from __future__ import annotations

import socket
import typing

if typing.TYPE_CHECKING:
    import asyncio

_ENDED_STATES = frozenset({7, 8})
"""Linux' TCP_CLOSE and TCP_CLOSE_WAIT."""


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
