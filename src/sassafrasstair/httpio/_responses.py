"""One connection to a server, and the response that it receives."""

from __future__ import annotations

import asyncio
import math
import select
import typing

import httptools

from sassafrasstair.decisions import memory
from sassafrasstair import dials
from sassafrasstair.httpio import _inputs
from sassafrasstair.httpio import _jobs
from sassafrasstair.httpio import _messages
from sassafrasstair.httpio import _sockets
from sassafrasstair import keepalive
from sassafrasstair import statuses

if typing.TYPE_CHECKING:
    from sassafrasstair.httpio import _pools

RESPONSE_BYTES_MAX = 64 * 1024 * 1024
"""Longer responses are aborted, since a response is buffered whole."""
FRAMING_BYTES_MAX = 128 * 1024
"""Bytes of a response that are no part of its body: its head with what comes
before it, then its trailers and what frames its chunks."""
FIELDS_MAX = 512
"""Header fields and trailers of a response; each costs memory beside its
bytes."""
MESSAGES_MAX = 64
"""Interim and late responses, and the response itself."""
UNRESPONSIVE_SECONDS = 1.5
"""A connection ends if its peer's system acknowledges nothing for so long."""
REST_SECONDS = 5.0
"""A server that has answered early may take nothing of the rest of the
request for so long."""
_KEEPALIVE_IDLE_S = 2
"""Probes begin on a connection that was silent for so long. They detect a
dead peer while a request, already acknowledged, waits for its response."""
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 1
_LENGTH_DIGITS_MAX = 18
"""Digits of a length in bytes that a response may state."""
_NO_BODY = frozenset({204, 304})
"""Statuses of responses that never have a body."""


