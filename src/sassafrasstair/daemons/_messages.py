"""Messages between daemons, sent as msgpack over SP request/reply.

Deadlines are sent as remaining milliseconds and not as timestamps, because
the clocks of two VMs are not compared. A body of up to ``CHUNK_BYTES`` is
sent inside ``Run`` or ``RunAnswer``. A longer body follows in parts, which
are requested or accepted one at a time, so that neither side holds more
than a few parts.
"""

from __future__ import annotations

import typing

import msgspec

CHUNK_BYTES = 65_536


class Run(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """Request one attempt at the upstream of the receiving daemon.

    ``remaining_ms`` is the time left until the deadline. ``retries`` is the
    number of retries that calls further down the chain may use, and
    ``depth`` the number of calls above this one. ``ticket`` is empty unless
    the work is once-only. ``body`` is the beginning of the body and
    ``body_length`` the length of the whole body, -1 if the caller did not
    state it. ``has_more_parts`` means that the body continues in
    ``BodyPart`` messages.
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
    has_more_parts: bool


class RunAnswer(msgspec.Struct, frozen=True, tag="answer", array_like=True):
    """Result of one attempt: the upstream's answer, or a refusal.

    ``outcome`` and ``reason`` are values of the enums in ``outcomes``.
    ``retries_spent`` is the number of retries used by calls further down
    the chain. ``busy`` is the share of the concurrency limit ``limit`` that
    is in use, queue included. ``floor`` is the shed floor: requests of a
    lower rank are shed. ``service_seconds`` is the usual service time.
    ``status`` is 0 when there is no answer of an upstream.
    ``has_more_parts`` means that the body continues; its parts are read
    with ``AnswerFetch``. ``digest`` is the BLAKE2b digest of the body so
    far, which is that of the whole body unless ``has_more_parts`` is set.
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
    has_more_parts: bool = False
    digest: bytes = b""
    limit: float = 0.0
    service_seconds: float = 0.0


class BodyPart(msgspec.Struct, frozen=True, tag="part", array_like=True):
    """One part of a request's body.

    The part with ``last`` set carries the digest of the whole body. Part 0
    is empty; the callee accepts it once it has started the attempt.
    """

    attempt_id: str
    sequence: int
    data: bytes
    last: bool = False
    digest: bytes = b""


class PartReply(msgspec.Struct, frozen=True, tag="taken", array_like=True):
    """Reply to ``BodyPart``: whether the attempt accepts more parts."""

    wanted: bool


class AnswerFetch(msgspec.Struct, frozen=True, tag="next", array_like=True):
    """Request part ``sequence`` of an answer's body, counted from 1."""

    attempt_id: str
    sequence: int


class AnswerPart(msgspec.Struct, frozen=True, tag="anext", array_like=True):
    """One part of an answer's body.

    ``is_lost`` means that the rest of the body is lost. The part with ``last``
    set carries the digest of the whole body.
    """

    data: bytes
    last: bool = False
    digest: bytes = b""
    is_lost: bool = False


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Cancel an attempt because no caller waits for it any more."""

    attempt_id: str


class TicketRequest(
    msgspec.Struct, frozen=True, tag="ticket", array_like=True
):
    """Request a ticket from the current process of a callee's daemon."""

    service: str
    request_class: str
    caller: str
    tenant: str


class TicketResponse(
    msgspec.Struct, frozen=True, tag="given", array_like=True
):
    """A ticket, or a refusal if ``ticket`` is empty.

    ``busy`` and ``floor`` are as in ``RunAnswer``.
    """

    ticket: str
    expires_in_ms: int
    outcome: str
    reason: str
    retry_after_ms: int = 0
    incarnation: str = ""
    busy: float = 0.0
    floor: float = 0.0


class Ping(msgspec.Struct, frozen=True, tag="ping", array_like=True):
    """Ask whether the daemon accepts work."""


class Pong(msgspec.Struct, frozen=True, tag="pong", array_like=True):
    """Reply to ``Ping``."""

    incarnation: str
    serving: bool


class Control(msgspec.Struct, frozen=True, tag="control", array_like=True):
    """A message of ``decisions.fleet``, encoded by that package."""

    body: bytes


class NoContent(msgspec.Struct, frozen=True, tag="nothing", array_like=True):
    """Reply that only acknowledges the message."""


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
    """Return the message in ``data``.

    Raises ``msgspec.DecodeError`` if ``data`` is not a message.
    """
    try:
        return _decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
