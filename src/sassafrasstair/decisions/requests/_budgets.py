"""The retry budget of a service, kept by each daemon independently.

In any window of time, all daemons together may repeat a certain ratio of the
requests for a service, plus a fixed number of repeats, the slack. Each daemon
may repeat a ratio of its own requests and use its part of the slack. This
keeps the total within the budget, however requests are distributed.

A repeat is a further attempt of a daemon here, which ``calls`` calls a retry;
there, a repeat is a request that the caller itself sends again.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

HOP_SHARE = 0.2
"""The part of the ratio and of the slack that one hop may spend. A repeated
request makes its calls again, and these count as repeats further down the
chain. In a chain of four hops that each spend the whole ratio, the last
service would get four times the ratio; with a fifth for each hop, the total
stays within the ratio."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """The retry budget of a service, for all daemons together.

    In a window of ``window_seconds``, the repeats may be ``ratio`` times the
    number of requests, plus ``slack``.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_seconds: float = 10.0


@dataclasses.dataclass(slots=True)
class Window:
    """Counts of requests and repeats of one service, by second of the clock.

    ``slack`` is the number of repeats beyond the ratio that this daemon may
    use.
    """

    slack: float = 0.0
    requests: dict[int, int] = dataclasses.field(default_factory=dict)
    repeats: dict[int, int] = dataclasses.field(default_factory=dict)


def new_window(slack: float) -> Window:
    """Return a window without requests or repeats."""
    return Window(slack)


def slack_part(
    rules: BudgetRules, service: str, hosts: abc.Iterable[str], own_host: str
) -> float:
    """Return the part of the slack that the daemon at ``own_host`` may use.

    ``hosts`` are the hosts of the other daemons. All daemons get an equal
    part if that is at least one repeat. Otherwise there are fewer repeats
    than daemons: daemons are ordered by a hash that differs for each service,
    and the first ones get one repeat each.

    Giving each daemon at least one repeat would exceed the slack: 195 daemons
    made up to 195 repeats at each of four hops, where 213 repeats were
    allowed in total.
    """
    repeats = HOP_SHARE * rules.slack
    others = list(hosts)
    if repeats >= len(others) + 1:
        return repeats / (len(others) + 1)
    own_key = _order_key(service, own_host)
    position = sum(_order_key(service, host) < own_key for host in others)
    return 1.0 if position < math.floor(repeats) else 0.0


def note_request(window: Window, now: float) -> None:
    """Count one request for the service."""
    second = int(now)
    window.requests[second] = window.requests.get(second, 0) + 1


def allow_repeat(window: Window, rules: BudgetRules, now: float) -> bool:
    """Count one repeat if the budget allows it, and return whether it does.

    The window slides, but counts are kept for whole seconds. For a second
    that is only partly in the window, repeats count and requests don't.
    """
    second = int(now)
    since = second - math.ceil(rules.window_seconds)
    _drop_before(window.requests, since + 1)
    _drop_before(window.repeats, since)
    earned = HOP_SHARE * rules.ratio * sum(window.requests.values())
    if sum(window.repeats.values()) + 1 > earned + window.slack:
        return False
    window.repeats[second] = window.repeats.get(second, 0) + 1
    return True


def _drop_before(counts: dict[int, int], since: int) -> None:
    for second in [key for key in counts if key < since]:
        del counts[second]


def _order_key(service: str, host: str) -> bytes:
    key = f"{service} {host}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
