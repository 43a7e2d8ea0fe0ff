"""Connection pools; a connection carries one request at a time."""

from __future__ import annotations

import asyncio
import enum
import select
import socket
import typing

import httptools

from sassafrasstair.httpio import _messages
from sassafrasstair import keepalive

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks

CONNECT_SECONDS = 0.4
"""Connecting within a region takes a few ms; the address of a VM that no
longer exists never answers."""
LATE_CONNECT_SECONDS = 0.02
"""Further time for a connection that was established, but not noticed, while
this process stood still for the rest."""
RESPONSE_BYTES_MAX = 64 * 1024 * 1024
"""Longer responses are aborted, since a response is buffered whole."""
_USER_TIMEOUT_MS = 1_500
"""The kernel ends a connection on which sent data stays unacknowledged for
this long. It also replaces the count of keepalive probes on Linux."""
_KEEPALIVE_IDLE_S = 2
"""Probes begin on a connection that was silent for so long. They detect a
dead peer while a request, already acknowledged, waits for its response."""
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
_NO_BODY = frozenset({204, 304})
"""Statuses of responses that never have a body."""


class Failure(enum.Enum):
    """Why a job got no response.

    With ``NOT_SENT`` no byte of the request was sent; with all others the
    server may have run the request. ``LOST`` means that the connection ended
    before any response. ``CUT_SHORT`` means that the connection ended within
    the response, or that the response is longer than ``RESPONSE_BYTES_MAX``.
    ``GARBLED`` means that the response can't be parsed as HTTP.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    CUT_SHORT = "cut_short"
    GARBLED = "garbled"


class Job:
    """An HTTP request in flight and the callback for its result.

    ``data`` is the encoded request, with its head and body.
    """

    __slots__ = (
        "_connection",
        "_on_done",
        "body_omitted",
        "data",
        "expected_field",
    )

    def __init__(
        self,
        data: bytes,
        on_done: abc.Callable[[_messages.Response | Failure], None],
        expected_field: tuple[bytes, bytes] | None = None,
        body_omitted: bool = False,
    ) -> None:
        self.data = data
        self.expected_field = expected_field
        """Header field (name in lower case, value) that identifies the request
        in the response. A response with another value belongs to an earlier
        request."""
        self.body_omitted = body_omitted
        """Whether the response has no body, as for HEAD."""
        self._on_done: (
            abc.Callable[[_messages.Response | Failure], None] | None
        ) = on_done
        self._connection: _Connection | None = None

    def abort(self) -> None:
        """Cancel; the connection is closed so that the server notices."""
        self._on_done = None
        if self._connection is not None:
            self._connection.abort()

    def end(self, result: _messages.Response | Failure) -> None:
        """Report the result; only the first one counts."""
        done, self._on_done = self._on_done, None
        self._connection = None
        if done is not None:
            done(result)

    @property
    def may_have_been_sent(self) -> bool:
        """Whether the server may have received any part of the request.

        Valid while the result is awaited, and right after ``abort``. The end
        of the job resets it, even before the callback is called; the result
        then tells whether the request was sent.
        """
        return self._connection is not None

    @property
    def awaited(self) -> bool:
        """Whether the result is still to be reported."""
        return self._on_done is not None


class Pool:
    """Connections to one address; the last used is reused first."""

    def __init__(
        self, host: str, port: int, clock: clocks.Clock, idle_seconds: float
    ) -> None:
        self.host = host
        self.port = port
        self.clock = clock
        self.idle_seconds = idle_seconds
        """Seconds to keep a connection if the server states no time-out."""
        self.connections_opened = 0
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._connecting: dict[asyncio.Task[None], abc.Callable[[], None]] = {}
        """Tasks that open connections, each with what reports its failure."""

    def send(self, job: Job) -> None:
        """Send a job on an idle connection, or else on a new one."""
        now = self.clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(now) and not connection.has_input():
                self._start(connection, job)
                return
            connection.abort()
        self.send_on_new(job)

    def send_on_new(self, job: Job) -> None:
        """Send a job on a new connection."""
        self._start_connecting(
            self._connect(job), lambda: job.end(Failure.NOT_SENT)
        )

    def try_connect(self, on_done: abc.Callable[[bool], None]) -> None:
        """Open an idle connection and report whether that succeeded."""
        self._start_connecting(
            self._try_connect(on_done), lambda: on_done(False)
        )

    def drop_idle(self) -> None:
        """Close all idle connections, as when the server has timed out."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long.

        The pool has no timer of its own; its owner calls this regularly.
        """
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

    def release(self, connection: _Connection) -> None:
        """Make a connection idle after its response is complete."""
        self._busy.discard(connection)
        self._idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Remove a connection that has closed; the connection calls this."""
        self._busy.discard(connection)
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

    def _start(self, connection: _Connection, job: Job) -> None:
        self._busy.add(connection)
        connection.start(job)

    async def _connect(self, job: Job) -> None:
        connection = await self._open()
        if connection is None or connection.closed:
            job.end(Failure.NOT_SENT)
        elif job.awaited:
            self._start(connection, job)
        else:
            self._idle.append(connection)

    async def _try_connect(self, on_done: abc.Callable[[bool], None]) -> None:
        connection = await self._open()
        if connection is not None and not connection.closed:
            self._idle.append(connection)
        on_done(connection is not None)

    async def _open(self) -> _Connection | None:
        """Return a new connection, or None on failure or time-out."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_task(
            loop.create_connection(
                lambda: _Connection(self), self.host, self.port
            )
        )
        try:
            for seconds in (CONNECT_SECONDS, LATE_CONNECT_SECONDS):
                done, _ = await asyncio.wait([connecting], timeout=seconds)
                if done:
                    break
            else:
                return None
            _, connection = connecting.result()
        except OSError:
            return None
        finally:
            connecting.cancel()
        self.connections_opened += 1
        return connection


class _Connection(asyncio.Protocol):
    """One connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_body_parts",
        "_body_size",
        "_closed",
        "_complete_response",
        "_has_extra_data",
        "_has_length",
        "_idle_until",
        "_is_late",
        "_job",
        "_keep_alive",
        "_parser",
        "_poller",
        "_pool",
        "_response",
        "_transport",
    )

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._transport: typing.Any = None
        self._poller = select.poll()
        self._parser: typing.Any = httptools.HttpResponseParser(self)
        self._job: Job | None = None
        self._response: _messages.Response | None = None
        self._complete_response: _messages.Response | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._is_late = False
        """Whether the current response belongs to an earlier request."""
        self._has_length = True
        """Whether the end of the response can be told without the connection
        closing. Also true for a chunked body and for one that is absent."""
        self._keep_alive = True
        self._has_extra_data = False
        self._closed = False
        self._idle_until = pool.clock.monotonic() + pool.idle_seconds

    @property
    def closed(self) -> bool:
        """Whether the connection has ended, or is being aborted."""
        return self._closed

    def usable(self, now: float) -> bool:
        """Return whether a request may be sent on this connection."""
        return (
            not self._closed
            and not self._has_extra_data
            and now < self._idle_until
        )

    def has_input(self) -> bool:
        """Return whether an idle connection has ended, or got stray data.

        The event loop may not have read it yet. A request that is written
        behind the end of its connection does not run, but looks lost.
        """
        return bool(self._poller.poll(0))

    def start(self, job: Job) -> None:
        """Send the job's request."""
        self._job = job
        job._connection = self
        self._transport.write(job.data)

    def abort(self) -> None:
        """Close the connection immediately."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options that detect a dead peer or network link."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        self._poller.register(sock.fileno(), select.POLLIN)
        tcp = socket.IPPROTO_TCP
        # A powered-off VM or a broken link sends no reset: without these
        # options a request would wait on a dead connection until its deadline.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the job; a clean close ends a response without a length."""
        self._closed = True
        self._pool.forget(self)
        job, self._job = self._job, None
        if job is None:
            return
        response = self._response
        if response is None:
            job.end(Failure.LOST)
        elif exc is None and not self._has_length and not self._is_late:
            job.end(self._with_body(response))
        else:
            job.end(Failure.CUT_SHORT)

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort the connection if none is expected."""
        if self._job is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Extra bytes after a complete response leave it valid.
            self._has_extra_data = True
            if self._complete_response is None:
                self._fail(Failure.GARBLED)
                return
        if self._complete_response is not None:
            self._finish(self._complete_response)

    def on_message_begin(self) -> None:
        """Start a response; one after a complete response is ignored."""
        if self._complete_response is not None:
            self._response = None
            self._has_extra_data = True
            return
        self._response = _messages.Response()
        self._body_parts = []
        self._body_size = 0
        self._is_late = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        response = self._response
        if response is None:
            return
        lower = name.lower()
        value = value.strip(_messages.WHITE_SPACE)
        response.fields.append((lower, name, value))
        response.headers.setdefault(lower, value)

    def on_headers_complete(self) -> None:
        """Check which request is answered and how the body ends."""
        response, job = self._response, self._job
        if response is None or job is None:
            return
        response.status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        self._has_length = (
            b"content-length" in response.headers
            or b"transfer-encoding" in response.headers
            or response.status in _NO_BODY
            or response.status < 200
        )
        if job.expected_field is not None:
            name, value = job.expected_field
            received = response.headers.get(name)
            # A late response, to a request that was cancelled or answered
            # before, carries the value of that request and is ignored. It
            # comes from a server that responds again to an earlier request of
            # this connection after the next one was sent. A job aborted here
            # does not cause it, since its connection is closed.
            self._is_late = received is not None and received != value
        if job.body_omitted and not self._is_late and response.status >= 200:
            # httptools would wait for a body, which a HEAD response lacks.
            self._keep_alive = False
            self._complete_response = response

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        if self._response is None or self._is_late:
            return
        self._body_size += len(body)
        if self._body_size > RESPONSE_BYTES_MAX:
            self._fail(Failure.CUT_SHORT)
            return
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it is interim or late."""
        response = self._response
        if response is None or self._complete_response is not None:
            return
        if response.status < 200 or self._is_late:
            self._response = None
            self._has_length = True
            return
        if self._has_length:
            self._complete_response = response

    def _finish(self, response: _messages.Response) -> None:
        job, self._job = self._job, None
        self._response = self._complete_response = None
        whole = self._with_body(response)
        unsent = self._transport.get_write_buffer_size()
        if self._keep_alive and not self._has_extra_data and not unsent:
            field = response.headers.get(b"keep-alive", b"")
            idle_seconds = keepalive.idle_seconds(
                field, self._pool.idle_seconds
            )
            self._idle_until = self._pool.clock.monotonic() + idle_seconds
            self._pool.release(self)
        else:
            self._closed = True
            self._transport.close()
        if job is not None:
            job.end(whole)

    def _with_body(self, response: _messages.Response) -> _messages.Response:
        response.body = b"".join(self._body_parts)
        self._body_parts = []
        return response

    def _fail(self, failure: Failure) -> None:
        job, self._job = self._job, None
        self.abort()
        if job is not None:
            job.end(failure)
