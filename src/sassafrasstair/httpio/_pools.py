"""Kept connections to one address, each with one request at a time."""

from __future__ import annotations

import asyncio
import enum
import socket
import typing

import httptools

from sassafrasstair.httpio import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks

CONNECT_SECONDS = 0.4
"""A connection within one region is made in a few ms; the address of a VM
that is gone never answers."""
RESPONSE_BYTES_MAX = 64 * 1024 * 1024
"""An answer that is longer is given up on: it is held whole."""
_KEEP_ALIVE_MARGIN = 1.0
"""Seconds before the time told by the server at which a connection is no
longer used: the request must arrive before the server closes."""
_USER_TIMEOUT_MS = 1_500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
_NO_BODY = frozenset({204, 304})


class Failure(enum.Enum):
    """Why a job has no answer.

    After ``NOT_SENT`` no byte of the request has left; after all others
    the server may have run it.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    CUT_SHORT = "cut_short"
    GARBLED = "garbled"


class Job:
    """One request on its way and what became of it."""

    __slots__ = (
        "_connection",
        "_done",
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
        """Field, lower-cased, and value that name the answer's request: an
        answer with another value belongs to an earlier one."""
        self.body_omitted = body_omitted
        """Whether the answer has no body, as for HEAD."""
        self._done: (
            abc.Callable[[_messages.Response | Failure], None] | None
        ) = on_done
        self._connection: _Connection | None = None

    def abort(self) -> None:
        """Give up: the connection is cut so that the server notices."""
        self._done = None
        if self._connection is not None:
            self._connection.abort()

    def end(self, result: _messages.Response | Failure) -> None:
        """Report the end, once."""
        done, self._done = self._done, None
        self._connection = None
        if done is not None:
            done(result)

    @property
    def may_have_been_sent(self) -> bool:
        """Whether any of it may have left, so that the server has it."""
        return self._connection is not None

    @property
    def awaited(self) -> bool:
        """Whether somebody still waits for the answer."""
        return self._done is not None


class Pool:
    """Connections to one address, the last used first."""

    def __init__(
        self, host: str, port: int, clock: clocks.Clock, idle_seconds: float
    ) -> None:
        self.host = host
        self.port = port
        self.clock = clock
        self.idle_seconds = idle_seconds
        """For how long a connection is kept when the server tells none."""
        self.connections_opened = 0
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._connecting: set[asyncio.Task[None]] = set()

    def send(self, job: Job) -> None:
        """Send a job on a kept connection, or on a new one."""
        now = self.clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(now):
                self._start(connection, job)
                return
            connection.abort()
        self.send_on_new(job)

    def send_on_new(self, job: Job) -> None:
        """Send a job on a connection of its own making."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._connect(job))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def try_connect(self, on_done: abc.Callable[[bool], None]) -> None:
        """Make a connection to keep, and say whether it could be made."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._try_connect(on_done))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def drop_idle(self) -> None:
        """Close what no request uses, as after a link was silent."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def sweep(self, now: float) -> None:
        """Close what was idle for too long."""
        kept = []
        for connection in self._idle:
            if connection.usable(now):
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept

    def close(self) -> None:
        """Close all connections and stop those being made."""
        self.drop_idle()
        for connection in list(self._busy):
            connection.abort()
        for task in list(self._connecting):
            task.cancel()

    def release(self, connection: _Connection) -> None:
        """Take back a connection whose answer is whole."""
        self._busy.discard(connection)
        self._idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Drop a connection that has closed."""
        self._busy.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _start(self, connection: _Connection, job: Job) -> None:
        self._busy.add(connection)
        connection.start(job)

    async def _connect(self, job: Job) -> None:
        connection = await self._open()
        if connection is None:
            job.end(Failure.NOT_SENT)
        elif job.awaited:
            self._start(connection, job)
        else:
            self._idle.append(connection)

    async def _try_connect(self, on_done: abc.Callable[[bool], None]) -> None:
        connection = await self._open()
        if connection is not None:
            self._idle.append(connection)
        on_done(connection is not None)

    async def _open(self) -> _Connection | None:
        """Return a new connection, None if it could not be made in time."""
        loop = asyncio.get_running_loop()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(
                    lambda: _Connection(self), self.host, self.port
                ),
                CONNECT_SECONDS,
            )
        except (OSError, TimeoutError):
            return None
        self.connections_opened += 1
        return connection


class _Connection(asyncio.Protocol):
    """One connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_answer",
        "_closed",
        "_dirty",
        "_finished",
        "_framed",
        "_idle_until",
        "_job",
        "_keep",
        "_parser",
        "_parts",
        "_pool",
        "_size",
        "_skip",
        "_transport",
    )

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._transport: typing.Any = None
        self._parser: typing.Any = httptools.HttpResponseParser(self)
        self._job: Job | None = None
        self._answer: _messages.Response | None = None
        self._finished: _messages.Response | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._skip = False
        self._framed = True
        self._keep = True
        self._dirty = False
        self._closed = False
        self._idle_until = pool.clock.monotonic() + pool.idle_seconds

    def usable(self, now: float) -> bool:
        """Return whether a request may be sent here."""
        return not self._closed and not self._dirty and now < self._idle_until

    def start(self, job: Job) -> None:
        """Send the job's request."""
        self._job = job
        job._connection = self
        self._transport.write(job.data)

    def abort(self) -> None:
        """Cut the connection at once."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket so that a silent link is noticed."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        tcp = socket.IPPROTO_TCP
        # A VM without power and a cut link send no reset: without these a
        # request would wait for its deadline on a connection that is dead.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the job: an answer without a length ends here if clean."""
        self._closed = True
        self._pool.forget(self)
        job, self._job = self._job, None
        if job is None:
            return
        answer = self._answer
        if answer is None:
            job.end(Failure.LOST)
        elif exc is None and not self._framed and not self._skip:
            job.end(self._whole(answer))
        else:
            job.end(Failure.CUT_SHORT)

    def data_received(self, data: bytes) -> None:
        """Parse what has come; what nobody asked for makes it unusable."""
        if self._job is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes behind a whole answer do not change that answer.
            self._dirty = True
            if self._finished is None:
                self._fail(Failure.GARBLED)
                return
        if self._finished is not None:
            self._finish(self._finished)

    def on_message_begin(self) -> None:
        """Start an answer; one more behind a whole one is an extra."""
        if self._finished is not None:
            self._answer = None
            self._dirty = True
            return
        self._answer = _messages.Response()
        self._parts = []
        self._size = 0
        self._skip = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one field."""
        answer = self._answer
        if answer is None:
            return
        lower = name.lower()
        answer.fields.append((lower, name, value))
        answer.headers.setdefault(lower, value)

    def on_headers_complete(self) -> None:
        """Check whose answer this is and how its body ends."""
        answer, job = self._answer, self._job
        if answer is None or job is None:
            return
        answer.status = self._parser.get_status_code()
        self._keep = self._parser.should_keep_alive()
        self._framed = (
            b"content-length" in answer.headers
            or b"transfer-encoding" in answer.headers
            or answer.status in _NO_BODY
            or answer.status < 200
        )
        if job.expected_field is not None:
            name, value = job.expected_field
            told = answer.headers.get(name)
            # An answer that comes late, to a request that was given up on
            # or answered before, names that request and is passed over.
            self._skip = told is not None and told != value
        if job.body_omitted and not self._skip and answer.status >= 200:
            # httptools would wait for the body that a HEAD never gets.
            self._keep = False
            self._finished = answer

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if self._answer is None or self._skip:
            return
        self._size += len(body)
        if self._size > RESPONSE_BYTES_MAX:
            self._fail(Failure.CUT_SHORT)
            return
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer over unless it is another request's."""
        answer = self._answer
        if answer is None or self._finished is not None:
            return
        if answer.status < 200 or self._skip:
            self._answer = None
            self._framed = True
            return
        if self._framed:
            self._finished = answer

    def _finish(self, answer: _messages.Response) -> None:
        job, self._job = self._job, None
        self._answer = self._finished = None
        whole = self._whole(answer)
        unsent = self._transport.get_write_buffer_size()
        if self._keep and not self._dirty and not unsent:
            self._idle_until = self._pool.clock.monotonic() + _idle_seconds(
                answer, self._pool.idle_seconds
            )
            self._pool.release(self)
        else:
            self._closed = True
            self._transport.close()
        if job is not None:
            job.end(whole)

    def _whole(self, answer: _messages.Response) -> _messages.Response:
        answer.body = b"".join(self._parts)
        self._parts = []
        return answer

    def _fail(self, failure: Failure) -> None:
        job, self._job = self._job, None
        self.abort()
        if job is not None:
            job.end(failure)


def _idle_seconds(answer: _messages.Response, usual: float) -> float:
    """Return for how long the server keeps the connection, less a margin."""
    told = answer.headers.get(b"keep-alive", b"")
    for part in told.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - _KEEP_ALIVE_MARGIN)
    return usual
