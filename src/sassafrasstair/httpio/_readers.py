"""Reads the requests of one connection, within their limits."""

from __future__ import annotations

import abc
import typing

import httptools

from sassafrasstair.decisions import pipelines
from sassafrasstair.httpio import _exchanges
from sassafrasstair.httpio import _inputs
from sassafrasstair.httpio import _messages

if typing.TYPE_CHECKING:
    from sassafrasstair.httpio import _connections
    from sassafrasstair.httpio import _listeners


class RequestReader(abc.ABC):
    """The request that is being read; ``httptools`` calls the ``on_`` methods.

    ``_head_size`` counts the bytes of its head, and is -1 once the head is
    complete. ``_read_since`` is the time from which the limits on reading it
    count, and ``_received_at`` when data last arrived.
    """

    __slots__ = (
        "_body_parts",
        "_body_size",
        "_continue_due",
        "_head_size",
        "_input",
        "_listener",
        "_parser",
        "_pipeline",
        "_read_since",
        "_reading",
        "_received_at",
        "_transport",
    )

    def __init__(
        self,
        listener: _listeners.Listener,
        pipeline: pipelines.Pipeline[_exchanges.Exchange],
    ) -> None:
        self._listener = listener
        self._pipeline = pipeline
        self._transport: typing.Any = None
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._input = _inputs.Input(
            self._parse,
            lambda: pipeline.ended,
            lambda: pipelines.is_full(pipeline),
            self._handle_parsed,
        )
        self._reading: _messages.Request | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._received_at = listener.clock.monotonic()
        self._read_since = self._received_at
        self._continue_due = False

    def on_message_begin(self) -> None:
        """Start reading a request."""
        if self._pipeline.ended:
            return
        self._reading = _messages.Request(
            self._listener.arrived_at(self._transport, self._received_at)
        )
        self._read_since = self._received_at
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
        if len(request.fields) > self._listener.limits.fields:
            self._reject(431)
            return
        if lower_name in request.headers:
            if lower_name in (b"host", b"content-length"):
                # Request smuggling: a proxy may use the first of two such
                # fields and the server behind it the second.
                self._reject(400)
            elif lower_name == b"connection":
                request.headers[lower_name] += b"," + value
        else:
            request.headers[lower_name] = value

    def on_headers_complete(self) -> None:
        """Check the head against the limits."""
        request = self._reading
        if request is None:
            return
        self._head_size = -1
        self._input.meter.note_progress()
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        content_length = request.headers.get(b"content-length", b"0")
        if int(content_length or b"0") > self._listener.limits.body_bytes:
            self._reject(413)
        elif self._parser.should_upgrade():
            self._reject(400)
        elif request.headers.get(b"expect", b"").lower() == b"100-continue":
            self._continue_due = True
            self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body if the limits allow it."""
        if self._reading is None:
            return
        self._input.meter.note_body(len(body))
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
        if request is None:
            return
        self._reading = None
        self._continue_due = False
        self._head_size = 0
        self._input.meter.note_progress()
        request.body = b"".join(self._body_parts)
        self._body_parts = []
        self._body_size = 0
        connection = typing.cast("_connections.Connection", self)
        pipelines.add(self._pipeline, _exchanges.Exchange(connection, request))

    def _parse(self, data: bytes) -> None:
        if self._head_size >= 0:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except _messages.PARSE_ERRORS:
            # Behind a request with `Connection: close`, this does nothing.
            self._reject(400)
        meter, head_bytes = self._input.meter, self._listener.limits.head_bytes
        meter.account(len(data))
        if self._reading is None:
            self._head_size = 0
        elif self._head_size > head_bytes:
            self._reject(431)
        if self._head_size <= 0 and meter.framing_bytes > head_bytes:
            self._reject(400)

    def _discard_body(self) -> None:
        self._listener.memory.release(self._body_size)
        self._body_size = 0
        self._body_parts = []

    @abc.abstractmethod
    def _handle_parsed(self) -> None:
        """Handle what was read, in the input's turn."""

    @abc.abstractmethod
    def _reject(self, status: int) -> None:
        """Reject a request that was not read completely."""

    @abc.abstractmethod
    def _send_continue(self) -> None:
        """Send the interim response that the request waits for."""
