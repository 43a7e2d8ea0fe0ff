"""Divides a retry budget among the hops of a chain, by depth.

A repeated request makes its calls again, and these count as repeats further
down. The hops of a chain must therefore share the budget. The depth of a
service is the greatest number of calls made one within the other below it; a
service whose upstream makes no calls has depth 0. A hop that calls a service
of depth k gets half the share of the hop below it, so that most of the budget
goes to the last hop, where a repeat makes no further calls.

Each daemon learns the depth of the services it calls from their answers, and
whether its own upstream makes calls. While a depth is unknown, the hop gets
``HOP_SHARE``. If a daemon above may do so, the hops below get no more than
that leaves them.

Answers also report how many calls of any one service a run leads to, in all.
A part of the slack is divided by that number.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from sassafrasstair.decisions.requests import _fanouts

HOP_SHARE = 0.2
"""The part of the ratio and of the slack that a hop may spend if the depth
below it is unknown. In a chain of four hops that each spend the whole ratio,
the last service would get four times the ratio; with a fifth for each hop,
the total stays within the ratio."""
HOPS_ABOVE_MAX = 3
"""The number of hops for which ``HOP_SHARE`` is meant, without the last."""
DEPTH_MAX = 16
"""Services that call each other in a cycle have no depth. Their reports grow
up to this depth, from which on there are no repeats."""
IDLE_RUNS_MIN = 100
"""An upstream that completes this many requests without a call makes none."""
IDLE_SECONDS_MIN = 5.0
"""The same for the time since the first of these requests. Callees need some
calls before they can tell that only upstreams make them."""
CALLS_MIN = 10
"""An upstream calls a service if it made so many calls lately. A callee may
take a route for internal by mistake, for a few calls. If that made services
seem to call each other in a cycle, there would be no repeats."""
HOLD_WINDOWS = 6.0
"""How long a report or call counts, in windows of the budget. A share grows
only after the report for which it was smaller has expired."""
CALLS_MAX = 10**6
"""The greatest number of calls in a report. It grows without limit where
services call each other in a cycle."""
REPORT_SECONDS = 0.1
"""How long a report of the calls below the upstream is kept."""
UNSHARED_WINDOWS = 1.5
"""How long a request counts whose sender does not divide by depth. Repeats
that it made then have left the window by the time that the share grows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """What limits a daemon's repeats for a service.

    ``depth`` is that of the service, None if it is unknown. ``is_shared`` is
    set if all daemons above are known to divide by depth. ``calls`` is how
    many calls of any one service a run leads to at most, None if that is
    unknown or the depth is 0.
    """

    depth: int | None = None
    is_shared: bool = False
    calls: int | None = None


UNKNOWN_HOP = Hop()


@dataclasses.dataclass(frozen=True, slots=True)
class CallsBelow:
    """What a daemon reports of the calls below its upstream.

    ``depth`` is the upstream's depth, and ``calls`` how many calls of any one
    service a run leads to at most. Each is None if it is unknown.
    """

    depth: int | None = None
    calls: int | None = None


UNKNOWN_CALLS = CallsBelow()


@dataclasses.dataclass(slots=True)
class Depths:
    """What a daemon knows of the depths below it.

    ``reported`` holds the time of the last report of each depth, by service.
    ``called`` holds the times of the upstream's last calls, by service;
    ``idle_runs`` counts the requests that it completed since its last call,
    the first of them at ``idle_since``. ``unshared_at`` is the time of the
    last request for the upstream from a daemon that does not divide the
    budget by depth, or is called by one that does not.

    ``reported_calls`` holds the reports of calls below as ``reported`` does
    those of depths, and ``fanouts`` the upstream's own calls, by service.
    ``below`` is the last report of this daemon, made at ``below_at``.
    """

    reported: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    called: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )
    idle_runs: int = 0
    idle_since: float = 0.0
    unshared_at: float = -math.inf
    reported_calls: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    fanouts: dict[str, _fanouts.Fanout] = dataclasses.field(
        default_factory=dict
    )
    below: CallsBelow = UNKNOWN_CALLS
    below_at: float = -math.inf


