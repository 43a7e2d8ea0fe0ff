"""The retry budget of a service, kept by each daemon without the others.

All daemons together may repeat a share of the requests for a service in a
window of time, plus some slack. Each spends its share of its own requests
and its part of the slack, so that the sum holds however they are spread.
"""

from __future__ import annotations

import dataclasses

OWN_SHARE = 0.2
"""The part of the ratio that one hop spends. A repeated request makes its
calls again, and these count as repeats further down: with chains of four
hops, each at the whole ratio, the last service would get four times it, and
each at a fifth stays within."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """``slack`` is the repeats of all daemons together beyond the ratio."""

    ratio: float = 0.2
    slack: float = 20.0
    window_seconds: float = 10.0


@dataclasses.dataclass(slots=True)
class Window:
    """Requests and repeats by second of the clock, for one service."""

    requests: dict[int, int] = dataclasses.field(default_factory=dict)
    repeats: dict[int, int] = dataclasses.field(default_factory=dict)


def new_window() -> Window:
    """Return a window without requests."""
    return Window()


def note_request(window: Window, now: float) -> None:
    """Count one request for the service."""
    second = int(now)
    window.requests[second] = window.requests.get(second, 0) + 1


def allow(
    window: Window, rules: BudgetRules, daemons: int, now: float
) -> bool:
    """Count one repeat if the budget allows it."""
    second = int(now)
    since = second - int(rules.window_seconds)
    for counts in (window.requests, window.repeats):
        for old in [key for key in counts if key <= since]:
            del counts[old]
    earned = OWN_SHARE * rules.ratio * sum(window.requests.values())
    given = OWN_SHARE * rules.slack / max(1, daemons)
    if sum(window.repeats.values()) + 1 > earned + max(1.0, given):
        return False
    window.repeats[second] = window.repeats.get(second, 0) + 1
    return True
