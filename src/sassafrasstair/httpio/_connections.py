"""One connection from a client.

It starts the requests that ``RequestReader`` has read, and writes their
answers in the order that ``pipelines`` decides.
"""

from __future__ import annotations

import asyncio
import functools
import typing

from sassafrasstair.decisions import pipelines
from sassafrasstair.httpio import _exchanges
from sassafrasstair.httpio import _messages
from sassafrasstair.httpio import _readers
from sassafrasstair.httpio import _sockets

if typing.TYPE_CHECKING:
    from sassafrasstair.httpio import _listeners

PIPELINED_MAX = 16
"""Pipelined requests queued on one connection before reading pauses."""
SIDE_BY_SIDE_MAX = 8
"""Pipelined requests of one connection that may run or be answered and not
written; an ordinary client opens about as many connections."""
HELD_BYTES_MAX = 1024 * 1024
"""Bytes of answers that may wait for their turn before no further pipelined
request is started."""
LINGER_SECONDS = 2.0
"""How long a closed connection discards what the client still sends. If the
socket were closed with unread data, the kernel would reset the connection and
drop answers that the client has not received yet (RFC 9112, 9.6)."""
DROPPED_BYTES_AT_ONCE = 4 * 1024 * 1024
"""Bytes behind the last request that are dropped as they arrive; more of them
wait for their turn, as they may come without end."""
UNREAD_BYTES_NOTED = 64 * 1024
"""A longer answer is accounted for as it is written, others regularly."""
_PIPELINE_LIMITS = pipelines.Limits(
    SIDE_BY_SIDE_MAX, PIPELINED_MAX, HELD_BYTES_MAX
)


