"""Requests and responses as they were parsed, and heads as bytes."""

from __future__ import annotations

import dataclasses
import http
import typing

if typing.TYPE_CHECKING:
    from collections import abc

Fields = list[tuple[bytes, bytes]]
"""Header fields in their order, names as sent."""
ParsedFields = list[tuple[bytes, bytes, bytes]]
"""The same as parsed, each behind its lower-cased name: made once, since it
is looked at several times on the way of each request."""

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
"""Fields of one connection (RFC 9110, 7.6.1), and those that frame a body,
which is sent whole with a length of our own."""

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_NO_BODY = frozenset({204, 304})


@dataclasses.dataclass(slots=True)
class Request:
    """One request; ``found`` has the first value of each lower-cased name.

    ``began`` is when its first byte was read, in seconds of the clock.
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
    """One whole response."""

    status: int = 0
    fields: ParsedFields = dataclasses.field(default_factory=list)
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""


def non_forwarded_names(own_names: abc.Set[bytes]) -> frozenset[bytes]:
    """Return the names of fields that don't pass on, ``own`` among them."""
    return _HOP_BY_HOP | own_names


def end_to_end_fields(
    fields: ParsedFields,
    headers: abc.Mapping[bytes, bytes],
    excluded: abc.Set[bytes],
) -> Fields:
    """Return the fields that pass on: neither named nor ``kept_back``."""
    listed_names = headers.get(b"connection")
    if listed_names is not None and b"," not in listed_names:
        listed_names = listed_names.strip().lower()
        if listed_names in (b"close", b"keep-alive"):
            listed_names = None
    if listed_names is None:
        return [
            (name, value)
            for lower, name, value in fields
            if lower not in excluded
        ]
    excluded_by_sender = {
        part.strip().lower() for part in listed_names.split(b",")
    }
    return [
        (name, value)
        for lower, name, value in fields
        if lower not in excluded and lower not in excluded_by_sender
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


def render_response(
    status: int, fields: Fields, body: bytes, close: bool, omit_body: bool
) -> bytes:
    """Return a whole response; ``bare`` leaves out the body, as for HEAD."""
    head = response_head(status, fields, len(body), close)
    return head if omit_body or status in _NO_BODY else head + body
