"""Selection of the instance of a service that an attempt is sent to.

Instances in the entrance's own failure domain are preferred, and calls spill
over to other domains by load. Within each group the least busy of a few
instances drawn at random is taken. If some instances are too slow for the
objective of a request, those that can meet it come first.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions.calls import _delays
from sassafrasstair.decisions.calls import _groups
from sassafrasstair.decisions.calls import _peers
from sassafrasstair.decisions.calls import _refusals
from sassafrasstair.decisions.calls import _speeds

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages

# An attempt leaves the own failure domain only if the instance there has no
# free slot, and only for an instance whose expected delay is shorter by more
# than this margin.
SPILL_MARGIN_SECONDS = 0.005
# Expected completions within this factor of each other count as equal.
EQUAL_FACTOR = 1.2
# The share of attempts that are placed as if every instance could meet the
# objective. They show when an instance that was slow has become fast.
PROBE_SHARE = 0.02


def pick_target(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
    need: _messages.Need | None = None,
) -> _messages.Target | None:
    """Return the instance for one attempt, or None if none is usable."""
    choice = choose(routes, targets, tried, now, rng, need)
    return None if choice is None else choice.target


def choose(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
    need: _messages.Need | None = None,
) -> _delays.ScoredTarget | None:
    """Return the instance for one attempt, and what it can expect there.

    The objective in ``need`` matters only if some instance can't meet it by
    its service time alone. Requests with a longer one would otherwise take
    the fast instances from those that need them.
    """
    if not targets:
        return None
    grouped = _groups.sorted_targets(routes, targets, now)
    if need is not None and need.objective_left > 0.0:
        speeds = _speeds.of_route(routes, grouped, need.route, now)
        is_tight = speeds.slowest > need.objective_left
        if is_tight and rng.random() >= PROBE_SHARE:
            return _choose_in_time(
                routes, grouped, speeds, tried, need.objective_left, now, rng
            )
    near = _groups.untried(grouped.same_domain, tried)
    far = _groups.untried(grouped.same_region, tried) or _groups.untried(
        grouped.usable, tried
    )
    return _choose_near_first(routes, near, far, grouped, now, rng)


def choose_leaving(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _delays.ScoredTarget | None:
    """Return an instance whose daemon stops, for want of any other.

    ``tried`` are those that were tried as a last resort before.
    """
    return _choose_among(routes, targets, tried, _peers.is_leaving, now, rng)


def choose_stalled(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _delays.ScoredTarget | None:
    """Return an instance whose daemon is stalled, for want of any other.

    A process that gets no processor for a moment runs the request after it.
    """
    return _choose_among(routes, targets, tried, _peers.may_wait_at, now, rng)


def _choose_among(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    may_take: abc.Callable[[_peers.Routes, str], bool],
    now: float,
    rng: random.Random,
) -> _delays.ScoredTarget | None:
    """Choose among instances of which none is usable for all requests."""
    candidates = [
        target
        for target in targets
        if target.vm not in tried and may_take(routes, target.vm)
    ]
    if not candidates:
        return None
    grouped = _groups.sorted_targets(routes, targets, now)
    near = [
        each for each in candidates if _groups.in_same_domain(routes, each)
    ]
    return _choose_near_first(routes, near, candidates, grouped, now, rng)


def _choose_near_first(
    routes: _peers.Routes,
    near: abc.Sequence[_messages.Target],
    far: abc.Sequence[_messages.Target],
    grouped: _peers.SortedTargets,
    now: float,
    rng: random.Random,
) -> _delays.ScoredTarget | None:
    best = _delays.soonest_of_sample(routes, near, grouped, now, rng)
    if (
        best is not None
        and best.expected_delay <= _delays.FULL_BUSY_SECONDS
        and not _refuses_many(routes, best.target.vm, grouped, now)
    ):
        return best
    other = _delays.soonest_of_sample(routes, far, grouped, now, rng)
    if best is None or other is None:
        return best or other
    if best.expected_delay - other.expected_delay > SPILL_MARGIN_SECONDS:
        return other
    return best


def _refuses_many(
    routes: _peers.Routes, vm: str, grouped: _peers.SortedTargets, now: float
) -> bool:
    """Return whether the repeats after refusals are worth leaving a domain."""
    peer = routes.peers.get(vm)
    if peer is None or peer.refusals <= 0.0:
        return False
    repeats = _refusals.repeat_seconds(peer, grouped.least_refused, now)
    return repeats > SPILL_MARGIN_SECONDS


def _choose_in_time(
    routes: _peers.Routes,
    grouped: _peers.SortedTargets,
    speeds: _speeds.RouteSpeeds,
    tried: abc.Collection[str],
    objective_left: float,
    now: float,
    rng: random.Random,
) -> _delays.ScoredTarget | None:
    """Choose among the instances that can meet the objective.

    If the wait is too long there, or no instance can meet it, the one with
    the least expected completion is taken.
    """
    completion = speeds.completion

    def in_time(
        targets: abc.Sequence[_messages.Target],
    ) -> list[_messages.Target]:
        return [
            target
            for target in targets
            if completion[target.vm] <= objective_left
            and target.vm not in tried
        ]

    near = in_time(grouped.same_domain)
    far = in_time(grouped.same_region) or in_time(grouped.usable)
    choice = _choose_near_first(routes, near, far, grouped, now, rng)
    if choice is not None:
        seconds = completion[choice.target.vm]
        if choice.expected_wait + seconds <= objective_left:
            return _delays.ScoredTarget(
                choice.target, choice.expected_delay, seconds
            )
    return _choose_soonest(routes, grouped, speeds, tried, now, rng)


def _choose_soonest(
    routes: _peers.Routes,
    grouped: _peers.SortedTargets,
    speeds: _speeds.RouteSpeeds,
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _delays.ScoredTarget | None:
    """Choose the least expected completion, near first among equals.

    A request leaves its failure domain only for an instance that is sooner by
    more than the reported times vary. While some instances have reported
    none, any may be drawn, so that they are found out.
    """
    near = _groups.untried(grouped.same_domain, tried)
    far = _groups.untried(grouped.same_region, tried) or _groups.untried(
        grouped.usable, tried
    )
    other = _delays.soonest_of_sample(
        routes, far, grouped, now, rng, speeds.completion
    )
    if not speeds.all_reported:
        return other
    best = _delays.soonest_of_sample(
        routes, near, grouped, now, rng, speeds.completion
    )
    if best is None or other is None:
        return best or other
    if best.expected_seconds > EQUAL_FACTOR * other.expected_seconds:
        return other
    return best
