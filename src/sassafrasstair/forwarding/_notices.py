"""Remembers and logs what instances say of themselves in their answers."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import notices

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions import load
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state

INSTANCES_MAX = 4_000
"""Instances whose last notice is remembered, so that each change is logged
once: the 1,300 instances of a fleet, replaced three times."""


def read_notice(
    daemon: _state.Daemon,
    instance: str,
    response: httpio.Response,
    source: str,
) -> notices.Notice:
    """Decode and log what an instance's answer says.

    ``source`` is the host of the daemon that passed on the answer, or
    ``upstream``. What can't be decoded is logged.
    """
    keys = daemon.header_keys
    try:
        notice = notices.decode(
            httpio.combined_value(response, keys.rate_limit),
            httpio.combined_value(response, keys.leaving),
        )
    except notices.NoticeError as error:
        _log(
            daemon,
            "notice_malformed",
            source,
            instance=instance,
            error=str(error),
        )
        notice = error.notice
    _log_changes(daemon, instance, notice, source)
    return notice


def read_peer_notice(
    daemon: _state.Daemon, headers: abc.Mapping[bytes, bytes]
) -> notices.Notice:
    """Return what another daemon says of an instance.

    What can't be decoded is logged; the message around it is still good.
    """
    try:
        return _wire.decode_notice(headers)
    except _wire.NoticeWireError as error:
        daemon.journal.request("peer_malformed", "notice", error=str(error))
        return error.notice


def record_answer(
    daemon: _state.Daemon,
    attempt: _records.Attempt,
    response: httpio.Response,
) -> None:
    """Record what an instance says in an answer that is passed on here."""
    source = attempt.host or "upstream"
    notice = read_notice(daemon, attempt.instance, response, source)
    if notice.leaving:
        views.note_said_to_leave(daemon.view, attempt.instance, attempt.born)


def record_refusal(
    daemon: _state.Daemon,
    attempt: _records.Attempt,
    notice: notices.Notice,
) -> None:
    """Record what the instance's own daemon knows of it.

    An instance or daemon that refuses all requests gives no answer to pass
    on that would say it. Only an answer shows that a notice is withdrawn.
    """
    if notice == notices.NO_NOTICE:
        return
    _log_changes(daemon, attempt.instance, notice, attempt.host)
    if notice.leaving:
        views.note_said_to_leave(daemon.view, attempt.instance, attempt.born)


def has_said_to_leave(
    daemon: _state.Daemon,
    inbound: _records.InboundRequest,
    guard: load.Guard,
) -> bool:
    """Return whether the run that a request is for said that it leaves.

    An entrance with newer changes may mean a later run under the same id.
    """
    return guard.said_to_leave_at < math.inf and not views.is_behind(
        daemon.view, inbound.metadata.content
    )


def is_late_request(
    daemon: _state.Daemon,
    inbound: _records.InboundRequest,
    guard: load.Guard,
    now: float,
) -> bool:
    """Return whether the instance said long ago that it leaves, and log it.

    Its entrance should know by then, unless it has sent nothing there since.
    """
    seconds = now - guard.said_to_leave_at
    if seconds < daemon.settings.bounds.drain_seconds or not has_said_to_leave(
        daemon, inbound, guard
    ):
        return False
    _log(
        daemon,
        "request_after_leaving",
        inbound.entrance,
        request=inbound.request_id.decode("latin-1"),
        instance=inbound.metadata.instance,
        said_before=seconds,
    )
    return True


def rate_limit_of(daemon: _state.Daemon, instance: str) -> float:
    """Return the limit that an instance last named, infinite for none."""
    return daemon.last_notices.get(instance, notices.NO_NOTICE).rate_limit


def says_leaving(daemon: _state.Daemon, instance: str) -> bool:
    """Return whether an instance last said here that it is leaving."""
    return daemon.last_notices.get(instance, notices.NO_NOTICE).leaving


def _log_changes(
    daemon: _state.Daemon, instance: str, notice: notices.Notice, source: str
) -> None:
    previous = daemon.last_notices.get(instance, notices.NO_NOTICE)
    if notice.has_invalid_limit:
        notice = notices.Notice(previous.rate_limit, notice.leaving)
    if notice == previous:
        return
    daemon.last_notices.pop(instance, None)
    if notice != notices.NO_NOTICE:
        daemon.last_notices[instance] = notice
    if len(daemon.last_notices) > INSTANCES_MAX:
        del daemon.last_notices[next(iter(daemon.last_notices))]
    if notice.rate_limit != previous.rate_limit:
        _log(
            daemon,
            "instance_rate_limit",
            source,
            instance=instance,
            per_second=_rate_field(notice.rate_limit),
            before=_rate_field(previous.rate_limit),
        )
    if notice.leaving and not previous.leaving:
        _log(daemon, "instance_says_leaving", source, instance=instance)


def _rate_field(rate: float) -> float | str:
    """Return the rate for a log line: JSON has no infinity."""
    return rate if rate < math.inf else "none"


def _log(
    daemon: _state.Daemon, name: str, source: str, **fields: float | str
) -> None:
    _counters.count_state_change(daemon.counters, name)
    daemon.journal.request(name, source, **fields)
