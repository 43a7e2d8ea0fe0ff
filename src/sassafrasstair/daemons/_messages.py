"""What daemons say to each other, as msgpack over SP request/reply.

Times cross as remaining milliseconds, never as instants: the clocks of two
VMs are not compared. A body up to ``CHUNK_BYTES`` travels inside ``Run`` or
``RunAnswer``; a longer one follows in parts, each asked for or accepted one
at a time, so that neither side holds more than a few parts.
"""

from __future__ import annotations

import typing

import msgspec

CHUNK_BYTES = 65_536


class Run(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """Ask the daemon in the instance's slot to run one attempt.

    ``body_length`` is that of the whole body, -1 where the caller did not
    say. ``more`` means that the body goes on in ``BodyPart`` messages.
    """

    attempt_id: str
    service: str
    request_class: str
    tenant: str
    caller: str
    call_id: str
    remaining_ms: int
    retries: int
    depth: int
    ticket: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_length: int
    more: bool


class RunAnswer(msgspec.Struct, frozen=True, tag="answer", array_like=True):
    """The end of one attempt: an upstream's answer, or a refusal.

    ``outcome`` and ``reason`` are values of the enums in ``outcomes``.
    ``more`` means that the body goes on: ask with ``AnswerNext``.
    ``limit`` is the concurrency limit that ``busy`` is a share of and
    ``service_seconds`` the usual time of service there.
    ``digest`` is the blake2b of the body so far, of the whole when not
    ``more``.
    """

    attempt_id: str
    incarnation: str
    outcome: str
    reason: str
    retry_after_ms: int = 0
    retries_spent: int = 0
    busy: float = 0.0
    floor: float = 0.0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    more: bool = False
    digest: bytes = b""
    limit: float = 0.0
    service_seconds: float = 0.0


class BodyPart(msgspec.Struct, frozen=True, tag="part", array_like=True):
    """One part of a request's body; ``last`` carries the whole's digest.

    Part 0 is empty: its acceptance means that the attempt was started.
    """

    attempt_id: str
    sequence: int
    data: bytes
    last: bool = False
    digest: bytes = b""


class PartReply(msgspec.Struct, frozen=True, tag="taken", array_like=True):
    """Reply to ``BodyPart``: whether the attempt still wants parts."""

    wanted: bool


class AnswerFetch(msgspec.Struct, frozen=True, tag="next", array_like=True):
    """Ask for part ``sequence`` of an answer's body, from 1."""

    attempt_id: str
    sequence: int


class AnswerPart(msgspec.Struct, frozen=True, tag="anext", array_like=True):
    """One part of an answer's body. ``gone`` means that it is lost."""

    data: bytes
    last: bool = False
    digest: bytes = b""
    gone: bool = False


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Nobody waits for the attempt any more."""

    attempt_id: str


class TicketRequest(
    msgspec.Struct, frozen=True, tag="ticket", array_like=True
):
    """Ask a callee's daemon for a ticket of its own incarnation."""

    service: str
    request_class: str
    caller: str
    tenant: str


class TicketResponse(
    msgspec.Struct, frozen=True, tag="given", array_like=True
):
    """A ticket, or a refusal where ``ticket`` is empty."""

    ticket: str
    expires_in_ms: int
    outcome: str
    reason: str
    retry_after_ms: int = 0
    incarnation: str = ""
    busy: float = 0.0
    floor: float = 0.0


class Ping(msgspec.Struct, frozen=True, tag="ping", array_like=True):
    """Ask whether the daemon takes work."""


class Pong(msgspec.Struct, frozen=True, tag="pong", array_like=True):
    """Reply to ``Ping``."""

    incarnation: str
    serving: bool


class Control(msgspec.Struct, frozen=True, tag="control", array_like=True):
    """A message of ``decisions.fleet``, encoded by its own codec."""

    body: bytes


class NoContent(msgspec.Struct, frozen=True, tag="nothing", array_like=True):
    """Reply that only says that the message came."""


Message = (
    Run
    | RunAnswer
    | BodyPart
    | PartReply
    | AnswerFetch
    | AnswerPart
    | Cancel
    | TicketRequest
    | TicketResponse
    | Ping
    | Pong
    | Control
    | NoContent
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    typing.cast("type[Message]", Message)
)


def encode(message: Message) -> bytes:
    """Return the message as msgpack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in ``data``; ``msgspec.DecodeError`` if none."""
    return _decoder.decode(data)
