"""The retry budget of a service, kept by each daemon without the others.

All daemons together may repeat a share of the requests for a service in any
window of time, plus some slack. Each spends its share of its own requests
and its part of the slack, so that the sum holds however they are spread.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

HOP_SHARE = 0.2
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
    """Requests and repeats by second of the clock, for one service.

    ``slack`` is this daemon's part of the repeats beyond the ratio.
    """

    slack: float = 0.0
    requests: dict[int, int] = dataclasses.field(default_factory=dict)
    repeats: dict[int, int] = dataclasses.field(default_factory=dict)


def new_window(slack: float) -> Window:
    """Return a window without requests."""
    return Window(slack)


def slack_part(
    rules: BudgetRules, service: str, hosts: abc.Iterable[str], own: str
) -> float:
    """Return the part of the slack that the daemon at ``own`` may spend.

    ``hosts`` are those of the other daemons. An equal part, where that is a
    repeat or more. Else there are fewer repeats than daemons, and the first
    of an order, another one for each service, have one each.

    Failure: with one repeat for each of 195 daemons whatever the slack, they
    repeated up to 195 times at each of four hops where 213 repeats at all
    were allowed.
    """
    repeats = HOP_SHARE * rules.slack
    others = list(hosts)
    if repeats >= len(others) + 1:
        return repeats / (len(others) + 1)
    mark = _place(service, own)
    rank = sum(_place(service, host) < mark for host in others)
    return 1.0 if rank < math.floor(repeats) else 0.0


def note_request(window: Window, now: float) -> None:
    """Count one request for the service."""
    second = int(now)
    window.requests[second] = window.requests.get(second, 0) + 1


def allow_repeat(window: Window, rules: BudgetRules, now: float) -> bool:
    """Count one repeat if the budget allows it.

    Windows slide, and seconds are counted whole: repeats of a second that
    is only partly in the window count, requests don't.
    """
    second = int(now)
    since = second - math.ceil(rules.window_seconds)
    _forget(window.requests, since + 1)
    _forget(window.repeats, since)
    earned = HOP_SHARE * rules.ratio * sum(window.requests.values())
    if sum(window.repeats.values()) + 1 > earned + window.slack:
        return False
    window.repeats[second] = window.repeats.get(second, 0) + 1
    return True


def _forget(counts: dict[int, int], since: int) -> None:
    for old in [key for key in counts if key < since]:
        del counts[old]


def _place(service: str, host: str) -> bytes:
    key = f"{service} {host}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
