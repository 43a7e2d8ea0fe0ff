"""The daemon's HTTP servers: uvicorn on the daemon's event loop."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import typing

import uvicorn

from sassafrasstair.runtime import _lingering
from sassafrasstair import settings

if typing.TYPE_CHECKING:
    from collections import abc

LISTEN_BACKLOG = 2_048
KEEPALIVE_SECONDS = 75
POLL_INTERVAL_SECONDS = 0.01
FLUSH_SECONDS = 30.0


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Capture no signals, since the daemon handles the planned stop."""
        yield


@dataclasses.dataclass(frozen=True, slots=True)
class Http:
    """Running servers, each with its task."""

    servers: tuple[uvicorn.Server, ...]
    tasks: tuple[asyncio.Task[None], ...]


async def start(apps: abc.Iterable[tuple[str, typing.Any]]) -> Http:
    """Serve each (address, application) and return once all listen.

    Raises ``OSError`` if an address can't be bound.
    """
    servers = []
    tasks = []
    for address, app in apps:
        server = _Server(_config(app))
        listening = _listen(address)
        servers.append(server)
        tasks.append(asyncio.create_task(server.serve([listening])))
    while not all(server.started for server in servers):
        _raise_failure(tasks)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return Http(tuple(servers), tuple(tasks))


def unanswered(http: Http) -> int:
    """Return the number of requests that are not answered completely."""
    return sum(len(server.server_state.tasks) for server in http.servers)


async def stop(http: Http, timeout: float) -> None:
    """Stop listening and finish the requests in flight.

    After ``timeout`` seconds the connections that are left are cut.
    """
    for server in http.servers:
        server.should_exit = True
    loop = asyncio.get_running_loop()
    forced = loop.call_later(max(0.0, timeout), _force_exit, http)
    force_exit_task = asyncio.ensure_future(_force_exit_when_answered(http))
    await asyncio.gather(*http.tasks)
    forced.cancel()
    force_exit_task.cancel()


def _force_exit(http: Http) -> None:
    for server in http.servers:
        server.force_exit = True


async def _force_exit_when_answered(http: Http) -> None:
    # A caller that has stopped reading keeps its connection open with an
    # answer that is already written, and the stop would never end. Once
    # every request has been answered, such connections are closed after
    # ``FLUSH_SECONDS``.
    while any(server.server_state.tasks for server in http.servers):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    await asyncio.sleep(FLUSH_SECONDS)
    _force_exit(http)


def _raise_failure(tasks: abc.Iterable[asyncio.Task[None]]) -> None:
    # Without this check, the daemon would wait for ever for a server whose
    # task has ended before it listens: it would answer its peers but serve
    # no callers.
    for task in tasks:
        if task.done():
            task.result()
            raise OSError("an HTTP server ended before it was listening")


def _listen(address: str) -> socket.socket:
    host, port = settings.parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind((host, port))
    listening_socket.listen(LISTEN_BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket


def _config(app: typing.Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        loop="none",
        http=_lingering.Protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        # The upstream's Date header is passed on; a second one would differ.
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEPALIVE_SECONDS,
    )
