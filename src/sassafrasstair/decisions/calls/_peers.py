"""What an entrance has seen of the instances that it calls.

An instance that fails or falls silent is ejected until a ping shows that its
daemon answers.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.calls import _messages

FAILURES_TO_EJECT = 3
# With attempts under way and no answer for this long, in seconds and in
# multiples of the usual latency, an instance is pinged.
SILENT_SECONDS = 0.1
SILENT_LATENCY_FACTOR = 1.5
# Pings to an instance that stays away become rarer, up to the second bound.
PING_SECONDS = 0.2
PING_SECONDS_MAX = 0.5
PING_SHARE_OF_SILENCE = 0.25
# An instance not heard of for this long is forgotten: VMs are replaced all
# day, and pings to those that are gone would never end.
FORGET_SECONDS = 60.0
LATENCY_WEIGHT = 0.1
DEFAULT_LIMIT = 20.0
# The weight of an answer in what is usual, and after how many that is known.
USUAL_MIN_WEIGHT = 0.01
USUAL_MIN_SAMPLES = 20

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

    in_flight: int = 0
    sent_since_heard: int = 0
    busy: float = 0.0
    limit: float = DEFAULT_LIMIT
    service_seconds: float = 0.0
    usual_service_seconds: float = 0.0
    samples: int = 0
    heard_at: float = -math.inf
    silent_since: float = 0.0
    latency: float = 0.0
    failures: int = 0
    ejected: bool = False
    unreachable: bool = False
    pinged_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class SortedTargets:
    """The usable targets of one service, by where they are.

    ``least`` are the seconds of service at the quickest, 0 if not known;
    ``changes`` is ``Routes.changes`` at the time ``at`` of sorting.
    """

    targets: abc.Sequence[_messages.Target]
    same_domain: list[_messages.Target]
    same_region: list[_messages.Target]
    usable: abc.Sequence[_messages.Target]
    fastest_seconds: float
    usability_changes: int
    sorted_at: float


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
    try_unreachable: bool = True
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    targets_by_service: dict[str, SortedTargets] = dataclasses.field(
        default_factory=dict
    )
    usability_changes: int = 0


def start_attempt(routes: Routes, vm: str, now: float) -> None:
    """Note that an attempt went to ``vm``."""
    peer = routes.peers.setdefault(vm, Peer())
    if not peer.in_flight:
        peer.silent_since = now
    peer.in_flight += 1
    peer.sent_since_heard += 1


def end_attempt(
    routes: Routes,
    vm: str,
    answer: _messages.Answer,
    latency: float,
    now: float,
) -> None:
    """Note how an attempt at ``vm`` ended, and the load it told."""
    peer = routes.peers.setdefault(vm, Peer())
    peer.in_flight = max(0, peer.in_flight - 1)
    if answer.incarnation:
        _record_load(peer, answer, now)
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


def forget_attempt(routes: Routes, vm: str) -> None:
    """Note that an attempt ended without telling anything of ``vm``."""
    peer = routes.peers.get(vm)
    if peer is not None:
        peer.in_flight = max(0, peer.in_flight - 1)


def record_restart(routes: Routes, vm: str, now: float) -> None:
    """Forget what is known of an instance that has started again.

    Only the attempts under way stay counted, until each has ended.
    """
    peer = routes.peers.get(vm)
    if peer is not None:
        routes.peers[vm] = Peer(in_flight=peer.in_flight, silent_since=now)
        routes.usability_changes += 1


def probe_due(routes: Routes, now: float) -> list[str]:
    """Return the ejected or silent VMs to send a ping to now.

    When a ping fails, the transport must also report each attempt under
    way there as lost, for nothing else ends it before its deadline.
    """
    due = []
    for vm, peer in list(routes.peers.items()):
        away = now - peer.silent_since
        if not peer.in_flight and away >= FORGET_SECONDS:
            del routes.peers[vm]
            routes.usability_changes += 1
        elif peer.ejected or peer.unreachable or is_silent(peer, now):
            rarer = min(PING_SECONDS_MAX, PING_SHARE_OF_SILENCE * away)
            if now - peer.pinged_at >= max(PING_SECONDS, rarer):
                peer.pinged_at = now
                due.append(vm)
    return due


def probe_ended(routes: Routes, vm: str, alive: bool, now: float) -> None:
    """Note the end of a ping: only a ping brings an instance back."""
    peer = routes.peers.get(vm)
    if peer is None:
        return
    if peer.unreachable is alive or (alive and peer.ejected):
        routes.usability_changes += 1
    peer.unreachable = not alive
    if alive:
        peer.ejected = False
        peer.failures = 0
        peer.silent_since = now


def _eject(routes: Routes, peer: Peer) -> None:
    if not peer.ejected:
        peer.ejected = True
        routes.usability_changes += 1


def _record_load(peer: Peer, answer: _messages.Answer, now: float) -> None:
    peer.busy = answer.load.busy
    peer.limit = answer.load.limit or DEFAULT_LIMIT
    peer.service_seconds = answer.load.service_seconds
    if peer.service_seconds > 0.0:
        peer.samples += 1
        weight = max(USUAL_MIN_WEIGHT, 1.0 / peer.samples)
        peer.usual_service_seconds += weight * (
            peer.service_seconds - peer.usual_service_seconds
        )
    peer.sent_since_heard = 0
    peer.heard_at = now
    peer.silent_since = now


def is_silent(peer: Peer, now: float) -> bool:
    """Return whether attempts are under way there and none is answered."""
    patience = max(SILENT_SECONDS, SILENT_LATENCY_FACTOR * peer.latency)
    return peer.in_flight > 0 and now - peer.silent_since >= patience
