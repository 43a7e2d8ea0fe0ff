"""Which instance of a service an attempt goes to.

The own failure domain first, with spill-over by load; among the others the
less loaded of two drawn at random (Mitzenmacher, "The Power of Two Choices
in Randomized Load Balancing", 2001). An instance that fails or falls
silent is ejected until a ping shows that its daemon answers.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages

FAILURES_TO_EJECT = 3
EJECTED_SHARE_MAX = 0.5
# With attempts under way and no answer for this long, in seconds and in
# multiples of the usual latency, an instance is pinged.
SILENT_SECONDS = 0.1
SILENT_LATENCIES = 1.5
# A silent instance counts as if an attempt waited there for so long, until
# its ping has ended: half a second may pass, and what was sent meanwhile to
# a VM that is gone can't be sent again unless it is idempotent.
SILENT_PENALTY = 0.25
# Pings to an instance that stays away become rarer, up to the second bound.
PING_SECONDS = 0.2
PING_SECONDS_MAX = 0.5
PING_SHARE_OF_AWAY = 0.25
# An instance not heard of for this long is forgotten: VMs are replaced all
# day, and pings to those that are gone would never end.
FORGET_SECONDS = 60.0
LATENCY_WEIGHT = 0.1
# What was heard of a load fades with this time constant.
LOAD_FADES_SECONDS = 0.1
FADES_SERVICES = 2.0
UNKNOWN_LIMIT = 20.0
# The own domain is left only when its instance has no free slot, and then
# only for one where the wait is shorter by the margin.
SPILL_MARGIN = 0.005
# How many of an instance's rivals are compared.
DRAWN = 4
# An instance counts as slow when its service takes so many times as long as it
# usually does, or so many times as long as at the quickest of its service.
# Instances differ by nature, and one that is slow all day is no outlier: told
# from the quickest alone, at 2.5 times, a third of the calls on a calm day
# left their domain.
SLOW_FACTOR = 2.5
NATURAL_FACTOR = 6.0
# The weight of an answer in what is usual, and after how many that is known.
USUAL_WEIGHT = 0.01
USUAL_FROM = 20
# What was heard of the service time counts for this long, so that now and
# then a slow instance is asked again.
SLOW_SECONDS = 1.0
# The targets of a service are sorted anew this often, in seconds, beside
# each change of what is usable.
SORT_SECONDS = 0.1
# Without a wait anywhere the less busy is preferred.
BUSY_SECONDS = 0.02

FAILURES = frozenset(
    {
        outcomes.Reason.PEER_UNREACHABLE,
        outcomes.Reason.PEER_LOST,
        outcomes.Reason.UPSTREAM_UNREACHABLE,
    }
)

NOT_SERVING = frozenset({outcomes.Reason.NO_BUNDLE, outcomes.Reason.LEAVING})
"""Said by a daemon that starts or stops."""


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of one instance.

    ``usual`` is the usual ``service`` over ``samples`` answers.
    ``silent_from`` is the last answer, or the first send after an idle
    time; ``sent`` counts the attempts since the load was heard. Failures
    make it ``ejected``, and a ping without an answer makes it ``dead``.
    """

    inflight: int = 0
    sent: int = 0
    busy: float = 0.0
    limit: float = UNKNOWN_LIMIT
    service: float = 0.0
    usual: float = 0.0
    samples: int = 0
    heard: float = -math.inf
    silent_from: float = 0.0
    latency: float = 0.0
    failures: int = 0
    ejected: bool = False
    dead: bool = False
    pinged: float = -math.inf


@dataclasses.dataclass(slots=True)
class Sorted:
    """The usable targets of one service, by where they are.

    ``least`` are the seconds of service at the quickest, 0 if not known;
    ``changes`` is ``Routes.changes`` at the time ``at`` of sorting.
    """

    targets: abc.Sequence[_messages.Target]
    near: list[_messages.Target]
    same_region: list[_messages.Target]
    usable: abc.Sequence[_messages.Target]
    least: float
    changes: int
    at: float


@dataclasses.dataclass(slots=True)
class Routes:
    """What this entrance has seen of the instances that it calls.

    ``changes`` counts how often an instance became usable or unusable.
    With ``try_dead`` instances whose pings fail are tried when there is no
    other: where one instance alone will do, as the owner of a ticket, a
    ping that failed just before it restarted must not void the ticket.
    """

    failure_domain: str
    region: str
    try_dead: bool = True
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    by_service: dict[str, Sorted] = dataclasses.field(default_factory=dict)
    changes: int = 0


