"""Types of a caller's request and its answer, and parsing of headers."""

from __future__ import annotations

import dataclasses
import typing


if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import outcomes

MAX_NAME_CHARS = 63
MAX_TOKEN_CHARS = 256
MAX_TIMEOUT_MS = 3_600_000
MAX_REPEAT_COUNT = 1_000
MAX_DIGITS = 12
HEADER_PREFIX = "sassafras-"
CONTEXT_HEADER = "sassafras-context"
CLASS_HEADER = "sassafras-class"
TENANT_HEADER = "sassafras-tenant"
CALLER_HEADER = "sassafras-caller"
TIMEOUT_HEADER = "sassafras-timeout-ms"
REPEAT_HEADER = "sassafras-repeat"
TICKET_HEADER = "sassafras-ticket"
CHILD_KEY_HEADER = "sassafras-child-key"

Headers = tuple[tuple[str, str], ...]


class CallerGone(Exception):
    """The caller closed its connection before it got its answer."""


class Malformed(Exception):
    """A header is missing or its value is invalid; the text names it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fields:
    """Values of the request's ``Sassafras-*`` headers.

    ``timeout`` is in seconds; 0 means the deadline of the request class.
    ``repeat_count`` is 0 for the first request and counts the caller's
    repeats of it after that. ``parent_attempt_id`` names the attempt
    that an upstream was running when it made this call; it is empty for a
    caller outside the mesh.
    """

    request_class: str
    tenant: str
    caller: str
    timeout: float
    repeat_count: int
    ticket: str
    parent_attempt_id: str
    child_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request, with the first part of its body already read.

    ``remaining_parts`` yields the rest of the body, if ``has_more_parts``
    is set, and raises ``CallerGone`` when the caller disconnects.
    ``body_length`` is the length of the whole body in bytes, -1 if it is
    not declared.
    """

    method: str
    service: str
    path: str
    headers: Headers
    fields: Fields
    first_part: bytes
    body_length: int
    has_more_parts: bool
    remaining_parts: abc.AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer. ``remaining_parts``, if set, continues after ``body``.

    When ``remaining_parts`` raises, or the answer is not sent within
    ``send_timeout`` seconds, the connection is closed, so that the caller
    sees that its answer is incomplete.
    """

    status: int
    headers: Headers
    body: bytes = b""
    remaining_parts: abc.AsyncGenerator[bytes, None] | None = None
    send_timeout: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request.

    ``outcome`` says whether the request ran, ``reason`` why it was refused,
    and ``retry_after`` in how many seconds to try again; 0 gives no time.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason
    retry_after: float = 0.0
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TicketReply:
    """A ticket and its remaining lifetime in seconds."""

    ticket: str
    expires_in: float


def read_fields(headers: Headers) -> Fields:
    """Parse the headers; raise ``Malformed`` for the first invalid one."""
    values = _sassafras_values(headers)
    context = _read_token(values, CONTEXT_HEADER)
    tenant = _read_token(values, TENANT_HEADER)
    caller = _read_token(values, CALLER_HEADER)
    request_class = _read_token(values, CLASS_HEADER)
    if not context and not request_class:
        raise Malformed(f"{CLASS_HEADER} is missing: name the request's class")
    return Fields(
        request_class=request_class,
        tenant=tenant,
        caller=caller or tenant,
        timeout=_read_number(values, TIMEOUT_HEADER, MAX_TIMEOUT_MS) / 1000,
        repeat_count=_read_number(values, REPEAT_HEADER, MAX_REPEAT_COUNT),
        ticket=_read_token(values, TICKET_HEADER),
        parent_attempt_id=context,
        child_key=_read_token(values, CHILD_KEY_HEADER),
    )


def may_have_run(headers: Headers) -> bool:
    """Return whether an earlier use of the request's ticket may have run.

    Only the ticket's owner can report such a request as "not run". A repeat
    count that can't be parsed counts as a repeat.
    """
    values = _sassafras_values(headers)
    return (
        bool(values.get(TICKET_HEADER))
        and values.get(REPEAT_HEADER, "0") != "0"
    )


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers to forward, without the ``Sassafras-*`` ones.

    Raises ``Malformed`` for a value that is neither ASCII nor UTF-8, since
    the HTTP client for the upstream could not send it unchanged.
    """
    forwarded = tuple(
        (name, value)
        for name, value in headers
        if not name.startswith(HEADER_PREFIX)
    )
    for name, value in forwarded:
        if not value.isascii():
            _check_utf8(name, value)
    return forwarded


def _sassafras_values(headers: Headers) -> dict[str, str]:
    return {
        name: text for name, text in headers if name.startswith(HEADER_PREFIX)
    }


def _check_utf8(name: str, value: str) -> None:
    try:
        value.encode("latin-1").decode()
    except UnicodeDecodeError as error:
        raise Malformed(f"{name} is not ASCII or UTF-8") from error


def _read_token(values: dict[str, str], name: str) -> str:
    text = values.get(name, "")
    if len(text) > MAX_TOKEN_CHARS or not text.isprintable():
        raise Malformed(
            f"{name} is not a text of up to {MAX_TOKEN_CHARS} signs"
        )
    return text


def _read_number(values: dict[str, str], name: str, maximum: int) -> int:
    text = values.get(name, "0")
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_DIGITS or int(text) > maximum:
        raise Malformed(f"{name} is not a whole number from 0 to {maximum}")
    return int(text)
