"""Header fields that daemons add to forwarded requests and their answers.

A forwarded request carries ``RequestMetadata`` and its answer carries
``CalleeState``, each in one header field. The values in a field are
positional because they are encoded and decoded for every call.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _work_wire
from sassafrasstair import httpio
from sassafrasstair import notices
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

METADATA_HEADER = b"Sassafras-Ask"
STATE_HEADER = b"Sassafras-State"
METADATA_HEADER_LOWER = METADATA_HEADER.lower()
STATE_HEADER_LOWER = STATE_HEADER.lower()
TRIAL_HEADER = b"Sassafras-Trial"
"""The number of strikes after which a blocked request is tried again."""
TRIAL_HEADER_LOWER = TRIAL_HEADER.lower()
REPEATS_HEADER = b"Sassafras-Repeats"
"""Set to ``depth`` on a request if the sender and all daemons above it divide
the retry budget by depth. Daemons of an earlier version don't send it."""
REPEATS_HEADER_LOWER = REPEATS_HEADER.lower()
LAST_RESORT_HEADER = b"Sassafras-Last-Resort"
"""Set to 1 on a request if its sender knows no instance that can run it but
those whose daemons stop, and on the answer to a ping by a daemon that stops
and takes such requests. Daemons of an earlier version refuse them."""
LAST_RESORT_HEADER_LOWER = LAST_RESORT_HEADER.lower()
RATE_LIMIT_HEADER = b"Sassafras-Limit"
"""The rate limit of the instance, in requests per second.

With a request, it is what the instance last named to the entrance: a callee's
daemon that has restarted heeds it until its instance has answered anew. With
a refusal, it is what the callee's daemon enforces."""
LEAVING_HEADER = b"Sassafras-Leaving"
"""Set to 1 on a refusal if the instance said that it is leaving."""
LEAVING_HEADER_LOWER = LEAVING_HEADER.lower()
RATE_LIMIT_HEADER_LOWER = RATE_LIMIT_HEADER.lower()
KEY_DIGEST_HEADER = b"Sassafras-Key"
"""The digest of the request's API key, in hexadecimal."""
KEY_DIGEST_HEADER_LOWER = KEY_DIGEST_HEADER.lower()
INTERNAL_HEADERS = httpio.non_forwarded_names(
    {
        METADATA_HEADER_LOWER,
        STATE_HEADER_LOWER,
        TRIAL_HEADER_LOWER,
        REPEATS_HEADER_LOWER,
        LAST_RESORT_HEADER_LOWER,
        RATE_LIMIT_HEADER_LOWER,
        LEAVING_HEADER_LOWER,
        KEY_DIGEST_HEADER_LOWER,
        _work_wire.WORK_HEADER_LOWER,
    }
)
PING_PATH = b"/-sassafras/ping"

_ANSWERED = "answered"
_BY_DEPTH = b"depth"
_SET = b"1"


AMOUNT_MAX = 1e12
"""Greatest duration, load or rate that a daemon sends."""
DIGITS_MAX = 19
"""Longer numbers can't be right, and ``int`` raises for very long ones."""


class WireError(Exception):
    """A header field of another daemon that can't be decoded."""


class NoticeWireError(WireError):
    """A notice of another daemon that can't be decoded as a whole.

    ``notice`` is what can be decoded.
    """

    def __init__(self, message: str, notice: notices.Notice) -> None:
        """Store the message and the notice."""
        super().__init__(message)
        self.notice = notice


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the entrance sends with a forwarded request.

    ``content`` is the revision of the last change in the sender's view.
    ``remaining`` is the time until the deadline and ``max_wait`` the longest
    wait for a slot, in seconds from now. See ``load.Work`` for ``rank`` and
    the wait.
    """

    content: int
    instance: str
    route: str
    rank: float
    remaining: float
    max_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class CalleeState:
    """What the callee's daemon sends with each answer.

    ``content`` is the revision of the last change in its view. ``leaving``
    is set while its upstream takes no new work. ``load_at_rank`` is the
    load at the instance that takes precedence over a request of the same
    rank, as a fraction of the instance's limit. ``downstream_load`` is the
    load of the busiest service that the instance's service calls, as
    requests of that rank meet it. ``internal_route`` is set if only
    upstreams call the route. ``ending`` is None if the instance itself
    answered.
    """

    content: int
    leaving: bool
    load: calls.LoadReport
    load_at_rank: float
    downstream_load: float
    internal_route: bool
    ending: requests.Ending | None
    reason: outcomes.Reason


def encode_metadata(ask: RequestMetadata) -> bytes:
    """Return the field's value."""
    return b"%d %s %s %.4f %.4f %.4f" % (
        ask.content,
        ask.instance.encode(),
        ask.route.encode(),
        ask.rank,
        max(0.0, ask.remaining),
        max(0.0, ask.max_wait),
    )


