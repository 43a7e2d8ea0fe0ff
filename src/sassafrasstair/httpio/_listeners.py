"""Listening addresses and the connections of their clients."""

from __future__ import annotations

import asyncio
import math
import typing

from sassafrasstair.httpio import _bodies
from sassafrasstair.httpio import _connections
from sassafrasstair.httpio import _exchanges
from sassafrasstair.httpio import _sockets

if typing.TYPE_CHECKING:
    from collections import abc
    import socket

    from sassafrasstair import clocks
    from sassafrasstair.decisions import pipelines
    from sassafrasstair.httpio import _messages

BACKLOG = 1024
"""Connections waiting to be accepted; a burst opens hundreds at once."""
LATE_SECONDS = 0.1
"""Data that is read within this time of a beat has not waited for long."""
ANSWER_BYTES_MAX = 64 * 1024 * 1024
"""Of a listener that shares no memory for answers."""
CATCH_UP_SECONDS = 0.5
"""After a stall the connections that wait to be accepted come one by one, and
what they have sent is read behind that."""


def _never_idempotent(request: _messages.Request) -> bool:
    return False


def _ignore_fate(fate: pipelines.Fate) -> None:
    pass


def _ignore_cut(reason: str) -> None:
    pass


class Listener:
    """A listening address and its open connections.

    ``is_idempotent`` tells which pipelined requests may run side by side; by
    default none may. ``note_pipelined`` is called for each pipelined request
    when it is started or dropped, and ``note_cut``, with the reason, if a
    connection ends with a part of an answer unsent. ``memory`` is that of
    requests, and ``answers`` that of answers that clients have not read.
    """

    def __init__(
        self,
        handle: abc.Callable[[_exchanges.Exchange], None],
        refusal_fields: abc.Callable[[int], _messages.Fields],
        clock: clocks.Clock,
        memory: _bodies.MemoryBudget,
        is_idempotent: abc.Callable[
            [_messages.Request], bool
        ] = _never_idempotent,
        note_pipelined: abc.Callable[[pipelines.Fate], None] = _ignore_fate,
        note_cut: abc.Callable[[str], None] = _ignore_cut,
        answers: _bodies.ResponseMemory | None = None,
    ) -> None:
        self.handle = handle
        self.is_idempotent = is_idempotent
        self.note_pipelined = note_pipelined
        self.note_cut = note_cut
        self.refusal_fields = refusal_fields
        """Returns the header fields of an error response with a status."""
        self.clock = clock
        self.memory = memory
        self.answers = answers or _bodies.ResponseMemory(
            ANSWER_BYTES_MAX, clock
        )
        self.limits = _exchanges.Limits()
        self.closing = False
        """Set at shutdown: each response then closes its connection."""
        self.connections: set[_connections.Connection] = set()
        self._beat_at = math.inf
        self._stalled_at = math.inf
        self._caught_up_at = -math.inf
        self._server: asyncio.Server | None = None
        self._beginning: set[asyncio.Task[typing.Any]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen; raises ``OSError`` if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _connections.Connection(self), host, port, backlog=BACKLOG
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open.

        Connections that wait to be accepted are accepted first: the kernel
        would reset them, and their clients may have sent requests.
        """
        if self._server is None:
            return
        server, self._server = self._server, None
        waiting = _sockets.accept_waiting(server.sockets)
        server.close()
        for sock in waiting:
            self._begin_soon(sock)

    def _begin_soon(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(
                lambda: _connections.Connection(self), sock
            )
        )
        self._beginning.add(task)
        task.add_done_callback(self._beginning.discard)

    def beat(self, now: float) -> None:
        """Note that the event loop runs.

        An owner that calls this at all does so before ``open``, and a few
        times per ``LATE_SECONDS`` from then on.
        """
        if now - self._beat_at > LATE_SECONDS:
            self._stalled_at = self._beat_at
            self._caught_up_at = now + CATCH_UP_SECONDS
        self._beat_at = now

    def arrived_at(
        self, transport: asyncio.BaseTransport, read_at: float
    ) -> float:
        """Return when data arrived that has been read from a connection.

        A process that stood still reads late what its kernel got meanwhile.
        """
        if not self.reads_late(read_at):
            return read_at
        is_stalled = read_at - self._beat_at > LATE_SECONDS
        since = self._beat_at if is_stalled else self._stalled_at
        return max(read_at - _sockets.seconds_since_data(transport), since)

    def reads_late(self, now: float) -> bool:
        """Return whether what is read now may have waited for a while."""
        is_stalled = now - self._beat_at > LATE_SECONDS
        return is_stalled or now < self._caught_up_at

    def census(self) -> _exchanges.Census:
        """Count the connections and their requests by state."""
        found = list(self.connections)
        return _exchanges.Census(
            idle=sum(connection.idle for connection in found),
            reading=sum(connection.reading for connection in found),
            running=sum(connection.running for connection in found),
            waiting=sum(connection.waiting for connection in found),
            unsent=sum(connection.has_unsent_data for connection in found),
        )

    def close_idle(self, now: float, seconds: float = 0.0) -> None:
        """Close each connection that has had no request for ``seconds``."""
        for connection in list(self.connections):
            if connection.idle and now - connection.active_at >= seconds:
                connection.close()

    def partial_requests(self, now: float) -> list[_exchanges.PartialRequest]:
        """Return the requests of which a part has been read."""
        found = (connection.partial(now) for connection in self.connections)
        return [partial for partial in found if partial is not None]

    def sweep(self, now: float) -> None:
        """Apply the time limits; called a few times per second."""
        for connection in list(self.connections):
            connection.check(now)
