"""The retry budget of a service, kept by each daemon independently.

In any window of time, all daemons together may repeat a certain ratio of the
requests for a service, plus a fixed number of repeats, the slack. Each daemon
may repeat a ratio of its own requests and use its part of the slack. This
keeps the total within the budget, however requests are distributed.

If the depth of the service is known, the repeats go to the requests of the
highest rank. An upstream's calls have the rank of the request that they are
part of, so that the repeats of one request are all allowed or all denied: a
request that needs eight calls fails for the one that is not repeated.

A repeat is a further attempt of a daemon here, which ``calls`` calls a retry;
there, a repeat is a request that the caller itself sends again.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
import typing

from sassafrasstair.decisions.requests import _depths

if typing.TYPE_CHECKING:
    from collections import abc

RANK_STEPS = 8
"""Requests of one importance are divided into this many levels by rank."""
RECENT_SECONDS = 2
"""How many seconds of the clock, the current one included, count as recent."""
PRIOR_REQUESTS = 5.0
"""With fewer requests than this, their share that asks for a repeat is mostly
taken from a larger group."""
EARNING_WINDOWS = 2
"""How many windows of requests earn repeats, if the depth is known."""
KEPT_SECONDS_MIN = 60
"""For how long requests are counted while no repeat is asked for."""


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
class Counts:
    """Counts of one second of the clock, by level of rank.

    ``asked`` counts the requests that could use a repeat, and ``repeats``
    those of them that got one.
    """

    requests: dict[int, int] = dataclasses.field(default_factory=dict)
    asked: dict[int, int] = dataclasses.field(default_factory=dict)
    repeats: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Window:
    """Counts of requests and repeats of one service, by second of the clock.

    ``slack`` is the number of repeats beyond the ratio that this daemon may
    use. ``hop`` is what limits its repeats. While the depth is unknown, they
    are allowed in order of arrival. ``begun`` holds the ranks of requests
    that got a repeat in the window, with its time. Another call of such a
    request comes before those of others, or the first repeat was in vain.
    Counts of seconds longer ago than ``kept_seconds`` are dropped.
    """

    slack: float = 0.0
    hop: _depths.Hop = _depths.UNKNOWN_HOP
    seconds: dict[int, Counts] = dataclasses.field(default_factory=dict)
    begun: dict[float, float] = dataclasses.field(default_factory=dict)
    kept_seconds: int = KEPT_SECONDS_MIN


def new_window(slack: float) -> Window:
    """Return a window without requests or repeats."""
    return Window(slack)


def slack_part(
    rules: BudgetRules,
    service: str,
    hosts: abc.Iterable[str],
    own_host: str,
    hop: _depths.Hop = _depths.UNKNOWN_HOP,
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
    repeats = _depths.slack_share(rules.ratio, hop) * rules.slack
    others = list(hosts)
    if repeats >= len(others) + 1:
        return repeats / (len(others) + 1)
    own_key = _order_key(service, own_host)
    position = sum(_order_key(service, host) < own_key for host in others)
    return 1.0 if position < math.floor(repeats) else 0.0


def note_request(window: Window, now: float, rank: float = 0.0) -> None:
    """Count one request for the service."""
    counts = _counts_at(window, int(now)).requests
    level = _level(rank)
    counts[level] = counts.get(level, 0) + 1


def allow_repeat(
    window: Window, rules: BudgetRules, now: float, rank: float = 0.0
) -> bool:
    """Count one repeat if the budget allows it, and return whether it does."""
    current = _counts_at(window, int(now))
    level = _level(rank)
    current.asked[level] = current.asked.get(level, 0) + 1
    if not is_repeat_allowed(window, rules, now, rank):
        return False
    if window.hop.depth is not None:
        window.begun.setdefault(rank, now)
    current.repeats[level] = current.repeats.get(level, 0) + 1
    return True


def is_repeat_allowed(
    window: Window, rules: BudgetRules, now: float, rank: float
) -> bool:
    """Return whether the budget allows one repeat.

    The window slides, but counts are kept for whole seconds. For a second
    that is only partly in the window, repeats count and requests don't.
    """
    second = int(now)
    width = math.ceil(rules.window_seconds)
    oldest = second - width
    earning_seconds = EARNING_WINDOWS * width
    window.kept_seconds = max(KEPT_SECONDS_MIN, earning_seconds)
    _drop_before(window.seconds, second - earning_seconds)
    _drop_begun_before(window, now - rules.window_seconds)
    allowed = _earned(window, rules, second) + window.slack
    if _spent(window, oldest, math.inf) + 1 > allowed:
        return False
    if window.hop.depth is None or rank in window.begun:
        return True
    level = _level(rank)
    _counts_at(window, second)
    reserved = _expected_above(window, rules, level, now)
    return _spent(window, oldest, level) + 1 <= allowed - reserved


def _earned(window: Window, rules: BudgetRules, second: int) -> float:
    """Return how many repeats the requests allow.

    The budget counts the requests of a window or of the one before it,
    whichever are more. Where most requests fail, a chain's later calls are
    missing. If the depth is known, the mean of both is used: unlike the
    greater one, its sum over all daemons is never more than the budget's.
    """
    width = math.ceil(rules.window_seconds)
    windows = 1 if window.hop.depth is None else EARNING_WINDOWS
    share = _depths.ratio_share(rules.ratio, window.hop)
    requests = sum(
        sum(counts.requests.values())
        for at, counts in window.seconds.items()
        if at > second - windows * width
    )
    return share * rules.ratio * requests / windows


def _expected_above(
    window: Window, rules: BudgetRules, level: int, now: float
) -> float:
    """Return how many repeats higher levels will ask for within a window.

    This follows from their recent requests and the share of them that asks
    for a repeat in the current second. With few requests, that of all levels
    counts as well, and that of the second before: what makes one request fail
    usually makes the others fail, too.
    """
    since = int(now) - RECENT_SECONDS + 1
    recent = [each for at, each in window.seconds.items() if at >= since]
    current = window.seconds[int(now)]
    share = 0.0
    for counts, lowest in ((recent, -1), ([current], -1), ([current], level)):
        requests = _above((each.requests for each in counts), lowest)
        asked = _above((each.asked for each in counts), lowest)
        share = (asked + PRIOR_REQUESTS * share) / (requests + PRIOR_REQUESTS)
    per_second = _above((each.requests for each in recent), level) / (
        now - since
    )
    return share * per_second * rules.window_seconds


def _above(tables: abc.Iterable[abc.Mapping[int, int]], level: int) -> int:
    """Return the sum of the counts of all levels above ``level``."""
    return sum(
        count for table in tables for at, count in table.items() if at > level
    )


def _spent(window: Window, oldest: int, level: float) -> int:
    """Return the number of repeats of this level and those below it."""
    return sum(
        count
        for second, each in window.seconds.items()
        if second >= oldest
        for at, count in each.repeats.items()
        if at <= level
    )


def _counts_at(window: Window, second: int) -> Counts:
    counts = window.seconds.get(second)
    if counts is None:
        _drop_before(window.seconds, second - window.kept_seconds)
        counts = window.seconds[second] = Counts()
    return counts


def _level(rank: float) -> int:
    return int(rank * RANK_STEPS)


def _drop_before(seconds: dict[int, Counts], since: int) -> None:
    for second in [key for key in seconds if key < since]:
        del seconds[second]


def _drop_begun_before(window: Window, since: float) -> None:
    for rank in [rank for rank, at in window.begun.items() if at < since]:
        del window.begun[rank]


def _order_key(service: str, host: str) -> bytes:
    key = f"{service} {host}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