def pick(
    routes: Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _messages.Target | None:
    """Return the instance for one attempt, or None if none is usable."""
    if not targets:
        return None
    known = _sort(routes, targets, now)
    near = _untried(known.near, tried)
    best = _less_busy(routes, near, known.least, now, rng)
    if best is not None and (
        score(routes, best.vm, now, known.least) <= BUSY_SECONDS
    ):
        return best
    far = _untried(known.same_region, tried) or _untried(known.usable, tried)
    other = _less_busy(routes, far, known.least, now, rng)
    if best is None or other is None:
        return best or other
    gain = score(routes, best.vm, now, known.least)
    gain -= score(routes, other.vm, now, known.least)
    return other if gain > SPILL_MARGIN else best


def score(routes: Routes, vm: str, now: float, least: float = 0.0) -> float:
    """Return the seconds that an attempt is thought to lose there.

    Up to ``BUSY_SECONDS`` there is a free slot. The wait counts, not how
    many wait: at an instance that has become slow a short queue is long.
    ``least`` are the seconds of service at the quickest instance, 0 if not
    known: what a slow one takes beyond what is usual counts like a wait.
    """
    peer = routes.peers.get(vm)
    if peer is None:
        return 0.0
    fades = max(LOAD_FADES_SECONDS, FADES_SERVICES * peer.service)
    faded = math.exp(-(now - peer.heard) / fades)
    busy = peer.busy * faded + (peer.sent + 1) / peer.limit
    wait = max(0.0, busy - 1.0) * peer.service
    if least > 0.0 and now - peer.heard < SLOW_SECONDS:
        wait += max(0.0, peer.service - _slow_from(peer, least))
    if _silent(peer, now):
        wait += SILENT_PENALTY
    return wait + BUSY_SECONDS * min(1.0, busy)


class Leaving(enum.Enum):
    """Why a call leaves its failure domain."""

    NO_INSTANCE = "no_instance"
    TRIED = "tried"
    SILENT = "silent"
    SLOW = "slow"
    BUSY = "busy"


def why_left(
    routes: Routes,
    targets: abc.Sequence[_messages.Target],
    target: _messages.Target,
    tried: abc.Collection[str],
    now: float,
) -> Leaving | None:
    """Return why ``target`` was picked in another domain, None if it was not.

    ``tried`` are those tried before it.
    """
    if _is_near(routes, target):
        return None
    known = _sort(routes, targets, now)
    if not known.near:
        return Leaving.NO_INSTANCE
    near = _untried(known.near, tried)
    peers = [routes.peers.get(each.vm) for each in near]
    if not near:
        return Leaving.TRIED
    if all(peer is not None and _silent(peer, now) for peer in peers):
        return Leaving.SILENT
    if all(
        peer is not None and peer.service > _slow_from(peer, known.least)
        for peer in peers
    ):
        return Leaving.SLOW
    return Leaving.BUSY


def sent(routes: Routes, vm: str, now: float) -> None:
    """Note that an attempt went to ``vm``."""
    peer = routes.peers.setdefault(vm, Peer())
    if not peer.inflight:
        peer.silent_from = now
    peer.inflight += 1
    peer.sent += 1


def ended(
    routes: Routes,
    vm: str,
    answer: _messages.Answer,
    latency: float,
    now: float,
) -> None:
    """Note how an attempt at ``vm`` ended, and the load it told."""
    peer = routes.peers.setdefault(vm, Peer())
    peer.inflight = max(0, peer.inflight - 1)
    if answer.incarnation:
        _heard(peer, answer, now)
    if answer.outcome is outcomes.Outcome.DONE:
        peer.latency += LATENCY_WEIGHT * (latency - peer.latency)
        peer.failures = 0
    elif answer.reason in FAILURES:
        peer.failures += 1
        if peer.failures >= FAILURES_TO_EJECT:
            _eject(routes, peer)
    elif answer.reason in NOT_SERVING:
        # Failure: a restarted daemon is the least busy one while it asks
        # its peers for the bundle, and draws all calls into refusals.
        _eject(routes, peer)


def eject(routes: Routes, vm: str) -> None:
    """Leave ``vm`` alone until a ping, after one failed connection.

    A VM that is gone answers none, and each try costs time.
    """
    _eject(routes, routes.peers.setdefault(vm, Peer()))


def forget(routes: Routes, vm: str) -> None:
    """Note that an attempt ended without telling anything of ``vm``."""
    peer = routes.peers.get(vm)
    if peer is not None:
        peer.inflight = max(0, peer.inflight - 1)


def restarted(routes: Routes, vm: str, now: float) -> None:
    """Forget what is known of an instance that has started again.

    Only the attempts under way stay counted, until each has ended.
    """
    peer = routes.peers.get(vm)
    if peer is not None:
        routes.peers[vm] = Peer(inflight=peer.inflight, silent_from=now)
        routes.changes += 1


def probe_due(routes: Routes, now: float) -> list[str]:
    """Return the ejected or silent VMs to send a ping to now.

    When a ping fails, the transport must also report each attempt under
    way there as lost, for nothing else ends it before its deadline.
    """
    due = []
    for vm, peer in list(routes.peers.items()):
        away = now - peer.silent_from
        if not peer.inflight and away >= FORGET_SECONDS:
            del routes.peers[vm]
            routes.changes += 1
        elif peer.ejected or peer.dead or _silent(peer, now):
            rarer = min(PING_SECONDS_MAX, PING_SHARE_OF_AWAY * away)
            if now - peer.pinged >= max(PING_SECONDS, rarer):
                peer.pinged = now
                due.append(vm)
    return due


def probed(routes: Routes, vm: str, alive: bool, now: float) -> None:
    """Note the end of a ping: only a ping brings an instance back."""
    peer = routes.peers.get(vm)
    if peer is None:
        return
    if peer.dead is alive or (alive and peer.ejected):
        routes.changes += 1
    peer.dead = not alive
    if alive:
        peer.ejected = False
        peer.failures = 0
        peer.silent_from = now


def _eject(routes: Routes, peer: Peer) -> None:
    if not peer.ejected:
        peer.ejected = True
        routes.changes += 1


def _heard(peer: Peer, answer: _messages.Answer, now: float) -> None:
    peer.busy = answer.load.busy
    peer.limit = answer.load.limit or UNKNOWN_LIMIT
    peer.service = answer.load.service
    if peer.service > 0.0:
        peer.samples += 1
        weight = max(USUAL_WEIGHT, 1.0 / peer.samples)
        peer.usual += weight * (peer.service - peer.usual)
    peer.sent = 0
    peer.heard = now
    peer.silent_from = now


def _slow_from(peer: Peer, least: float) -> float:
    """Return the seconds of service from which on the instance is slow."""
    slow = NATURAL_FACTOR * least
    if peer.samples < USUAL_FROM:
        return slow
    return min(slow, SLOW_FACTOR * peer.usual)


def _silent(peer: Peer, now: float) -> bool:
    patience = max(SILENT_SECONDS, SILENT_LATENCIES * peer.latency)
    return peer.inflight > 0 and now - peer.silent_from >= patience


def _sort(
    routes: Routes, targets: abc.Sequence[_messages.Target], now: float
) -> Sorted:
    """Return the usable targets by place, sorted seldom.

    For each call this would cost more than all else that is decided: a
    service has dozens of instances.
    """
    service = targets[0].service
    known = routes.by_service.get(service)
    if (
        known is not None
        and known.targets is targets
        and known.changes == routes.changes
        and now - known.at < SORT_SECONDS
    ):
        return known
    usable = _usable(routes, targets)
    known = Sorted(
        targets,
        [each for each in usable if _is_near(routes, each)],
        [each for each in usable if each.region == routes.region],
        usable,
        _least_service(routes, usable, now),
        routes.changes,
        now,
    )
    routes.by_service[service] = known
    return known


def _is_near(routes: Routes, target: _messages.Target) -> bool:
    return target.failure_domain == routes.failure_domain


def _least_service(
    routes: Routes, targets: abc.Sequence[_messages.Target], now: float
) -> float:
    """Return the seconds of service at the quickest heard of lately."""
    peers = (routes.peers.get(target.vm) for target in targets)
    return min(
        (
            peer.service
            for peer in peers
            if peer is not None
            and peer.service > 0.0
            and now - peer.heard < SLOW_SECONDS
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
    routes: Routes, targets: abc.Sequence[_messages.Target]
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
        if target.vm not in known or not known[target.vm].dead
    ]
    kept = [
        target
        for target in living
        if target.vm not in known or not known[target.vm].ejected
    ]
    if len(living) - len(kept) > EJECTED_SHARE_MAX * len(living):
        kept = living
    if kept or not routes.try_dead:
        return kept
    return targets


def _less_busy(
    routes: Routes,
    targets: abc.Sequence[_messages.Target],
    least: float,
    now: float,
    rng: random.Random,
) -> _messages.Target | None:
    if not targets:
        return None
    count = len(targets)
    drawn = dict.fromkeys(int(rng.random() * count) for _ in range(DRAWN))
    best = min(drawn, key=lambda at: score(routes, targets[at].vm, now, least))
    return targets[best]
