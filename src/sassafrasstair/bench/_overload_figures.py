"""The four figures of one run, from what the meter holds.

Goodput counts whole requests that were answered by their try's deadline,
pro rata for the time that the deepest service worked on them within a
phase of the trigger, against the phase's capacity or the first tries
offered in it, whichever is less. A surplus in one phase does not make up
for another.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.bench import _model_meters

WINDOW_SECONDS = 1.0
STEP_SECONDS = 0.25
NEAR = 0.05
PERCENTILE = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A phase: its bounds in seconds, and capacity in requests a second."""

    start: float
    end: float
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one run came to; ``most_calls`` is that of a single try."""

    goodput: float
    important_goodput: float
    recovery_s: float
    amplification: float
    most_calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Tries that arrived in one window."""

    first: int
    done: int
    p99: float


def figures(
    meter: _model_meters.Meter,
    spans: list[Span],
    before: Span,
    after: Span,
) -> Figures:
    """Return the run's figures."""
    tries = list(meter.tries.values())
    important = [tried for tried in tries if tried.important]
    return Figures(
        _goodput(tries, spans),
        _goodput(important, spans),
        _recovery(tries, before, after),
        _amplification(meter),
        max(meter.calls.values(), default=0),
    )


def _goodput(tries: list[_model_meters.Try], spans: list[Span]) -> float:
    needed = 0.0
    gained = 0.0
    for span in spans:
        seconds = span.end - span.start
        offered = sum(
            span.start <= tried.arrived < span.end and not tried.repeat
            for tried in tries
        )
        need = min(offered, span.capacity * seconds)
        needed += need
        gained += min(need, sum(_within(tried, span) for tried in tries))
    return gained / needed if needed else 1.0


def _within(tried: _model_meters.Try, span: Span) -> float:
    """Return the part of a good try's deepest work done in the span."""
    if not tried.done_at:
        return 0.0
    start, end = tried.work
    overlap = min(end, span.end) - max(start, span.start)
    return max(0.0, overlap) / (end - start) if end > start else 0.0


def _recovery(
    tries: list[_model_meters.Try], before: Span, after: Span
) -> float:
    """Return the seconds until all later windows are as before.

    A window is as before when what was done of its tries is within 5% of
    what was offered or could be held, and its p99 is within 5% of the
    greatest p99 of a window of that length before the trigger.
    """
    base = max(window.p99 for window in _windows(tries, before))
    recovered = after.start
    for index, window in enumerate(_windows(tries, after)):
        need = min(window.first, after.capacity * WINDOW_SECONDS)
        enough = window.done >= (1 - NEAR) * need
        if not enough or window.p99 > (1 + NEAR) * base:
            recovered = after.start + (index + 1) * STEP_SECONDS
    return recovered - after.start


def _windows(tries: list[_model_meters.Try], span: Span) -> list[Window]:
    count = math.floor((span.end - span.start - WINDOW_SECONDS) / STEP_SECONDS)
    found = []
    for index in range(count + 1):
        start = span.start + index * STEP_SECONDS
        end = start + WINDOW_SECONDS
        inside = [tried for tried in tries if start <= tried.arrived < end]
        found.append(_window(inside))
    return found


def _window(tries: list[_model_meters.Try]) -> Window:
    latencies = sorted(
        tried.done_at - tried.arrived for tried in tries if tried.done_at
    )
    first = sum(not tried.repeat for tried in tries)
    rank = math.ceil(PERCENTILE * len(latencies)) - 1
    p99 = latencies[rank] if latencies else 0.0
    return Window(first, len(latencies), p99)


def _amplification(meter: _model_meters.Meter) -> float:
    """Return the most calls a service saw for each try beyond one."""
    calls: dict[str, int] = {}
    tries: dict[str, int] = {}
    for (_, service), count in meter.calls.items():
        calls[service] = calls.get(service, 0) + count
        tries[service] = tries.get(service, 0) + 1
    return max(
        (calls[service] / tries[service] - 1 for service in calls),
        default=0.0,
    )
