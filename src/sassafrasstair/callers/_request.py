"""A caller's request and the answer to it, as the entrance sees them."""

from __future__ import annotations

import dataclasses
import typing


if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import outcomes

MAX_NAME = 63
MAX_TOKEN = 256
MAX_TIMEOUT_MS = 3_600_000
MAX_REPEAT = 1_000
MAX_DIGITS = 12
PREFIX = "sassafras-"
CONTEXT = "sassafras-context"
CLASS = "sassafras-class"
TENANT = "sassafras-tenant"
CALLER = "sassafras-caller"
TIMEOUT = "sassafras-timeout-ms"
REPEAT = "sassafras-repeat"
TICKET = "sassafras-ticket"
CHILD_KEY = "sassafras-child-key"

Headers = tuple[tuple[str, str], ...]


class CallerGone(Exception):
    """The caller closed its connection before its answer."""


class Malformed(Exception):
    """A header is missing or has no possible value; says which."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fields:
    """What the request's ``Sassafras-*`` headers say.

    ``timeout`` is in seconds, 0 where the caller leaves it to the class.
    ``context`` names the attempt that an upstream was running when it made
    this call; empty for a caller from outside.
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
    """One request. ``body`` is its first part, ``parts`` the rest.

    ``length`` is that of the whole body in bytes, -1 if not declared.
    ``parts`` raises ``CallerGone``.
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
    """A whole answer. ``parts`` goes on after ``body`` when it is set.

    When ``parts`` raises or is not taken within ``timeout`` seconds, the
    connection is cut, so that the caller sees that its answer is not whole.
    """

    status: int
    headers: Headers
    body: bytes = b""
    remaining_parts: abc.AsyncGenerator[bytes, None] | None = None
    send_timeout: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal: whether it was run, why, and when to come back."""

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
    """Return what the headers say; raise ``Malformed`` naming the first."""
    values = _own_values(headers)
    context = _token(values, CONTEXT)
    tenant = _token(values, TENANT)
    caller = _token(values, CALLER)
    request_class = _token(values, CLASS)
    if not context and not request_class:
        raise Malformed(f"{CLASS} is missing: name the request's class")
    return Fields(
        request_class=request_class,
        tenant=tenant,
        caller=caller or tenant,
        timeout=_number(values, TIMEOUT, MAX_TIMEOUT_MS) / 1000,
        repeat_count=_number(values, REPEAT, MAX_REPEAT),
        ticket=_token(values, TICKET),
        parent_attempt_id=context,
        child_key=_token(values, CHILD_KEY),
    )


def may_have_run(headers: Headers) -> bool:
    """Return whether an earlier use of the request's ticket may run.

    Of such a request only the ticket's owner can say "not run". A count of
    repeats that can't be read is taken for one.
    """
    values = _own_values(headers)
    return bool(values.get(TICKET)) and values.get(REPEAT, "0") != "0"


def own_headers(headers: Headers) -> Headers:
    """Return the caller's own headers, without the ``Sassafras-*`` ones.

    Raises ``Malformed`` for a value that is neither ASCII nor UTF-8: the
    upstream's client library could not send it unchanged.
    """
    own = tuple(
        (name, value) for name, value in headers if not name.startswith(PREFIX)
    )
    for name, value in own:
        if not value.isascii():
            _check_utf8(name, value)
    return own


def _own_values(headers: Headers) -> dict[str, str]:
    return {name: text for name, text in headers if name.startswith(PREFIX)}


def _check_utf8(name: str, value: str) -> None:
    try:
        value.encode("latin-1").decode()
    except UnicodeDecodeError as error:
        raise Malformed(f"{name} is not ASCII or UTF-8") from error


def _token(values: dict[str, str], name: str) -> str:
    text = values.get(name, "")
    if len(text) > MAX_TOKEN or not text.isprintable():
        raise Malformed(f"{name} is not a text of up to {MAX_TOKEN} signs")
    return text


def _number(values: dict[str, str], name: str, most: int) -> int:
    text = values.get(name, "0")
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_DIGITS or int(text) > most:
        raise Malformed(f"{name} is not a whole number from 0 to {most}")
    return int(text)
