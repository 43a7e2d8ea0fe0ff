"""Connection pools; a connection carries one request at a time."""

from __future__ import annotations

import asyncio
import math
import typing

from sassafrasstair import dials
from sassafrasstair.httpio import _bodies
from sassafrasstair.httpio import _jobs
from sassafrasstair.httpio import _responses

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks

CONNECT_SECONDS = 0.4
"""Connecting within a region takes a few ms; the address of a VM that no
longer exists never answers."""


class Pool:
    """Connections to one address; the last used is reused first."""

    def __init__(
        self,
        host: str,
        port: int,
        clock: clocks.Clock,
        idle_seconds: float,
        memory: _bodies.ResponseMemory | None = None,
        is_remote: bool = True,
    ) -> None:
        self.host = host
        self.port = port
        self.clock = clock
        self.idle_seconds = idle_seconds
        """Seconds to keep a connection if the server states no time-out."""
        self.memory = memory or _bodies.ResponseMemory(
            _responses.RESPONSE_BYTES_MAX
        )
        """Limits what is held of unfinished responses."""
        self.is_remote = is_remote
        """Whether the server's host may vanish while this one runs."""
        self.answered_at = -math.inf
        """When the server last answered, by the clock."""
        self.connections_opened = 0
        self._idle: list[_responses.Connection] = []
        self._busy: set[_responses.Connection] = set()
        self._ending: set[_responses.Connection] = set()
        """Closed ones with a rest of a request that was answered early."""
        self._connecting: dict[asyncio.Task[None], abc.Callable[[], None]] = {}
        """Tasks that open connections, each with what reports its failure."""

    def send(self, job: _jobs.Job) -> None:
        """Send a job on an idle connection, or else on a new one."""
        now = self.clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(now) and not connection.has_input():
                self._start(connection, job)
                return
            connection.abort()
        self.send_on_new(job)

    def send_on_new(self, job: _jobs.Job) -> None:
        """Send a job on a new connection."""
        self._start_connecting(
            self._connect(job), lambda: job.end(_jobs.Failure.NOT_SENT)
        )

    def try_connect(self, on_done: abc.Callable[[bool], None]) -> None:
        """Open an idle connection and report whether that succeeded."""
        self._start_connecting(
            self._try_connect(on_done), lambda: on_done(False)
        )

    def check_refused(self, on_done: abc.Callable[[bool], None]) -> None:
        """Open an idle connection and report whether the server refused it.

        A refused connection shows that no process listens. A time-out shows
        nothing.
        """
        self._start_connecting(
            self._check_refused(on_done), lambda: on_done(False)
        )

    def drop_idle(self) -> None:
        """Close all idle connections, as when the server has timed out."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long, or are dead.

        The pool has no timer of its own; its owner calls this regularly.
        """
        if now - self.answered_at >= _responses.UNRESPONSIVE_SECONDS:
            for busy in list(self._busy):
                busy.check(now)
        for ending in list(self._ending):
            ending.check_rest(now)
        kept = []
        for connection in self._idle:
            if connection.usable(now):
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept

    def close(self) -> None:
        """Close all connections and cancel those being opened."""
        self.drop_idle()
        for connection in list(self._busy):
            connection.abort()
        connecting, self._connecting = self._connecting, {}
        for task, report_failure in connecting.items():
            task.cancel()
            report_failure()

    def release(self, connection: _responses.Connection) -> None:
        """Make a connection idle after its response is complete."""
        self._busy.discard(connection)
        self._idle.append(connection)

    def end_later(self, connection: _responses.Connection) -> None:
        """Watch a closed connection while the server takes what is unsent."""
        self._ending.add(connection)
        connection.check_rest(self.clock.monotonic())

    def forget(self, connection: _responses.Connection) -> None:
        """Remove a connection that has closed; the connection calls this."""
        self._busy.discard(connection)
        self._ending.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _start_connecting(
        self,
        work: abc.Coroutine[typing.Any, typing.Any, None],
        report_failure: abc.Callable[[], None],
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._connecting[task] = report_failure
        task.add_done_callback(lambda done: self._connecting.pop(done, None))

    def _start(
        self, connection: _responses.Connection, job: _jobs.Job
    ) -> None:
        self._busy.add(connection)
        connection.start(job)

    async def _connect(self, job: _jobs.Job) -> None:
        connection = await self._open()
        if connection is None or connection.closed:
            job.end(_jobs.Failure.NOT_SENT)
        elif job.awaited:
            self._start(connection, job)
        else:
            self._idle.append(connection)

    async def _try_connect(self, on_done: abc.Callable[[bool], None]) -> None:
        connection = await self._open()
        if connection is not None and not connection.closed:
            self._idle.append(connection)
        on_done(connection is not None)

    async def _check_refused(
        self, on_done: abc.Callable[[bool], None]
    ) -> None:
        refused = False
        try:
            connection = await self._dial()
        except ConnectionRefusedError:
            refused = True
        except OSError:
            pass  # Whether a process listens remains unknown.
        else:
            if not connection.closed:
                self._idle.append(connection)
        on_done(refused)

    async def _open(self) -> _responses.Connection | None:
        """Return a new connection, or None on failure or time-out."""
        try:
            return await self._dial()
        except OSError:
            return None

    async def _dial(self) -> _responses.Connection:
        """Return a new connection; raises ``OSError``, also on time-out."""
        _, connection = await dials.dial(
            lambda: _responses.Connection(self),
            self.host,
            self.port,
            CONNECT_SECONDS,
        )
        self.connections_opened += 1
        return connection
