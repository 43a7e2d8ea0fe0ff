"""Opens TCP connections, and lets the kernel end those to a dead peer."""

from __future__ import annotations

import asyncio
import socket
import typing

if typing.TYPE_CHECKING:
    from collections import abc

LATE_SECONDS = 0.02
"""Further time for a connection that was established, but not noticed, while
this process stood still for the rest."""

_Protocol = typing.TypeVar("_Protocol", bound=asyncio.BaseProtocol)


async def dial(
    factory: abc.Callable[[], _Protocol], host: str, port: int, seconds: float
) -> tuple[asyncio.Transport, _Protocol]:
    """Return a new connection and its protocol.

    Raises ``OSError``, also if that takes longer than ``seconds``.
    """
    loop = asyncio.get_running_loop()
    connecting = loop.create_task(loop.create_connection(factory, host, port))
    try:
        for wait_seconds in (seconds, LATE_SECONDS):
            done, _ = await asyncio.wait([connecting], timeout=wait_seconds)
            if done:
                return connecting.result()
        raise TimeoutError
    finally:
        connecting.cancel()


def probe(
    sock: socket.socket, idle_s: int, interval_s: int, count: int
) -> None:
    """Let the kernel end a connection whose peer acknowledges no probe.

    Probes begin after ``idle_s`` seconds of silence.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, count)
