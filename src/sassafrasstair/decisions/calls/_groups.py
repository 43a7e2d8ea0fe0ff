"""The usable instances of a service, grouped by their location."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.calls import _delays
from sassafrasstair.decisions.calls import _peers
from sassafrasstair.decisions.calls import _refusals

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.calls import _messages

EJECTED_SHARE_MAX = 0.5
# The targets of a service are grouped again at this interval, and whenever an
# instance becomes usable or unusable.
SORT_SECONDS = 0.1


def sorted_targets(
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
        [each for each in usable if in_same_domain(routes, each)],
        [each for each in usable if each.region == routes.region],
        usable,
        _fastest_seconds(routes, usable, now),
        _refusals.least_share(
            (routes.peers.get(target.vm) for target in usable), now
        ),
        routes.usability_changes,
        now,
    )
    routes.targets_by_service[service] = grouped
    return grouped


def has_untried(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
) -> bool:
    """Return whether an instance can be chosen that has not been tried."""
    if not targets:
        return False
    return bool(untried(sorted_targets(routes, targets, now).usable, tried))


def shortest_service_seconds(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target], now: float
) -> float:
    """Return the shortest service time of the targets, 0 if none is known."""
    if not targets:
        return 0.0
    return sorted_targets(routes, targets, now).fastest_seconds


def in_same_domain(routes: _peers.Routes, target: _messages.Target) -> bool:
    """Return whether the target is in the entrance's own failure domain."""
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


def untried(
    targets: abc.Sequence[_messages.Target], tried: abc.Collection[str]
) -> abc.Sequence[_messages.Target]:
    """Return the targets without the VMs in ``tried``."""
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
