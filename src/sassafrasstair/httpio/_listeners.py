"""Connections from clients: one request at a time, in order."""

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
"""Connections that wait to be accepted: a burst opens hundreds at once."""
PIPELINED_MAX = 16
"""Requests read ahead on one connection before reading pauses."""
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_PARSE_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take; bytes, seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    head_seconds: float = 5.0
    body_seconds: float = 60.0
    """From the first byte of the head to the last of the body: a client
    that stops midway would hold its part in memory for ever."""
    idle_seconds: float = 30.0


class Exchange:
    """One request and the one response that it gets."""

    __slots__ = ("_connection", "gone", "request")

    def __init__(
        self, connection: _Connection, request: _messages.Request
    ) -> None:
        self.request = request
        self.gone: abc.Callable[[], None] | None = None
        """Called once if the client leaves before the response."""
        self._connection = connection

    @property
    def peer_host(self) -> str:
        """The address of the other side, asked of the system only here."""
        return self._connection.peer_host

    def respond(
        self,
        status: int,
        fields: _messages.Fields,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Send the response; a second one is dropped."""
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
        """Returns the fields of a refusal with the given status."""
        self.clock = clock
        self.memory = memory
        self.limits = Limits()
        self.closing = False
        """Set at a planned stop: each response ends its connection."""
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen; raises ``OSError`` when the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close each connection that has no request under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def sweep(self, now: float) -> None:
        """End what takes longer than the limits; called a few times a s."""
        for connection in list(self.connections):
            connection.check(now)


class _Connection(asyncio.Protocol):
    """One connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_current",
        "_ending",
        "_head_size",
        "_listener",
        "_parser",
        "_parts",
        "_paused",
        "_reading",
        "_refused",
        "_since",
        "_size",
        "_transport",
        "_unread",
        "_waiting",
    )

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._transport: typing.Any = None
        self._current: Exchange | None = None
        self._waiting: collections.deque[_messages.Request] = (
            collections.deque()
        )
        self._reading: _messages.Request | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._since = listener.clock.monotonic()
        self._paused = False
        self._refused = False
        self._ending = False
        self._unread = 0

    @property
    def peer_host(self) -> str:
        """The address of the other side, '' if it has gone."""
        name = self._transport.get_extra_info("peername")
        return name[0] if name else ""

    @property
    def idle(self) -> bool:
        """Whether no request is read, waits or is under way."""
        return (
            self._current is None
            and not self._waiting
            and self._reading is None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever works for the client that it has left."""
        self._listener.connections.discard(self)
        self._leave()

    def eof_received(self) -> bool:
        """Treat the end of the client's bytes as its leaving."""
        self._leave()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._refused:
            return
        if self._reading is None:
            self._since = self._listener.clock.monotonic()
        if self._head_size >= 0:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSE_ERRORS:
            if not self._refused:
                self._refuse(400)
            return
        # Outside the parser's calls: it would take a fault in the handler
        # for a malformed request.
        if self._current is None and self._waiting:
            self._next()
        if self._reading is not None and self._head_size >= 0:
            if self._head_size > self._listener.limits.head_bytes:
                self._refuse(431)
        elif self._reading is None:
            self._head_size = 0

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading = _messages.Request(self._since)
        self._parts = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        """Take the target, which may come in pieces."""
        if self._reading is not None:
            self._reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one field."""
        request = self._reading
        if request is None:
            return
        lower = name.lower()
        request.fields.append((lower, name, value))
        if lower in request.headers:
            if lower in (b"host", b"content-length"):
                # Two of these are how a request is smuggled past a proxy
                # that reads one and a server that reads the other.
                self._refuse(400)
        else:
            request.headers[lower] = value

    def on_headers_complete(self) -> None:
        """Check the head against the limits."""
        request = self._reading
        if request is None or self._refused:
            return
        self._head_size = -1
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        length = request.headers.get(b"content-length", b"0")
        if int(length or b"0") > self._listener.limits.body_bytes:
            self._refuse(413)
        elif request.headers.get(b"expect", b"").lower() == b"100-continue":
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if self._refused:
            return
        if self._size + len(body) > self._listener.limits.body_bytes:
            self._refuse(413)
        elif not self._listener.memory.reserve(len(body)):
            self._refuse(503)
        else:
            self._size += len(body)
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on, or keep it until its turn."""
        request = self._reading
        if request is None or self._refused:
            return
        self._reading = None
        self._head_size = 0
        request.body = b"".join(self._parts)
        self._parts = []
        self._waiting.append(request)
        if len(self._waiting) >= PIPELINED_MAX and not self._paused:
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
        """Send the response of the exchange under way."""
        if exchange is not self._current:
            return
        request = exchange.request
        self._current = None
        self._listener.memory.release(len(request.body))
        close = close or self._listener.closing or not request.keep_alive
        bare = request.method == b"HEAD"
        self._transport.write(
            _messages.render_response(status, fields, body, close, bare)
        )
        self._since = self._listener.clock.monotonic()
        if close:
            self.close()
        elif self._waiting:
            asyncio.get_running_loop().call_soon(self._next)

    def check(self, now: float) -> None:
        """End a connection that is idle, or a head that is slow."""
        limits = self._listener.limits
        if self._current is not None:
            return
        self._note_unread(now)
        if self._ending or self._unread:
            # Failure: a client stops reading and its answer would be held
            # in memory for as long as it stays.
            if now - self._since > limits.idle_seconds:
                self._transport.abort()
        elif self._reading is not None:
            in_head = self._head_size >= 0
            allowed = limits.head_seconds if in_head else limits.body_seconds
            if now - self._reading.received_at > allowed:
                self._refuse(408)
        elif now - self._since > limits.idle_seconds:
            self.close()

    def close(self) -> None:
        """Close once what was written has been sent."""
        self._ending = True
        for request in self._waiting:
            self._listener.memory.release(len(request.body))
        self._waiting.clear()
        self._transport.close()

    def _note_unread(self, now: float) -> None:
        """Count from now if the client has read some of its answer."""
        unread = self._transport.get_write_buffer_size()
        if unread < self._unread:
            self._since = now
        self._unread = unread

    def _next(self) -> None:
        if self._current is not None or not self._waiting:
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        exchange = Exchange(self, self._waiting.popleft())
        self._current = exchange
        self._listener.handle(exchange)

    def _refuse(self, status: int) -> None:
        """Answer a request that was not read whole, and close."""
        self._refused = True
        self._drop_parts()
        self._reading = None
        if self._current is not None:
            # Its answer goes first; the bytes behind it are dropped.
            self._current.request.keep_alive = False
            return
        fields = self._listener.refusal_fields(status)
        self._transport.write(
            _messages.render_response(status, fields, b"", True, False)
        )
        self.close()

    def _drop_parts(self) -> None:
        self._listener.memory.release(self._size)
        self._size = 0
        self._parts = []

    def _leave(self) -> None:
        if self._reading is not None:
            self._drop_parts()
            self._reading = None
        for request in self._waiting:
            self._listener.memory.release(len(request.body))
        self._waiting.clear()
        exchange = self._current
        if exchange is None:
            return
        self._current = None
        self._listener.memory.release(len(exchange.request.body))
        if exchange.gone is not None:
            exchange.gone()