def new_depths() -> Depths:
    """Return the state of a daemon that knows no depth."""
    return Depths()


def ratio_share(ratio: float, hop: Hop) -> float:
    """Return the part of the ratio that a hop may spend.

    The product of ``1 + ratio * share`` over all depths is at most the
    exponential of ``2 * ratio * share`` at depth 0, which is ``1 + ratio``.

    If hops above may spend ``HOP_SHARE`` each, the last one may spend what
    ``HOPS_ABOVE_MAX`` of them leave, and the others at most ``HOP_SHARE``.
    """
    if hop.depth is None:
        return HOP_SHARE
    if hop.depth >= DEPTH_MAX:
        return 0.0
    last_hop = math.log1p(ratio) / (2.0 * ratio) if ratio > 0.0 else 0.5
    share = math.ldexp(last_hop, -hop.depth)
    if hop.is_shared:
        return share
    limit = HOP_SHARE
    if hop.depth == 0:
        limit = max(limit, _left_by_hops_above(ratio))
    return min(share, limit)


def _left_by_hops_above(ratio: float) -> float:
    if ratio <= 0.0:
        return HOP_SHARE
    spent = (1.0 + ratio * HOP_SHARE) ** HOPS_ABOVE_MAX
    return ((1.0 + ratio) / spent - 1.0) / ratio


def slack_share(ratio: float, hop: Hop) -> float:
    """Return the part of the slack that a hop may spend.

    A repeat beyond the ratio is multiplied by the repeats of the hops below,
    by at most ``1 + ratio``, and by the calls that a run leads to. If their
    number is unknown, a hop above the last one gets nothing.
    """
    if hop.depth is None:
        return HOP_SHARE
    if hop.depth >= DEPTH_MAX:
        return 0.0
    share = math.ldexp(0.5 / (1.0 + ratio), -hop.depth)
    if hop.depth == 0:
        return share if hop.is_shared else min(HOP_SHARE, share)
    if hop.calls is None:
        return 0.0
    return min(HOP_SHARE, share) / max(1, hop.calls)


def note_report(
    depths: Depths,
    service: str,
    depth: int | None,
    now: float,
    calls: int | None = None,
) -> None:
    """Record the depth and calls that an instance's daemon reported."""
    if depth is not None:
        times = depths.reported.setdefault(service, {})
        times[min(depth, DEPTH_MAX)] = now
    if calls is not None:
        times = depths.reported_calls.setdefault(service, {})
        times[min(calls, CALLS_MAX)] = now


def note_call(
    depths: Depths, service: str, now: float, rank: float = 0.0
) -> None:
    """Record that this VM's upstream called the service."""
    times = depths.called.get(service)
    if times is None:
        times = collections.deque(maxlen=CALLS_MIN)
        depths.called[service] = times
        depths.fanouts[service] = _fanouts.Fanout()
    times.append(now)
    _fanouts.count_call(depths.fanouts[service], rank, now)
    depths.idle_runs = 0


def note_run(depths: Depths, now: float) -> None:
    """Count one request that this VM's upstream completed."""
    if depths.idle_runs == 0:
        depths.idle_since = now
    depths.idle_runs += 1


def note_inbound(depths: Depths, shares_by_depth: bool, now: float) -> None:
    """Record whether the daemon that sends a request divides by depth."""
    if not shares_by_depth:
        depths.unshared_at = now


def depth_of(
    depths: Depths, service: str, window_seconds: float, now: float
) -> int | None:
    """Return the greatest depth reported lately, None if none was."""
    times = depths.reported.get(service)
    if not times:
        return None
    hold_seconds = HOLD_WINDOWS * window_seconds
    for depth in [
        depth for depth, at in times.items() if now - at > hold_seconds
    ]:
        del times[depth]
    return max(times, default=None)


