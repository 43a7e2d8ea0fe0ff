"""A client's request with its response, and the limits on requests."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import pipelines

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.httpio import _connections
    from sassafrasstair.httpio import _messages


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
    fields: int = 512
    """Header fields and trailers; each costs memory beside its bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Census:
    """How many of a listener's connections are in which state.

    ``idle`` ones have no request, and ``reading`` ones have read a part of
    one. ``running`` and ``waiting`` count requests that were read whole:
    started, or not yet. ``unsent`` connections have answers in their buffers.
    """

    idle: int = 0
    reading: int = 0
    running: int = 0
    waiting: int = 0
    unsent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PartialRequest:
    """A request of which a part has been read.

    ``head_complete`` is set once only the body is incomplete, and nothing
    arrived for ``silent_seconds``. ``reject`` answers 503 in its turn and
    closes the connection.
    """

    request: _messages.Request
    head_complete: bool
    silent_seconds: float
    reject: abc.Callable[[], None]


class Exchange(pipelines.Entry):
    """A request and its response."""

    __slots__ = ("_answer", "_connection", "gone", "request")

    def __init__(
        self, connection: _connections.Connection, request: _messages.Request
    ) -> None:
        super().__init__(request.keep_alive)
        self.request = request
        self.gone: abc.Callable[[], None] | None = None
        """Called once if the client disconnects before the response."""
        self._connection = connection
        self._answer: Answer | None = None
        """The response until its turn."""

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


@dataclasses.dataclass(slots=True)
class Answer:
    """A response; ``refuses`` if no complete request was read.

    The header fields of such a refusal are determined when it is written.
    """

    status: int
    fields: _messages.Fields
    body: bytes
    refuses: bool = False
