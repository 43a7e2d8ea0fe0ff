"""Decodes and logs what an upstream says of itself in its answers.

An upstream in need names the rate of requests that it takes, and one that is
about to stop says that it is leaving.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.forwarding import _counters

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.forwarding import _dialect
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

INSTANCES_MAX = 4_000
"""Instances whose last notice is remembered, so that each change is logged
once: the 1,300 instances of a fleet, replaced three times."""
LEAVING_VALUE = b"1"


class NoticeError(Exception):
    """A header field of an upstream's answer that can't be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What an answer says of its instance.

    ``rate_limit`` is the number of requests per second that the instance
    takes from all VMs together, infinite if the answer names none.
    """

    rate_limit: float = math.inf
    leaving: bool = False


NO_NOTICE = Notice()


def decode_notice(
    headers: abc.Mapping[bytes, bytes], keys: _dialect.HeaderNames
) -> Notice:
    """Return what an answer with these headers says; raises ``NoticeError``.

    ``headers`` maps names in lower case, as ``keys`` has them.
    """
    limit = headers.get(keys.rate_limit)
    leaving = headers.get(keys.leaving)
    if limit is None and leaving is None:
        return NO_NOTICE
    return Notice(
        math.inf if limit is None else _decode_rate(limit),
        leaving == LEAVING_VALUE,
    )


def read_notice(
    daemon: _state.Daemon,
    instance: str,
    response: httpio.Response,
    source: str,
) -> Notice | None:
    """Decode and log what an instance's answer says.

    ``source`` is the host of the daemon that passed on the answer, or
    ``upstream``. Return None, after a log line, if it can't be decoded.
    """
    try:
        notice = decode_notice(response.headers, daemon.header_keys)
    except NoticeError as error:
        daemon.journal.request(
            "notice_malformed", source, instance=instance, error=str(error)
        )
        return None
    _log_changes(daemon, instance, notice, source)
    return notice


def record_rate_limit(
    daemon: _state.Daemon,
    instance: str,
    rate_limit: float | None,
    source: str,
) -> None:
    """Record the limit that an instance's own daemon enforces, None if none.

    A daemon that refuses all requests passes on no answer that names it.
    """
    previous = daemon.notices.get(instance, NO_NOTICE)
    limit = math.inf if rate_limit is None else rate_limit
    notice = dataclasses.replace(previous, rate_limit=limit)
    _log_changes(daemon, instance, notice, source)


def rate_limit_of(daemon: _state.Daemon, instance: str) -> float | None:
    """Return the limit that an instance last named here, None for none."""
    notice = daemon.notices.get(instance, NO_NOTICE)
    return notice.rate_limit if notice.rate_limit < math.inf else None


def says_leaving(daemon: _state.Daemon, instance: str) -> bool:
    """Return whether an instance last said here that it is leaving."""
    return daemon.notices.get(instance, NO_NOTICE).leaving


def _log_changes(
    daemon: _state.Daemon, instance: str, notice: Notice, source: str
) -> None:
    previous = daemon.notices.get(instance, NO_NOTICE)
    if notice == previous:
        return
    daemon.notices.pop(instance, None)
    if notice != NO_NOTICE:
        daemon.notices[instance] = notice
    if len(daemon.notices) > INSTANCES_MAX:
        del daemon.notices[next(iter(daemon.notices))]
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


def _decode_rate(value: bytes) -> float:
    try:
        rate = float(value)
    except ValueError as error:
        raise NoticeError(f"invalid rate limit: {value!r}") from error
    if not 0.0 <= rate < math.inf:
        raise NoticeError(f"invalid rate limit: {value!r}")
    return rate


def _rate_field(rate: float) -> float | str:
    """Return the rate for a log line: JSON has no infinity."""
    return rate if rate < math.inf else "none"


def _log(
    daemon: _state.Daemon, name: str, source: str, **fields: float | str
) -> None:
    _counters.count_state_change(daemon.counters, name)
    daemon.journal.request(name, source, **fields)
