"""Selection of the instance of a service that an attempt is sent to.

Instances in the entrance's own failure domain are preferred, and calls spill
over to other domains by load. Within each group the least loaded of a few
instances drawn at random is taken (Mitzenmacher, "The Power of Two Choices
in Randomized Load Balancing", 2001).
"""

from __future__ import annotations

import enum
import math
import typing

from sassafrasstair.decisions.calls import _peers

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages

EJECTED_SHARE_MAX = 0.5
# The expected wait at a silent instance is raised by this much until its ping
# has ended. That may take half a second, and requests that are sent meanwhile
# to a VM that is gone can't be repeated unless they are idempotent.
SILENT_PENALTY_SECONDS = 0.25
# A reported load decays with a time constant that is the greater one of this
# many seconds and this many service times.
LOAD_DECAY_SECONDS = 0.1
LOAD_DECAY_SERVICE_TIMES = 2.0
# An attempt leaves the own failure domain only if the instance there has no
# free slot, and only for an instance whose expected delay is shorter by more
# than this margin.
SPILL_MARGIN_SECONDS = 0.005
# How many random draws are made, with duplicates, to find the least busy
# instance.
CANDIDATES_DRAWN = 4
# An instance counts as slow if its service time exceeds its own usual service
# time, or that of the fastest instance of its service, by these factors.
# Instances differ in speed, and one that is always slower is no outlier: when
# a service time of 2.5 times that of the fastest was the only criterion, a
# third of the calls left their failure domain under normal load.
SLOW_FACTOR_OF_USUAL = 2.5
SLOW_FACTOR_OF_FASTEST = 6.0
# A reported service time is valid for this long, so that a slow instance gets
# a call now and then, which shows whether it is still slow.
SERVICE_TIME_VALID_SECONDS = 1.0
# A reported limit is valid for this long. A rate limit may leave an instance
# so little that no call would reach it any more and show that it is gone.
LIMIT_VALID_SECONDS = 1.0
# The targets of a service are grouped again at this interval, and whenever an
# instance becomes usable or unusable.
SORT_SECONDS = 0.1
# The expected delay at an instance that is fully busy but has no queue. It
# makes the less busy instance preferred when no instance has a queue.
FULL_BUSY_SECONDS = 0.02


class ScoredTarget(typing.NamedTuple):
    """A target, and the expected delay of an attempt there in seconds."""

    target: _messages.Target
    expected_delay: float


def pick_target(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _messages.Target | None:
    """Return the instance for one attempt, or None if none is usable."""
    if not targets:
        return None
    grouped = _sorted_targets(routes, targets, now)
    near = _untried(grouped.same_domain, tried)
    best = _least_busy_of_sample(
        routes, near, grouped.fastest_seconds, now, rng
    )
    if best is not None and best.expected_delay <= FULL_BUSY_SECONDS:
        return best.target
    far = _untried(grouped.same_region, tried) or _untried(
        grouped.usable, tried
    )
    other = _least_busy_of_sample(
        routes, far, grouped.fastest_seconds, now, rng
    )
    if best is None:
        return None if other is None else other.target
    if (
        other is not None
        and best.expected_delay - other.expected_delay > SPILL_MARGIN_SECONDS
    ):
        return other.target
    return best.target


def expected_delay(
    routes: _peers.Routes, vm: str, now: float, fastest_seconds: float = 0.0
) -> float:
    """Return the expected delay of an attempt at an instance, in seconds.

    Up to ``FULL_BUSY_SECONDS`` the instance has a free slot. The delay
    depends on the waiting time and not on the length of the queue, because
    even a short queue means a long wait at an instance that has become slow.
    ``fastest_seconds`` is the service time at the fastest instance, 0 if it
    is not known. The part of a slow instance's service time that exceeds the
    threshold for slowness counts as waiting time.
    """
    peer = routes.peers.get(vm)
    if peer is None:
        return 0.0
    time_constant = max(
        LOAD_DECAY_SECONDS, LOAD_DECAY_SERVICE_TIMES * peer.service_seconds
    )
    decay = math.exp(-(now - peer.heard_at) / time_constant)
    limit = peer.limit
    if now - peer.heard_at >= LIMIT_VALID_SECONDS:
        limit = max(limit, _peers.DEFAULT_LIMIT)
    busy = peer.busy * decay + (peer.sent_since_heard + 1) / limit
    wait = max(0.0, busy - 1.0) * peer.service_seconds
    if (
        fastest_seconds > 0.0
        and now - peer.heard_at < SERVICE_TIME_VALID_SECONDS
    ):
        wait += max(
            0.0, peer.service_seconds - _slow_threshold(peer, fastest_seconds)
        )
    if _peers.is_silent(peer, now):
        wait += SILENT_PENALTY_SECONDS
    return wait + FULL_BUSY_SECONDS * min(1.0, busy)


def shortest_service_seconds(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target], now: float
) -> float:
    """Return the shortest service time of the targets, 0 if none is known."""
    if not targets:
        return 0.0
    return _sorted_targets(routes, targets, now).fastest_seconds


