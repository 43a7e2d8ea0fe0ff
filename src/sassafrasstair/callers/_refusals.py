"""Conversion of refusals to HTTP: status, headers and JSON body."""

from __future__ import annotations

import math

import msgspec

from sassafrasstair.callers import _request
from sassafrasstair import outcomes

BAD_REQUEST = 400
INTERNAL = 500
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
TOO_MANY = 429
UNAVAILABLE = 503
TIMED_OUT = 504

_Reason = outcomes.Reason
_STATUSES = {
    _Reason.MALFORMED: BAD_REQUEST,
    _Reason.TICKET_MISSING: BAD_REQUEST,
    _Reason.TICKET_INVALID: BAD_REQUEST,
    _Reason.UNKNOWN_CLASS: NOT_FOUND,
    _Reason.UNKNOWN_SERVICE: NOT_FOUND,
    _Reason.TICKET_EXPIRED: CONFLICT,
    _Reason.TICKET_VOID: CONFLICT,
    _Reason.OWNER_GONE: CONFLICT,
    _Reason.PARENT_GONE: CONFLICT,
    _Reason.BODY_TOO_LARGE: TOO_LARGE,
    _Reason.INTERNAL_FAULT: INTERNAL,
    _Reason.TOO_MANY_REPEATS: TOO_MANY,
    _Reason.TENANT_SHARE: TOO_MANY,
    _Reason.DEADLINE_PASSED: TIMED_OUT,
    _Reason.DEADLINE_TOO_SHORT: TIMED_OUT,
}


class _Body(msgspec.Struct, frozen=True):
    outcome: str
    reason: str
    detail: str
    retry_after_ms: int


def to_reply(refusal: _request.Refusal) -> _request.Reply:
    """Return the refusal as an HTTP answer."""
    body = _Body(
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_ms=math.ceil(refusal.retry_after * 1000),
    )
    headers = [
        ("content-type", "application/json"),
        ("sassafras-outcome", refusal.outcome.value.replace(" ", "-")),
        ("sassafras-reason", refusal.reason.value),
    ]
    if refusal.retry_after > 0:
        headers.append(("retry-after", str(math.ceil(refusal.retry_after))))
    return _request.Reply(
        _STATUSES.get(refusal.reason, UNAVAILABLE),
        tuple(headers),
        msgspec.json.encode(body),
    )
