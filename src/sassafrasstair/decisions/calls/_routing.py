"""Which instance of a service an attempt goes to.

The own failure domain first, with spill-over by load; among the others the
less loaded of two drawn at random (Mitzenmacher, "The Power of Two Choices
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
# A silent instance counts as if an attempt waited there for so long, until
# its ping has ended: half a second may pass, and what was sent meanwhile to
# a VM that is gone can't be sent again unless it is idempotent.
SILENT_PENALTY_SECONDS = 0.25
# What was heard of a load fades with this time constant.
LOAD_DECAY_SECONDS = 0.1
LOAD_DECAY_SERVICE_TIMES = 2.0
# The own domain is left only when its instance has no free slot, and then
# only for one where the wait is shorter by the margin.
SPILL_MARGIN_SECONDS = 0.005
# How many of an instance's rivals are compared.
CANDIDATES_DRAWN = 4
# An instance counts as slow when its service takes so many times as long as it
# usually does, or so many times as long as at the quickest of its service.
# Instances differ by nature, and one that is slow all day is no outlier: told
# from the quickest alone, at 2.5 times, a third of the calls on a calm day
# left their domain.
SLOW_FACTOR_OF_USUAL = 2.5
SLOW_FACTOR_OF_FASTEST = 6.0
# What was heard of the service time counts for this long, so that now and
# then a slow instance is asked again.
SERVICE_TIME_VALID_SECONDS = 1.0
# The targets of a service are sorted anew this often, in seconds, beside
# each change of what is usable.
SORT_SECONDS = 0.1
# Without a wait anywhere the less busy is preferred.
FULL_BUSY_SECONDS = 0.02


class ScoredTarget(typing.NamedTuple):
    """A target, and the seconds that an attempt is thought to lose there."""

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
    known = _sorted_targets(routes, targets, now)
    near = _untried(known.same_domain, tried)
    best = _least_busy_of_sample(routes, near, known.fastest_seconds, now, rng)
    if best is not None and best.expected_delay <= FULL_BUSY_SECONDS:
        return best.target
    far = _untried(known.same_region, tried) or _untried(known.usable, tried)
    other = _least_busy_of_sample(routes, far, known.fastest_seconds, now, rng)
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
    """Return the seconds that an attempt is thought to lose there.

    Up to ``BUSY_SECONDS`` there is a free slot. The wait counts, not how
    many wait: at an instance that has become slow a short queue is long.
    ``least`` are the seconds of service at the quickest instance, 0 if not
    known: what a slow one takes beyond what is usual counts like a wait.
    """
    peer = routes.peers.get(vm)
    if peer is None:
        return 0.0
    fades = max(
        LOAD_DECAY_SECONDS, LOAD_DECAY_SERVICE_TIMES * peer.service_seconds
    )
    faded = math.exp(-(now - peer.heard_at) / fades)
    busy = peer.busy * faded + (peer.sent_since_heard + 1) / peer.limit
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


class CrossingReason(enum.Enum):
    """Why a call leaves its failure domain."""

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
    """Return why ``target`` was picked in another domain, None if it was not.

    ``tried`` are those tried before it.
    """
    if _in_same_domain(routes, target):
        return None
    known = _sorted_targets(routes, targets, now)
    if not known.same_domain:
        return CrossingReason.NO_INSTANCE
    near = _untried(known.same_domain, tried)
    peers = [routes.peers.get(each.vm) for each in near]
    if not near:
        return CrossingReason.TRIED
    if all(peer is not None and _peers.is_silent(peer, now) for peer in peers):
        return CrossingReason.SILENT
    if all(
        peer is not None
        and peer.service_seconds > _slow_threshold(peer, known.fastest_seconds)
        for peer in peers
    ):
        return CrossingReason.SLOW
    return CrossingReason.BUSY


def _slow_threshold(peer: _peers.Peer, fastest_seconds: float) -> float:
    """Return the seconds of service from which on the instance is slow."""
    slow = SLOW_FACTOR_OF_FASTEST * fastest_seconds
    if peer.samples < _peers.USUAL_MIN_SAMPLES:
        return slow
    return min(slow, SLOW_FACTOR_OF_USUAL * peer.usual_service_seconds)


def _sorted_targets(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target], now: float
) -> _peers.SortedTargets:
    """Return the usable targets by place, sorted seldom.

    For each call this would cost more than all else that is decided: a
    service has dozens of instances.
    """
    service = targets[0].service
    known = routes.targets_by_service.get(service)
    if (
        known is not None
        and known.targets is targets
        and known.usability_changes == routes.usability_changes
        and now - known.sorted_at < SORT_SECONDS
    ):
        return known
    usable = _usable(routes, targets)
    known = _peers.SortedTargets(
        targets,
        [each for each in usable if _in_same_domain(routes, each)],
        [each for each in usable if each.region == routes.region],
        usable,
        _fastest_seconds(routes, usable, now),
        routes.usability_changes,
        now,
    )
    routes.targets_by_service[service] = known
    return known


def _in_same_domain(routes: _peers.Routes, target: _messages.Target) -> bool:
    return target.failure_domain == routes.failure_domain


def _fastest_seconds(
    routes: _peers.Routes, targets: abc.Sequence[_messages.Target], now: float
) -> float:
    """Return the seconds of service at the quickest heard of lately."""
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
    """Leave out the dead, and a bounded share of the ejected.

    A fault of this VM's own network makes all others look failed: with
    too many ejected it must not stop sending. Where none has answered its
    last ping and ``try_dead`` is off there is none: an attempt would hold
    its caller for a connection that is not made, or be lost on one that is
    dead.
    """
    known = routes.peers
    living = [
        target
        for target in targets
        if target.vm not in known or not known[target.vm].unreachable
    ]
    kept = [
        target
        for target in living
        if target.vm not in known or not known[target.vm].ejected
    ]
    if len(living) - len(kept) > EJECTED_SHARE_MAX * len(living):
        kept = living
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
            targets[at],
            expected_delay(routes, targets[at].vm, now, fastest_seconds),
        )
        for at in drawn
    ]
    return min(scored, key=lambda each: each.expected_delay)
