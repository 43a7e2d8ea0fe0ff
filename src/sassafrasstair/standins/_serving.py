"""HTTP servers of the stand-ins, which start and stop at will."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import typing

import uvicorn

if typing.TYPE_CHECKING:
    from collections import abc

BACKLOG = 2048
POLL_SECONDS = 0.01


class _Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        yield


class Listener:
    """One ASGI application on one "IP:port"."""

    def __init__(self, app: typing.Any, address: str) -> None:
        self._app = app
        self._address = parse_address(address)
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind and serve; return once connections are taken."""
        if self._server is not None:
            return
        config = uvicorn.Config(
            self._app,
            lifespan="off",
            log_level="warning",
            access_log=False,
            timeout_keep_alive=60,
        )
        server = _Server(config)
        listening = _bind(self._address)
        self._task = asyncio.create_task(server.serve([listening]))
        while not server.started:
            await asyncio.sleep(POLL_SECONDS)
        self._server = server

    async def stop(self, cut: bool = False) -> None:
        """Stop taking connections and finish; ``cut`` drops requests."""
        server, task = self._server, self._task
        if server is None or task is None:
            return
        self._server = self._task = None
        server.should_exit = True
        if cut:
            server.force_exit = True
            for connection in list(server.server_state.connections):
                connection.transport.abort()
        await task


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of "IP:port"; raise ``ValueError`` if bad."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"{address!r} is not IP:PORT")
    return host, int(port)


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def _bind(address: tuple[str, int]) -> socket.socket:
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(address)
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening
