"""The daemon's HTTP servers: uvicorn on the daemon's own loop."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import typing

import uvicorn

from sassafrasstair import settings

if typing.TYPE_CHECKING:
    from collections import abc

LISTEN_BACKLOG = 2_048
KEEPALIVE_SECONDS = 75
POLL_SECONDS = 0.01
FLUSH_SECONDS = 30.0


class _Server(uvicorn.Server):
    """A server that leaves the process's signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Capture none: a planned stop is the daemon's to carry out."""
        yield


@dataclasses.dataclass(frozen=True, slots=True)
class Http:
    """Running servers, each with its task."""

    servers: tuple[uvicorn.Server, ...]
    tasks: tuple[asyncio.Task[None], ...]


async def start(apps: abc.Iterable[tuple[str, typing.Any]]) -> Http:
    """Serve each (address, application); return once all listen.

    Raises ``OSError`` when an address can't be bound.
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
        await asyncio.sleep(POLL_SECONDS)
    return Http(tuple(servers), tuple(tasks))


async def stop(http: Http) -> None:
    """Stop listening, finish the requests in flight, and return."""
    for server in http.servers:
        server.should_exit = True
    flushing = asyncio.ensure_future(_force_exit_when_answered(http))
    await asyncio.gather(*http.tasks)
    flushing.cancel()


async def _force_exit_when_answered(http: Http) -> None:
    # Failure: a caller that reads nothing more keeps its connection open,
    # with an answer that was written, and the stop never ends. Once every
    # request has been answered, such a connection gets a bounded time.
    while any(server.server_state.tasks for server in http.servers):
        await asyncio.sleep(POLL_SECONDS)
    await asyncio.sleep(FLUSH_SECONDS)
    for server in http.servers:
        server.force_exit = True


def _raise_failure(tasks: abc.Iterable[asyncio.Task[None]]) -> None:
    # Failure: a server's task ends before it serves, and the daemon waits
    # for it for ever: it answers its peers but serves no caller.
    for task in tasks:
        if task.done():
            task.result()
            raise OSError("a server ended before it served")


def _listen(address: str) -> socket.socket:
    host, port = settings.parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, port))
    listening.listen(LISTEN_BACKLOG)
    listening.setblocking(False)
    return listening


def _config(app: typing.Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        loop="none",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        # The upstream's own Date is passed on; two would differ.
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEPALIVE_SECONDS,
    )