def own_depth(depths: Depths, window_seconds: float, now: float) -> int | None:
    """Return the depth of this VM's upstream, None if it is unknown."""
    below = [
        depth_of(depths, service, window_seconds, now)
        for service in depths.called
        if _is_called(depths, service, window_seconds, now)
    ]
    known = [depth for depth in below if depth is not None]
    if len(known) < len(below):
        return None
    if known:
        return min(max(known) + 1, DEPTH_MAX)
    is_idle = (
        depths.idle_runs >= IDLE_RUNS_MIN
        and now - depths.idle_since >= IDLE_SECONDS_MIN
    )
    return 0 if is_idle else None


def calls_below(
    depths: Depths, window_seconds: float, now: float
) -> CallsBelow:
    """Return what to report with an answer.

    A known depth is kept for a short while: answers are frequent.
    """
    age = now - depths.below_at
    if depths.below.depth is None or age > REPORT_SECONDS:
        depth = own_depth(depths, window_seconds, now)
        calls = own_calls(depths, window_seconds, now) if depth else None
        depths.below = CallsBelow(depth, calls)
        depths.below_at = now
    return depths.below


def own_calls(depths: Depths, window_seconds: float, now: float) -> int | None:
    """Return how many calls of any one service a run here leads to at most.

    This adds up the calls of all services, which is more if several of them
    don't lead to the same one. None if it is unknown or there are none.
    """
    since = now - HOLD_WINDOWS * window_seconds
    total = 0
    for service, fanout in depths.fanouts.items():
        if not _is_called(depths, service, window_seconds, now):
            continue
        made = _fanouts.greatest_since(fanout.greatest, since)
        below = _calls_from(depths, service, window_seconds, now)
        if made is None or below is None:
            return None
        total += made * below
    return min(total, CALLS_MAX) or None


def _calls_from(
    depths: Depths, service: str, window_seconds: float, now: float
) -> int | None:
    """Return how many calls of one service a call adds, itself or below."""
    if depth_of(depths, service, window_seconds, now) == 0:
        return 1
    calls = _reported_calls(depths, service, window_seconds, now)
    return None if calls is None else max(1, calls)


def _reported_calls(
    depths: Depths, service: str, window_seconds: float, now: float
) -> int | None:
    times = depths.reported_calls.get(service)
    if not times:
        return None
    since = now - HOLD_WINDOWS * window_seconds
    return _fanouts.greatest_since(times, since)


def find_hop(
    depths: Depths, service: str, window_seconds: float, now: float
) -> Hop:
    """Return what limits the repeats of requests for the service.

    Requests of clients have no hop above. An upstream's calls have, and any
    request that this upstream runs may be the one that they are part of.
    """
    depth = depth_of(depths, service, window_seconds, now)
    if depth is None:
        return UNKNOWN_HOP
    calls = None
    if depth > 0:
        calls = _reported_calls(depths, service, window_seconds, now)
    return Hop(depth, _is_shared(depths, service, window_seconds, now), calls)


def shares_by_depth(
    depths: Depths, service: str, window_seconds: float, now: float
) -> bool:
    """Return whether this daemon and all above it divide by depth."""
    depth = depth_of(depths, service, window_seconds, now)
    return depth is not None and _is_shared(
        depths, service, window_seconds, now
    )


def _is_shared(
    depths: Depths, service: str, window_seconds: float, now: float
) -> bool:
    unshared_seconds = UNSHARED_WINDOWS * window_seconds
    return (
        not _is_called(depths, service, window_seconds, now)
        or now - depths.unshared_at > unshared_seconds
    )


def _is_called(
    depths: Depths, service: str, window_seconds: float, now: float
) -> bool:
    """Return whether this VM's upstream called the service lately."""
    times = depths.called.get(service)
    if times is None or len(times) < CALLS_MIN:
        return False
    return now - times[0] <= HOLD_WINDOWS * window_seconds