def decode_metadata(value: bytes) -> RequestMetadata:
    """Return what the field says; raises ``WireError``."""
    try:
        content, instance, route, rank, remaining, wait = value.split(b" ")
        return RequestMetadata(
            parse_revision(content),
            instance.decode(),
            route.decode(),
            parse_amount(rank),
            parse_amount(remaining),
            parse_amount(wait),
        )
    except ValueError as error:
        raise WireError(f"invalid Sassafras-Ask field: {error}") from error


def decode_trial(value: bytes | None) -> int:
    """Return the strikes in the field, 0 without a valid field."""
    if value is None or not value.isdigit() or len(value) > DIGITS_MAX:
        return 0
    return int(value)


def repeats_fields(shares_by_depth: bool) -> httpio.Fields:
    """Return the header fields that say how repeats are limited."""
    return [(REPEATS_HEADER, _BY_DEPTH)] if shares_by_depth else []


def decode_repeats(value: bytes | None) -> bool:
    """Return whether the sender divides the retry budget by depth."""
    return value == _BY_DEPTH


def last_resort_fields(last_resort: bool) -> httpio.Fields:
    """Return the header fields that mark a request as a last resort."""
    return [(LAST_RESORT_HEADER, _SET)] if last_resort else []


def decode_last_resort(value: bytes | None) -> bool:
    """Return whether the sender knows no other instance for the request."""
    return value == _SET


def notice_fields(notice: notices.Notice) -> httpio.Fields:
    """Return the header fields that tell a daemon of a notice."""
    fields: httpio.Fields = []
    if notice.rate_limit < math.inf:
        fields.append((RATE_LIMIT_HEADER, b"%.3f" % notice.rate_limit))
    if notice.leaving:
        fields.append((LEAVING_HEADER, notices.LEAVING_VALUE))
    return fields


def decode_notice(headers: abc.Mapping[bytes, bytes]) -> notices.Notice:
    """Return the notice in header fields of a daemon.

    Raises ``NoticeWireError``.
    """
    try:
        return notices.decode(
            headers.get(RATE_LIMIT_HEADER_LOWER),
            headers.get(LEAVING_HEADER_LOWER),
        )
    except notices.NoticeError as error:
        raise NoticeWireError(str(error), error.notice) from error


def encode_state(state: CalleeState) -> bytes:
    """Return the field's value."""
    ending = _ANSWERED if state.ending is None else state.ending.value
    load = state.load
    return b"%d %d %.3f %.4f %.1f %.4f %.3f %d %s %s" % (
        state.content,
        state.leaving,
        load.busy,
        state.load_at_rank,
        load.limit,
        load.service_seconds,
        state.downstream_load,
        state.internal_route,
        ending.encode(),
        state.reason.value.encode(),
    )


def decode_state(value: bytes) -> CalleeState:
    """Return what the field says; raises ``WireError``."""
    try:
        parts = value.decode().split(" ")
        content, leaving, busy, ahead, limit, service = parts[:6]
        below, inner, ending, reason = parts[6:]
        return CalleeState(
            parse_revision(content),
            leaving == "1",
            calls.LoadReport(
                parse_amount(busy),
                0.0,
                parse_amount(limit),
                parse_amount(service),
            ),
            parse_amount(ahead),
            parse_amount(below),
            inner == "1",
            None if ending == _ANSWERED else requests.Ending(ending),
            outcomes.Reason(reason),
        )
    except ValueError as error:
        raise WireError(f"invalid Sassafras-State field: {error}") from error


def parse_amount(value: bytes | str) -> float:
    """Return a number from 0 to ``AMOUNT_MAX``; raises ``ValueError``.

    An infinite or negative load would corrupt averages permanently.
    """
    amount = float(value)
    if not 0.0 <= amount <= AMOUNT_MAX:
        raise ValueError(f"not a non-negative amount: {value[:40]!r}")
    return amount


def parse_revision(value: bytes | str) -> int:
    """Return a revision of a view; raises ``ValueError``."""
    if len(value) > DIGITS_MAX:
        raise ValueError(f"not a revision: {value[:40]!r}")
    return check_revision(int(value))


def check_revision(revision: int) -> int:
    """Return the revision; raises ``ValueError`` if it is out of range."""
    if not views.UNORDERED <= revision <= views.REVISION_MAX:
        raise ValueError(f"not a revision: {revision}")
    return revision
