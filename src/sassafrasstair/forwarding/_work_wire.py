"""The header field with which a callee's daemon reports spent work.

The field is optional: daemons of an earlier version neither send nor read it.
Its value is a list of ``key=value`` pairs. Unknown keys are ignored, so that
daemons of different versions understand each other.
"""

from __future__ import annotations

import dataclasses
import functools
import re
import typing

from sassafrasstair.decisions import costs

if typing.TYPE_CHECKING:
    from collections import abc

WORK_HEADER = b"Sassafras-Work"
WORK_HEADER_LOWER = WORK_HEADER.lower()
_SERVICE = re.compile(r"[\w.-]{1,80}")
"""Names of services that need no escaping; others are not reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """What a callee's daemon knows of the work of a request's route.

    ``route_seconds`` is the usual service time of the route at the instance
    that answered, and ``calls_below`` the greatest number of calls made one
    within the other below the instance; each is None if it is not known.
    ``costs`` are those of a request of the route at the services of its
    chain that have much work. ``calls_of_run`` is how many calls of any one
    service a run leads to at most.
    """

    route_seconds: float | None = None
    calls_below: int | None = None
    costs: tuple[costs.ServiceCost, ...] = ()
    calls_of_run: int | None = None


NO_WORK = WorkReport()
COSTS_MAX = 8
"""Costs read from one field; a daemon sends fewer."""
DIGITS_MAX = 9
"""Longer numbers can't be right, and ``int`` raises for very long ones."""
SECONDS_MAX = 1e12
"""Greatest duration or rate; sums of them stay finite."""
CACHE_SIZE = 256
"""Decoded values that are kept. Most answers report the same depth alone."""


def encode_work(report: WorkReport) -> bytes:
    """Return the field's value, empty if nothing is known."""
    parts = []
    if report.route_seconds is not None:
        parts.append(b"t=%.4f" % report.route_seconds)
    if report.calls_below is not None:
        parts.append(b"d=%d" % report.calls_below)
    if report.calls_of_run is not None:
        parts.append(b"c=%d" % report.calls_of_run)
    named = [each for each in report.costs if _SERVICE.fullmatch(each.service)]
    if named:
        parts.append(b"s=" + b",".join(_encode_cost(each) for each in named))
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
    return NO_WORK if value is None else _decode_value(value)


@functools.lru_cache(maxsize=CACHE_SIZE)
def _decode_value(value: bytes) -> WorkReport:
    pairs = dict(
        part.split(b"=", 1) for part in value.split(b" ") if b"=" in part
    )
    return WorkReport(
        _seconds(pairs.get(b"t")),
        _number(pairs.get(b"d", b"")),
        _decode_costs(pairs.get(b"s", b"")),
        _number(pairs.get(b"c", b"")),
    )


def _encode_cost(cost: costs.ServiceCost) -> bytes:
    return b"%s:%.4f:%.3f:%.3f" % (
        cost.service.encode(),
        cost.slot_seconds,
        cost.offered,
        cost.wait_seconds,
    )


def _decode_costs(value: bytes) -> tuple[costs.ServiceCost, ...]:
    """Return the costs that can be read."""
    found = []
    for part in value.split(b",")[:COSTS_MAX]:
        service, *texts = part.split(b":")
        numbers = [_seconds(text) for text in texts]
        if len(numbers) == 3 and None not in numbers:
            slot_seconds, offered, wait = typing.cast("list[float]", numbers)
            name = service.decode("latin-1")
            found.append(costs.ServiceCost(name, slot_seconds, offered, wait))
    return tuple(found)


def _number(value: bytes) -> int | None:
    is_valid = value.isdigit() and len(value) <= DIGITS_MAX
    return int(value) if is_valid else None


def _seconds(value: bytes | None) -> float | None:
    """Return a finite, non-negative number, None for any other value."""
    try:
        seconds = float(value or b"nan")
    except ValueError:
        return None
    return seconds if 0.0 <= seconds <= SECONDS_MAX else None