class Connection(_readers.RequestReader, asyncio.Protocol):
    """One connection.

    ``_held_bytes`` are reserved for a part of a head, and for input that is
    not parsed yet. ``_read_since`` is the time from which the limits on
    reading a request count. ``_unread_bytes`` are held of answers, and the
    client last took some of them at ``_taken_at``.
    """

    __slots__ = (
        "_active_at",
        "_closing",
        "_dropped_bytes",
        "_held_bytes",
        "_paused",
        "_taken_at",
        "_unread_bytes",
        "_unsent_bytes",
        "_was_full",
    )

    def __init__(self, listener: _listeners.Listener) -> None:
        super().__init__(listener, pipelines.new_pipeline(_PIPELINE_LIMITS))
        self._active_at = listener.clock.monotonic()
        self._dropped_bytes = 0
        self._held_bytes = 0
        self._paused = False
        self._closing = False
        self._unsent_bytes = 0
        self._unread_bytes = 0
        self._taken_at = self._active_at
        self._was_full = False
        """Whether reading was paused since enough requests wait."""

    @property
    def peer_host(self) -> str:
        """The client's IP address, '' after it has disconnected."""
        return _sockets.peer_host(self._transport)

    @property
    def idle(self) -> bool:
        """Whether it is open and no request is read, queued or handled."""
        return (
            not self._closing
            and not self._pipeline.entries
            and self._reading is None
        )

    @property
    def active_at(self) -> float:
        """When data last arrived, or an answer was last written."""
        return self._active_at

    @property
    def reading(self) -> bool:
        """Whether a part of a request has been read."""
        return self._reading is not None

    @property
    def running(self) -> int:
        """The number of requests that were started and not answered."""
        return self._pipeline.started

    @property
    def waiting(self) -> int:
        """The number of requests that were read whole and not started."""
        return len(self._pipeline.entries) - self._pipeline.started

    @property
    def has_unsent_data(self) -> bool:
        """Whether the client's system has not got all written answers."""
        return bool(_sockets.unsent_bytes(self._transport, self._closing))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the memory and report that the client has disconnected."""
        self._listener.connections.discard(self)
        if exc is not None and (self._unsent_bytes or self._pipeline.unread):
            self._listener.note_cut("reset")
        self._disconnected()
        self._listener.answers.release(self)
        # The parser and this connection refer to each other.
        self._parser = None

    def eof_received(self) -> bool:
        """Treat the end of the client's data as a disconnect."""
        self._disconnected()
        return False

    def pause_writing(self) -> None:
        """Start no further request while the client reads no answers."""
        self._pipeline.unread = True

    def resume_writing(self) -> None:
        """Continue once the client has read most of its answers."""
        self._pipeline.unread = False
        self._hold_unread(self._listener.clock.monotonic())
        if self._pipeline.entries:
            self._start_waiting_soon()

    def give_up(self) -> None:
        """Drop what the client has not read, as too much memory is held."""
        self._listener.note_cut("memory")
        self._transport.abort()

    def update_reading(self) -> None:
        """Do nothing: requests have a memory of their own."""

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the requests that may start."""
        if self._pipeline.ended:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > DROPPED_BYTES_AT_ONCE:
                self._input.wait_for_turn()
            return
        self._received_at = self._listener.clock.monotonic()
        if self._listener.reads_late(self._received_at) and (
            _sockets.has_ended(self._transport)
        ):
            # The end of the data is reported only behind them.
            self._disconnected()
            self._transport.close()
            return
        if self._reading is None:
            self._active_at = self._received_at
        self._input.receive(data)
        self._handle_parsed()

    def respond(
        self,
        exchange: _exchanges.Exchange,
        status: int,
        fields: _messages.Fields,
        body: bytes,
        close: bool,
    ) -> None:
        """Send the response, or hold it until its turn."""
        if not pipelines.answer(self._pipeline, exchange, len(body)):
            return
        self._listener.memory.release(len(exchange.request.body))
        if close or self._listener.closing:
            pipelines.close_soon(self._pipeline)
        exchange._answer = _exchanges.Answer(status, fields, body)
        self._write_answers()
        if len(body) > UNREAD_BYTES_NOTED:
            self._hold_unread(self._listener.clock.monotonic())

    def check(self, now: float) -> None:
        """Close the connection if a time limit has passed."""
        self._note_progress(now)
        self._hold_unread(now)
        has_ended = self._paused and _sockets.has_ended(self._transport)
        if has_ended:
            self._transport.abort()
        if has_ended or self._pipeline.started:
            return
        limits = self._listener.limits
        if self._closing or self._unsent_bytes:
            # If the client stops reading, its response would stay in memory
            # for as long as the connection is open.
            time_limit = limits.idle_seconds
            if self._closing and not self._unsent_bytes:
                time_limit = min(LINGER_SECONDS, time_limit)
            if now - self._active_at > time_limit:
                if self._unsent_bytes:
                    self._listener.note_cut("not_read")
                self._transport.abort()
        elif self._reading is not None:
            in_head = self._head_size >= 0
            seconds = limits.head_seconds if in_head else limits.body_seconds
            if now - self._read_since > seconds:
                self._reject(408)
        elif now - self._active_at > limits.idle_seconds:
            self.close()

    def partial(self, now: float) -> _exchanges.PartialRequest | None:
        """Return the request that is being read, None if there is none."""
        if self._reading is None:
            return None
        return _exchanges.PartialRequest(
            self._reading,
            self._head_size < 0,
            now - self._received_at,
            functools.partial(self._reject, 503),
        )

    def close(self) -> None:
        """Close the connection once all written data has been sent.

        What the client sends behind the last answer is dropped. If there is
        nothing left to send, it is not read.
        """
        is_done = not self._pipeline.ended and not self.has_unsent_data
        self._closing = True
        self._active_at = self._listener.clock.monotonic()
        self._drop_requests()
        if is_done:
            self._transport.close()
        elif not self._transport.is_closing():
            self._transport.write_eof()
            self._update_reading()

    def _handle_parsed(self) -> None:
        """Start what may start, and read on if more may be parsed."""
        pipeline = self._pipeline
        self._hold_unfinished()
        # The handler is not called from the parser's callbacks: the parser
        # would report an error in the handler as a malformed request.
        if pipeline.entries:
            self._start_waiting()
        self._update_reading()

    def _hold_unfinished(self) -> None:
        """Reserve memory for a part of a head and for unparsed input."""
        held = len(self._input.unparsed)
        if self._reading is not None and self._head_size > 0:
            held += self._head_size
        if held == self._held_bytes:
            return
        memory = self._listener.memory
        memory.release(self._held_bytes)
        self._held_bytes = held if memory.reserve(held) else 0
        if held != self._held_bytes:
            self._input.drop()
            self._reject(503)

    def _hold_unread(self, now: float) -> None:
        """Account for the answers that the client has not taken."""
        buffered = self._transport.get_write_buffer_size()
        held = self._pipeline.held_bytes + buffered
        if not held and not self._unread_bytes:
            return
        if not buffered or not self._unread_bytes:
            # There was nothing that the client could have taken.
            self._taken_at = now
        self._unread_bytes = held
        self._listener.answers.hold_unread(self, held, self._taken_at)

    def _update_reading(self) -> None:
        """Pause or resume reading, as the number of queued requests asks."""
        queue_is_full = pipelines.should_pause_reading(self._pipeline)
        pause = self._input.waits_for_turn or queue_is_full
        if pause == self._paused or self._transport.is_closing():
            return
        self._paused = pause
        if pause:
            self._was_full = queue_is_full
            self._transport.pause_reading()
            return
        if self._was_full:
            self._read_since = self._listener.clock.monotonic()
        self._transport.resume_reading()

    def _note_progress(self, now: float) -> None:
        """Restart the idle time if the client has read more data."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if self._closing or unsent_bytes:
            # The kernel takes more only once a great part of what it holds
            # is sent; a slow client takes long for that.
            unsent_bytes = _sockets.unsent_bytes(
                self._transport, self._closing
            )
        if unsent_bytes < self._unsent_bytes:
            self._active_at = self._taken_at = now
        self._unsent_bytes = unsent_bytes

    def _start_waiting_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self._start_waiting)

    def _start_waiting(self) -> None:
        """Start the waiting requests that may start now."""
        pipeline = self._pipeline
        if self._listener.closing:
            pipelines.close_soon(pipeline)
        while pipeline.started < len(pipeline.entries):
            exchange = pipelines.start_next(pipeline, self._is_idempotent)
            if exchange is None:
                break
            if exchange.pipelined:
                self._note_start()
            try:
                self._listener.handle(exchange)
            except Exception:
                # Without an answer to this request, none behind it could be
                # written.
                self._transport.abort()
                raise
            if exchange.phase is not pipelines.Phase.RUNNING:
                # Others are started in the next iteration of the event loop,
                # so that one client does not keep the loop busy.
                if pipeline.entries:
                    self._start_waiting_soon()
                break
        if self._may_read_on():
            self._read_on()

    def _note_start(self) -> None:
        beside = self._pipeline.started > 1
        self._listener.note_pipelined(
            pipelines.Fate.BESIDE if beside else pipelines.Fate.WAITED
        )

    def _may_read_on(self) -> bool:
        """Return whether there is more to parse, or to read."""
        if not self._paused or self._input.waits_for_turn:
            return False
        if pipelines.is_full(self._pipeline):
            return False
        pauses = pipelines.should_pause_reading(self._pipeline)
        return bool(self._input.unparsed) or not pauses

    def _read_on(self) -> None:
        """Parse what was kept, and read on if no more requests wait."""
        self._input.proceed()
        self._hold_unfinished()
        self._update_reading()
        if self._pipeline.entries:
            self._start_waiting_soon()

    def _is_idempotent(self, exchange: _exchanges.Exchange) -> bool:
        return self._listener.is_idempotent(exchange.request)

    def _write_answers(self) -> None:
        """Write the answers whose turn it is."""
        pipeline = self._pipeline
        while exchange := pipelines.pop_answered(pipeline):
            self._write_answer(exchange)
            if exchange.closes:
                self.close()
                return
            if not pipeline.entries:
                break
        if self._continue_due:
            self._send_continue()
        if pipeline.closing:
            self._update_reading()
        if pipeline.entries:
            self._start_waiting_soon()

    def _write_answer(self, exchange: _exchanges.Exchange) -> None:
        answer, exchange._answer = exchange._answer, None
        # Without this, the handler's state and the exchange refer to each
        # other, and only the garbage collector would free them.
        exchange.gone = None
        if answer is None:
            return
        fields = answer.fields
        if answer.refuses:
            fields = self._listener.refusal_fields(answer.status)
        head = _messages.response_head(
            answer.status, fields, len(answer.body), exchange.closes
        )
        omits_body = exchange.request.method == b"HEAD"
        if omits_body or _messages.has_no_body(answer.status):
            self._transport.write(head)
        else:
            _messages.write(self._transport, head, answer.body)
        self._active_at = self._listener.clock.monotonic()

    def _send_continue(self) -> None:
        """Send the interim response that the request being read waits for.

        It must not precede the answers to earlier requests.
        """
        if not self._pipeline.entries:
            self._continue_due = False
            self._read_since = self._listener.clock.monotonic()
            self._transport.write(_messages.CONTINUE)

    def _reject(self, status: int) -> None:
        """Reject a request that was not read completely, and close.

        The requests before it are answered first; data behind it is ignored.
        """
        if self._pipeline.ended:
            return
        self._discard_body()
        self._reading = None
        self._continue_due = False
        exchange = _exchanges.Exchange(
            self, _messages.Request(self._received_at)
        )
        exchange._answer = _exchanges.Answer(status, [], b"", refuses=True)
        pipelines.add_refusal(self._pipeline, exchange)
        self._write_answers()

    def _drop_requests(self) -> pipelines.Removed[_exchanges.Exchange]:
        """Remove all requests, and release the memory that they hold."""
        self._input.drop()
        self._listener.memory.release(self._held_bytes)
        self._held_bytes = 0
        if self._reading is not None:
            self._discard_body()
            self._reading = None
        removed = pipelines.clear(self._pipeline)
        memory = self._listener.memory
        for exchange in (*removed.running, *removed.waiting):
            memory.release(len(exchange.request.body))
        for _ in removed.waiting:
            self._listener.note_pipelined(pipelines.Fate.DROPPED)
        return removed

    def _disconnected(self) -> None:
        for exchange in self._drop_requests().running:
            # The handler's state refers to the exchange.
            gone, exchange.gone = exchange.gone, None
            if gone is not None:
                gone()
