"""Why an attempt leaves the failure domain of its entrance."""

from __future__ import annotations

import enum
import typing

from sassafrasstair.decisions.calls import _delays
from sassafrasstair.decisions.calls import _groups
from sassafrasstair.decisions.calls import _peers
from sassafrasstair.decisions.calls import _speeds

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.calls import _messages


class CrossingReason(enum.Enum):
    """Why a call leaves its failure domain.

    ``TRIED`` means that all instances in the domain have been tried, and
    ``SILENT``, ``SLOW`` and ``OBJECTIVE`` that all untried ones are silent,
    are slow or can't meet the objective of the request.
    """

    NO_INSTANCE = "no_instance"
    TRIED = "tried"
    SILENT = "silent"
    SLOW = "slow"
    OBJECTIVE = "objective"
    BUSY = "busy"


def reason_for_crossing(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    target: _messages.Target,
    tried: abc.Collection[str],
    now: float,
    need: _messages.Need | None = None,
) -> CrossingReason | None:
    """Return why ``target`` in another failure domain was picked.

    Returns None if it is in the entrance's own domain. ``tried`` are the VMs
    that were tried before it.
    """
    if _groups.in_same_domain(routes, target):
        return None
    grouped = _groups.sorted_targets(routes, targets, now)
    if not grouped.same_domain:
        return CrossingReason.NO_INSTANCE
    near = _groups.untried(grouped.same_domain, tried)
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
    if need is not None and need.objective_left > 0.0:
        speeds = _speeds.of_route(routes, grouped, need.route, now)
        if all(
            speeds.completion.get(each.vm, 0.0) > need.objective_left
            for each in near
        ):
            return CrossingReason.OBJECTIVE
    return CrossingReason.BUSY