class Connection(asyncio.Protocol):
    """One connection; ``httptools`` calls the ``on_`` methods."""

    __slots__ = (
        "_body_parts",
        "_body_size",
        "_closed",
        "_complete_response",
        "_content_length",
        "_has_extra_data",
        "_has_length",
        "_idle_until",
        "_input",
        "_is_late",
        "_job",
        "_keep_alive",
        "_messages_begun",
        "_parser",
        "_paused",
        "_poller",
        "_pool",
        "_response",
        "_rest_bytes",
        "_started_at",
        "_taken_at",
        "_transport",
    )

    def __init__(self, pool: _pools.Pool) -> None:
        self._pool = pool
        self._transport: typing.Any = None
        self._poller = select.poll()
        self._parser: typing.Any = httptools.HttpResponseParser(self)
        self._job: _jobs.Job | None = None
        self._response: _messages.Response | None = None
        self._complete_response: _messages.Response | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._content_length: int | None = None
        """Bytes of the body, if the response states them."""
        self._is_late = False
        """Whether the current response belongs to an earlier request."""
        self._has_length = True
        """Whether the end of the response can be told without the connection
        closing. Also true for a chunked body and for one that is absent."""
        self._keep_alive = True
        self._has_extra_data = False
        self._closed = False
        self._input = _inputs.Input(
            self._parse,
            lambda: self._job is None or self._complete_response is not None,
            lambda: False,
            self._handle_parsed,
        )
        self._messages_begun = 0
        self._paused = False
        self._started_at = math.inf
        self._rest_bytes = 0
        self._taken_at = math.inf
        self._idle_until = pool.clock.monotonic() + pool.idle_seconds

    @property
    def peer_host(self) -> str:
        """The server's IP address, '' after it has disconnected."""
        return _sockets.peer_host(self._transport)

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

    def start(self, job: _jobs.Job) -> None:
        """Send the job's request."""
        self._job = job
        self._started_at = self._pool.clock.monotonic()
        self._input.begin()
        self._messages_begun = 0
        job._connection = self
        _messages.write(self._transport, job.data, job.body)

    def abort(self) -> None:
        """Close the connection immediately, and free what was received."""
        self._closed = True
        self._free()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options that detect a dead peer or network link.

        ``check`` detects one that does not acknowledge what was sent.
        """
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        self._poller.register(sock.fileno(), select.POLLIN)
        if not self._pool.is_remote:
            return
        # A powered-off VM or a broken link sends no reset: without these
        # options a request would wait on a dead connection until its deadline.
        dials.probe(
            sock, _KEEPALIVE_IDLE_S, _KEEPALIVE_INTERVAL_S, _KEEPALIVE_COUNT
        )

    def check(self, now: float) -> None:
        """End the response if the peer or the link to it is dead.

        The kernel's own time-out would also end a connection to a process
        that is there and reads nothing for a while.
        """
        if self._closed or now - self._started_at < UNRESPONSIVE_SECONDS:
            return
        if not self._pool.is_remote or self._transport is None:
            return
        if _sockets.is_unresponsive(self._transport, UNRESPONSIVE_SECONDS):
            has_begun = self._response is not None
            failure = _jobs.Failure
            self._fail(failure.CUT_SHORT if has_begun else failure.LOST)

    def check_rest(self, now: float) -> None:
        """End the connection if the server takes no more of the request.

        What is left of it counts as memory until then.
        """
        rest_bytes = _sockets.unsent_bytes(self._transport, True)
        if rest_bytes != self._rest_bytes:
            self._taken_at = now
        self._rest_bytes = rest_bytes
        if now - self._taken_at > REST_SECONDS:
            self.abort()
            return
        unsent = self._transport.get_write_buffer_size()
        self._pool.memory.hold_unread(self, unsent, self._taken_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the job; a clean close ends a response without a length."""
        has_ended = exc is None and not self._closed
        self._closed = True
        self._pool.forget(self)
        job, self._job = self._job, None
        response, self._response = self._response, None
        result: _messages.Response | _jobs.Failure = _jobs.Failure.LOST
        if response is not None:
            result = _jobs.Failure.CUT_SHORT
            if has_ended and not self._has_length and not self._is_late:
                result = self._with_body(response)
        self._free()
        # The parser and this connection refer to each other.
        self._parser = None
        if job is not None:
            job.end(result)

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort the connection if none is expected."""
        if self._job is None:
            self.abort()
            return
        self._input.receive(data)
        self._handle_parsed()

    def give_up(self) -> None:
        """End the response, as more is held than all connections may hold."""
        self._fail(_jobs.Failure.GARBLED)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except _messages.PARSE_ERRORS:
            # Extra bytes after a complete response leave it valid.
            self._has_extra_data = True
            if self._complete_response is None:
                self._fail(_jobs.Failure.GARBLED)
            return
        if self._complete_response is None:
            meter = self._input.meter
            meter.account(len(data))
            if meter.framing_bytes > FRAMING_BYTES_MAX:
                self._fail(_jobs.Failure.GARBLED)

    def _handle_parsed(self) -> None:
        """Report the response if it is complete, or else read on."""
        if self._job is not None:
            self._finish_or_hold()
        if self._paused != self._input.waits_for_turn:
            self.update_reading()

    def update_reading(self) -> None:
        """Read no more while input waits for its turn, or for memory."""
        pause = self._input.waits_for_turn or self._pool.memory.should_wait(
            self
        )
        if pause == self._paused or self._closed:
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _finish_or_hold(self) -> None:
        """Report the response, or reserve memory for what there is of it."""
        if self._complete_response is not None:
            if self._input.has_rest:
                self._has_extra_data = True
            self._finish(self._complete_response)
            return
        unfinished = self._input.meter.framing_bytes + self._body_size
        held = unfinished + len(self._input.unparsed)
        self._pool.memory.hold(self, held, self._content_length)

    def on_message_begin(self) -> None:
        """Start a response; one after a complete response is ignored."""
        if self._complete_response is not None:
            self._response = None
            self._has_extra_data = True
            return
        self._messages_begun += 1
        if self._messages_begun > MESSAGES_MAX:
            self._fail(_jobs.Failure.GARBLED)
            return
        self._response = _messages.Response()
        self._content_length = None
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
        if len(response.fields) > FIELDS_MAX:
            self._fail(_jobs.Failure.GARBLED)

    def on_headers_complete(self) -> None:
        """Check which request is answered and how the body ends."""
        response, job = self._response, self._job
        if response is None or job is None:
            return
        response.status = self._parser.get_status_code()
        if not statuses.is_valid(response.status):
            self._fail(_jobs.Failure.GARBLED)
            return
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
        length = response.headers.get(b"content-length", b"")
        if length.isdigit() and len(length) <= _LENGTH_DIGITS_MAX:
            self._content_length = int(length)
        if self._is_late or response.status < 200:
            return
        self._input.meter.note_progress()
        has_body = not job.body_omitted and response.status not in _NO_BODY
        if has_body and self._is_too_long():
            self._fail(_jobs.Failure.CUT_SHORT)
            return
        if job.body_omitted:
            # httptools would wait for a body, which a HEAD response lacks.
            self._keep_alive = False
            self._complete_response = response

    def _is_too_long(self) -> bool:
        """Return whether the response states that it can't be held whole."""
        # A small one may be whole before it has to be accounted for.
        limit = max(memory.SMALL_BYTES, self._pool.memory.limit)
        limit = min(RESPONSE_BYTES_MAX, limit)
        return self._content_length is not None and (
            self._content_length > limit
        )

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        if self._response is None:
            return
        self._input.meter.note_body(len(body))
        if self._is_late:
            return
        self._body_size += len(body)
        if self._body_size > RESPONSE_BYTES_MAX:
            self._fail(_jobs.Failure.CUT_SHORT)
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
        self._pool.memory.release(self)
        whole = self._with_body(response)
        unsent = self._transport.get_write_buffer_size()
        now = self._pool.answered_at = self._pool.clock.monotonic()
        if self._keep_alive and not self._has_extra_data and not unsent:
            field = response.headers.get(b"keep-alive", b"")
            idle_seconds = keepalive.idle_seconds(
                field, self._pool.idle_seconds
            )
            self._idle_until = now + idle_seconds
            self._pool.release(self)
        else:
            self._closed = True
            self._transport.close()
            if unsent:
                self._pool.end_later(self)
        if job is not None:
            job.end(whole)

    def _free(self) -> None:
        """Drop what was received of a response, and account for nothing."""
        self._body_parts = []
        self._body_size = 0
        self._input.drop()
        self._pool.memory.release(self)

    def _with_body(self, response: _messages.Response) -> _messages.Response:
        response.body = b"".join(self._body_parts)
        self._body_parts = []
        return response

    def _fail(self, failure: _jobs.Failure) -> None:
        job, self._job = self._job, None
        self._response = None
        self.abort()
        if job is not None:
            job.end(failure)
