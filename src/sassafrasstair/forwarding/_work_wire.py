"""The header field with which a callee's daemon reports spent work.

The field is optional: daemons of an earlier version neither send nor read it.
Its value is a list of ``key=value`` pairs. Unknown keys are ignored, so that
daemons of different versions understand each other.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

WORK_HEADER = b"Sassafras-Work"
WORK_HEADER_LOWER = WORK_HEADER.lower()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """What a callee's daemon knows of the work of a request's route.

    ``route_seconds`` is the usual service time of the route at the instance
    that answered. ``bottleneck_seconds`` is the time that a request of the
    route usually occupies slots at the busiest service of its chain, and
    ``calls_below`` the greatest number of calls made one within the other
    below the instance. Each is None if it is not known.
    """

    route_seconds: float | None = None
    bottleneck_seconds: float | None = None
    calls_below: int | None = None


NO_WORK = WorkReport()


def encode_work(report: WorkReport) -> bytes:
    """Return the field's value, empty if nothing is known."""
    parts = []
    if report.route_seconds is not None:
        parts.append(b"t=%.4f" % report.route_seconds)
    if report.bottleneck_seconds is not None:
        parts.append(b"b=%.4f" % report.bottleneck_seconds)
    if report.calls_below is not None:
        parts.append(b"d=%d" % report.calls_below)
    return b" ".join(parts)


def work_fields(report: WorkReport) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a report, none if nothing is known."""
    value = encode_work(report)
    return [(WORK_HEADER, value)] if value else []


def decode_work(headers: abc.Mapping[bytes, bytes]) -> WorkReport:
    """Return the report in header fields.

    A value that can't be read counts as not known: what a request's outcome
    depends on is in other fields.
    """
    value = headers.get(WORK_HEADER_LOWER)
    if value is None:
        return NO_WORK
    pairs = dict(
        part.split(b"=", 1) for part in value.split(b" ") if b"=" in part
    )
    depth = pairs.get(b"d", b"")
    return WorkReport(
        _seconds(pairs.get(b"t")),
        _seconds(pairs.get(b"b")),
        int(depth) if depth.isdigit() else None,
    )


def _seconds(value: bytes | None) -> float | None:
    """Return a finite, non-negative number, None for any other value."""
    try:
        seconds = float(value or b"nan")
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < math.inf else None
