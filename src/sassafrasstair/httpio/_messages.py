"""Parsed requests and responses, and the encoding of message heads."""

from __future__ import annotations

import dataclasses
import http
import typing

import httptools

if typing.TYPE_CHECKING:
    from collections import abc

Fields = list[tuple[bytes, bytes]]
"""Header fields in order, with their names as sent."""
ParsedFields = list[tuple[bytes, bytes, bytes]]
"""Header fields in order, each as lower-cased name, name as sent and value.
The name is lower-cased once since each request looks it up several times."""

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Fields that apply to one connection only (RFC 9110, 7.6.1), and fields that
frame a body: a forwarded body is sent whole, with its own Content-Length."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""The interim response to a request that waits before it sends its body."""
COPIED_BYTES_MAX = 16 * 1024
"""A short body is copied behind its head, since one write is cheaper."""
PARSE_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
WHITE_SPACE = b" \t"
"""White space around a field's value, which is no part of it (RFC 9110, 5.5);
``httptools`` leaves it behind the value."""

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_NO_BODY = frozenset({204, 304})


@dataclasses.dataclass(slots=True)
class Request:
    """A parsed request.

    ``headers`` maps each lower-cased field name to its first value.
    ``received_at`` is the clock's time, in seconds, at which the first byte
    was read.
    """

    received_at: float
    method: bytes = b""
    target: bytes = b""
    fields: ParsedFields = dataclasses.field(default_factory=list)
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


@dataclasses.dataclass(slots=True)
class Response:
    """A whole response.

    ``headers`` maps each lower-cased field name to its first value.
    """

    status: int = 0
    fields: ParsedFields = dataclasses.field(default_factory=list)
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""


def combined_value(message: Request | Response, name: bytes) -> bytes | None:
    """Return all values of a lower-cased field name as one list.

    Several fields of one name are one list (RFC 9110, 5.3). None without any.
    """
    if name not in message.headers:
        return None
    return b", ".join(
        value for lower, _, value in message.fields if lower == name
    )


def non_forwarded_names(own_names: abc.Set[bytes]) -> frozenset[bytes]:
    """Return hop-by-hop names and ``own_names``, which are not forwarded."""
    return _HOP_BY_HOP | own_names


def end_to_end_fields(
    fields: ParsedFields,
    headers: abc.Mapping[bytes, bytes],
    excluded: abc.Set[bytes],
    required: abc.Set[bytes] = frozenset(),
) -> Fields:
    """Return the fields to forward.

    Left out are the names in ``excluded`` (see ``non_forwarded_names``) and
    those that the ``Connection`` field lists, but for ``required`` ones.
    """
    connection_options = headers.get(b"connection")
    if connection_options is not None and b"," not in connection_options:
        connection_options = connection_options.strip().lower()
        if connection_options in (b"close", b"keep-alive"):
            connection_options = None
    if connection_options is None:
        return [
            (name, value)
            for lower, name, value in fields
            if lower not in excluded
        ]
    listed_names = {
        part.strip().lower() for part in connection_options.split(b",")
    } - required
    return [
        (name, value)
        for lower, name, value in fields
        if lower not in excluded and lower not in listed_names
    ]


def request_head(
    method: bytes, target: bytes, fields: Fields, length: int
) -> bytes:
    """Return the head of a request with ``length`` bytes of body."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % field for field in fields]
    if length or method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def response_head(
    status: int, fields: Fields, length: int, close: bool
) -> bytes:
    """Return the head of a response with ``length`` bytes of body."""
    reason = _REASONS.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [b"%s: %s" % field for field in fields]
    if status not in _NO_BODY:
        lines.append(b"Content-Length: %d" % length)
    if close:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def has_no_body(status: int) -> bool:
    """Return whether no response with this status has a body."""
    return status in _NO_BODY


def write(transport: typing.Any, head: bytes, body: bytes) -> None:
    """Write a message, without another copy of a long body."""
    if len(body) <= COPIED_BYTES_MAX:
        transport.write(head + body)
    else:
        transport.writelines((head, body))
