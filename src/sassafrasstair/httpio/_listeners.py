"""Connections from clients; each handles its requests one by one."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

import httptools

from sassafrasstair.httpio import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks
    from sassafrasstair.httpio import _bodies

BACKLOG = 1024
"""Connections waiting to be accepted; a burst opens hundreds at once."""
PIPELINED_MAX = 16
"""Pipelined requests queued on one connection before reading pauses."""
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_PARSE_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a client's request and the time it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    head_seconds: float = 5.0
    body_seconds: float = 60.0
    """From the first byte of the head to the last byte of the body. Without
    this limit, a client that stops midway would keep the part that was read
    in memory indefinitely."""
    idle_seconds: float = 30.0


class Exchange:
    """A request and its response."""

    __slots__ = ("_connection", "gone", "request")

    def __init__(
        self, connection: _Connection, request: _messages.Request
    ) -> None:
        self.request = request
        self.gone: abc.Callable[[], None] | None = None
        """Called once if the client disconnects before the response."""
        self._connection = connection

    @property
    def peer_host(self) -> str:
        """The client's IP address, looked up when it is read."""
        return self._connection.peer_host

    def respond(
        self,
        status: int,
        fields: _messages.Fields,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Send the response; any further response is ignored."""
        self._connection.respond(self, status, fields, body, close)


class Listener:
    """A listening address and its open connections."""

    def __init__(
        self,
        handle: abc.Callable[[Exchange], None],
        refusal_fields: abc.Callable[[int], _messages.Fields],
        clock: clocks.Clock,
        memory: _bodies.MemoryBudget,
    ) -> None:
        self.handle = handle
        self.refusal_fields = refusal_fields
        """Returns the header fields of an error response with a status."""
        self.clock = clock
        self.memory = memory
        self.limits = Limits()
        self.closing = False
        """Set at shutdown: each response then closes its connection."""
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen; raises ``OSError`` if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close each connection that has no request in progress."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def sweep(self, now: float) -> None:
        """Apply the time limits; called a few times per second."""
        for connection in list(self.connections):
            connection.check(now)


class _Connection(asyncio.Protocol):
    """One connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_active_at",
        "_body_parts",
        "_body_size",
        "_closing",
        "_current",
        "_head_size",
        "_listener",
        "_parser",
        "_paused",
        "_queued",
        "_reading",
        "_rejected",
        "_transport",
        "_unsent_bytes",
    )

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._transport: typing.Any = None
        self._current: Exchange | None = None
        self._queued: collections.deque[_messages.Request] = (
            collections.deque()
        )
        self._reading: _messages.Request | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._active_at = listener.clock.monotonic()
        self._paused = False
        self._rejected = False
        self._closing = False
        self._unsent_bytes = 0

    @property
    def peer_host(self) -> str:
        """The client's IP address, '' after it has disconnected."""
        name = self._transport.get_extra_info("peername")
        return name[0] if name else ""

    @property
    def idle(self) -> bool:
        """Whether no request is being read, queued or handled."""
        return (
            self._current is None
            and not self._queued
            and self._reading is None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the memory and report that the client has disconnected."""
        self._listener.connections.discard(self)
        self._disconnected()

    def eof_received(self) -> bool:
        """Treat the end of the client's data as a disconnect."""
        self._disconnected()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the next request."""
        if self._rejected:
            return
        if self._reading is None:
            self._active_at = self._listener.clock.monotonic()
        if self._head_size >= 0:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSE_ERRORS:
            if not self._rejected:
                self._reject(400)
            return
        # The handler is not called from the parser's callbacks: the parser
        # would report an error in the handler as a malformed request.
        if self._current is None and self._queued:
            self._handle_next()
        if self._reading is not None and self._head_size >= 0:
            if self._head_size > self._listener.limits.head_bytes:
                self._reject(431)
        elif self._reading is None:
            self._head_size = 0

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self._reading = _messages.Request(self._active_at)
        self._body_parts = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in pieces."""
        if self._reading is not None:
            self._reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        request = self._reading
        if request is None:
            return
        lower_name = name.lower()
        value = value.strip(_messages.WHITE_SPACE)
        request.fields.append((lower_name, name, value))
        if lower_name in request.headers:
            if lower_name in (b"host", b"content-length"):
                # Request smuggling: a proxy may use the first of two such
                # fields and the server behind it the second.
                self._reject(400)
        else:
            request.headers[lower_name] = value

    def on_headers_complete(self) -> None:
        """Check the head against the limits."""
        request = self._reading
        if request is None or self._rejected:
            return
        self._head_size = -1
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        content_length = request.headers.get(b"content-length", b"0")
        if int(content_length or b"0") > self._listener.limits.body_bytes:
            self._reject(413)
        elif request.headers.get(b"expect", b"").lower() == b"100-continue":
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body if the limits allow it."""
        if self._rejected:
            return
        if self._body_size + len(body) > self._listener.limits.body_bytes:
            self._reject(413)
        elif not self._listener.memory.reserve(len(body)):
            self._reject(503)
        else:
            self._body_size += len(body)
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = self._reading
        if request is None or self._rejected:
            return
        self._reading = None
        self._head_size = 0
        request.body = b"".join(self._body_parts)
        self._body_parts = []
        self._queued.append(request)
        if len(self._queued) >= PIPELINED_MAX and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def respond(
        self,
        exchange: Exchange,
        status: int,
        fields: _messages.Fields,
        body: bytes,
        close: bool,
    ) -> None:
        """Send the response of the current exchange."""
        if exchange is not self._current:
            return
        request = exchange.request
        self._current = None
        self._listener.memory.release(len(request.body))
        close = close or self._listener.closing or not request.keep_alive
        omit_body = request.method == b"HEAD"
        self._transport.write(
            _messages.render_response(status, fields, body, close, omit_body)
        )
        self._active_at = self._listener.clock.monotonic()
        if close:
            self.close()
        elif self._queued:
            asyncio.get_running_loop().call_soon(self._handle_next)

    def check(self, now: float) -> None:
        """Close the connection if a time limit has passed."""
        limits = self._listener.limits
        if self._current is not None:
            return
        self._note_progress(now)
        if self._closing or self._unsent_bytes:
            # If the client stops reading, its response would stay in memory
            # for as long as the connection is open.
            if now - self._active_at > limits.idle_seconds:
                self._transport.abort()
        elif self._reading is not None:
            in_head = self._head_size >= 0
            time_limit = (
                limits.head_seconds if in_head else limits.body_seconds
            )
            if now - self._reading.received_at > time_limit:
                self._reject(408)
        elif now - self._active_at > limits.idle_seconds:
            self.close()

    def close(self) -> None:
        """Close the connection once all written data has been sent."""
        self._closing = True
        for request in self._queued:
            self._listener.memory.release(len(request.body))
        self._queued.clear()
        self._transport.close()

    def _note_progress(self, now: float) -> None:
        """Restart the idle time if the client has read more data."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._active_at = now
        self._unsent_bytes = unsent_bytes

    def _handle_next(self) -> None:
        if self._current is not None or not self._queued:
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        exchange = Exchange(self, self._queued.popleft())
        self._current = exchange
        self._listener.handle(exchange)

    def _reject(self, status: int) -> None:
        """Reject a request that was not read completely, and close."""
        self._rejected = True
        self._discard_body()
        self._reading = None
        if self._current is not None:
            # The current request is answered first. Its response closes the
            # connection; data received after it is discarded.
            self._current.request.keep_alive = False
            return
        fields = self._listener.refusal_fields(status)
        self._transport.write(
            _messages.render_response(status, fields, b"", True, False)
        )
        self.close()

    def _discard_body(self) -> None:
        self._listener.memory.release(self._body_size)
        self._body_size = 0
        self._body_parts = []

    def _disconnected(self) -> None:
        if self._reading is not None:
            self._discard_body()
            self._reading = None
        for request in self._queued:
            self._listener.memory.release(len(request.body))
        self._queued.clear()
        exchange = self._current
        if exchange is None:
            return
        self._current = None
        self._listener.memory.release(len(exchange.request.body))
        if exchange.gone is not None:
            exchange.gone()
