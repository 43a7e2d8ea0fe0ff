"""Selection of the instance of a service that an attempt is sent to.

Instances in the entrance's own failure domain are preferred, and calls spill
over to other domains by load. Within each group the least busy of a few
instances drawn at random is taken.
"""

from __future__ import annotations

import enum
import typing

from sassafrasstair.decisions.calls import _delays
from sassafrasstair.decisions.calls import _peers

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages

EJECTED_SHARE_MAX = 0.5
# An attempt leaves the own failure domain only if the instance there has no
# free slot, and only for an instance whose expected delay is shorter by more
# than this margin.
SPILL_MARGIN_SECONDS = 0.005
# The targets of a service are grouped again at this interval, and whenever an
# instance becomes usable or unusable.
SORT_SECONDS = 0.1


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
    best = _delays.least_busy_of_sample(
        routes, near, grouped.fastest_seconds, now, rng
    )
    if best is not None and best.expected_delay <= _delays.FULL_BUSY_SECONDS:
        return best.target
    far = _untried(grouped.same_region, tried) or _untried(
        grouped.usable, tried
    )
    other = _delays.least_busy_of_sample(
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
        > _delays.slow_threshold(peer, grouped.fastest_seconds)
        for peer in peers
    ):
        return CrossingReason.SLOW
    return CrossingReason.BUSY


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
            and now - peer.heard_at < _delays.SERVICE_TIME_VALID_SECONDS
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