class CrossingReason(enum.Enum):
    """Why a call leaves its failure domain.

    ``TRIED`` means that all instances in the domain have been tried, and
    ``SILENT`` and ``SLOW`` that all untried ones are silent or slow.
    """

    NO_INSTANCE = "no_instance"
    TRIED = "tried"
    SILENT = "silent"
    SLOW = "slow"
    BUSY = "busy"


def reason_for_crossing(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    target: _messages.Target,
    tried: abc.Collection[str],
    now: float,
) -> CrossingReason | None:
    """Return why ``target`` in another failure domain was picked.

    Returns None if it is in the entrance's own domain. ``tried`` are the VMs
    that were tried before it.
    """
    if _in_same_domain(routes, target):
        return None
    grouped = _sorted_targets(routes, targets, now)
    if not grouped.same_domain:
        return CrossingReason.NO_INSTANCE
    near = _untried(grouped.same_domain, tried)
    peers = [routes.peers.get(each.vm) for each in near]
    if not near:
        return CrossingReason.TRIED
    if all(peer is not None and _peers.is_silent(peer, now) for peer in peers):
        return CrossingReason.SILENT
    if all(
        peer is not None
        and peer.service_seconds
        > _slow_threshold(peer, grouped.fastest_seconds)
        for peer in peers
    ):
        return CrossingReason.SLOW
    return CrossingReason.BUSY


def _slow_threshold(peer: _peers.Peer, fastest_seconds: float) -> float:
    """Return the service time above which the instance counts as slow."""
    slow = SLOW_FACTOR_OF_FASTEST * fastest_seconds
    if peer.samples < _peers.USUAL_MIN_SAMPLES:
        return slow
    return min(slow, SLOW_FACTOR_OF_USUAL * peer.usual_service_seconds)


def _sorted_targets(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target], now: float
) -> _peers.SortedTargets:
    """Return the usable targets grouped by location, cached for a while.

    A service has dozens of instances. Grouping them for each call would cost
    more than all other decisions about the call.
    """
    service = targets[0].service
    grouped = routes.targets_by_service.get(service)
    if (
        grouped is not None
        and grouped.targets is targets
        and grouped.usability_changes == routes.usability_changes
        and now - grouped.sorted_at < SORT_SECONDS
    ):
        return grouped
    usable = _usable(routes, targets)
    grouped = _peers.SortedTargets(
        targets,
        [each for each in usable if _in_same_domain(routes, each)],
        [each for each in usable if each.region == routes.region],
        usable,
        _fastest_seconds(routes, usable, now),
        routes.usability_changes,
        now,
    )
    routes.targets_by_service[service] = grouped
    return grouped


def _in_same_domain(routes: _peers.Routes, target: _messages.Target) -> bool:
    return target.failure_domain == routes.failure_domain


def _fastest_seconds(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target], now: float
) -> float:
    """Return the shortest service time reported recently, 0 if none was."""
    peers = (routes.peers.get(target.vm) for target in targets)
    return min(
        (
            peer.service_seconds
            for peer in peers
            if peer is not None
            and peer.service_seconds > 0.0
            and now - peer.heard_at < SERVICE_TIME_VALID_SECONDS
        ),
        default=0.0,
    )


def _untried(
    targets: abc.Sequence[_messages.Target], tried: abc.Collection[str]
) -> abc.Sequence[_messages.Target]:
    if not tried:
        return targets
    return [target for target in targets if target.vm not in tried]


def _usable(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target]
) -> abc.Sequence[_messages.Target]:
    """Return the targets that are neither unreachable nor ejected.

    A fault in this VM's own network makes all other VMs look failed. To keep
    it from refusing everything, ejected targets are included if their share
    exceeds ``EJECTED_SHARE_MAX``. If all targets are unreachable, none is
    returned unless ``try_unreachable`` is set: the caller of an attempt would
    wait for a connection that can't be made, or the attempt would be lost on
    a connection that is already broken.
    """
    peers = routes.peers
    reachable = [
        target
        for target in targets
        if target.vm not in peers or not peers[target.vm].unreachable
    ]
    kept = [
        target
        for target in reachable
        if target.vm not in peers or not peers[target.vm].ejected
    ]
    if len(reachable) - len(kept) > EJECTED_SHARE_MAX * len(reachable):
        kept = reachable
    if kept or not routes.try_unreachable:
        return kept
    return targets


def _least_busy_of_sample(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    fastest_seconds: float,
    now: float,
    rng: random.Random,
) -> ScoredTarget | None:
    if not targets:
        return None
    count = len(targets)
    drawn = dict.fromkeys(
        int(rng.random() * count) for _ in range(CANDIDATES_DRAWN)
    )
    scored = [
        ScoredTarget(
            targets[index],
            expected_delay(routes, targets[index].vm, now, fastest_seconds),
        )
        for index in drawn
    ]
    return min(scored, key=lambda each: each.expected_delay)
