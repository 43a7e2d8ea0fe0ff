"""State that an entrance keeps about the instances that it calls.

An instance that fails repeatedly is ejected, which means that it gets no
more calls until its daemon answers a ping. An instance that stops answering
is pinged as well.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.calls import _refusals
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.calls import _messages
    from sassafrasstair.decisions.calls import _speeds

FAILURES_TO_EJECT = 3
# An instance counts as silent if attempts are under way and none has been
# answered for this long, in seconds and in multiples of the average latency.
SILENT_SECONDS = 0.1
SILENT_LATENCY_FACTOR = 1.5
# The interval between pings grows with the time since the instance last
# answered, from PING_SECONDS to PING_SECONDS_MAX.
PING_SECONDS = 0.2
PING_SECONDS_MAX = 0.5
PING_SHARE_OF_SILENCE = 0.25
# An instance without an answer for this long is forgotten: VMs are replaced
# all day, and pings to the ones that are gone would never end.
FORGET_SECONDS = 60.0
LATENCY_WEIGHT = 0.1
DEFAULT_LIMIT = 20.0
# The least weight of an answer in the usual service time, and the number of
# answers after which the usual service time counts as known.
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
"""Reasons that a daemon gives while it starts or stops."""


@dataclasses.dataclass(slots=True)
class Peer:
    """State of one instance.

    ``in_flight`` counts the attempts under way, and ``sent_since_heard``
    those sent since the instance last reported its load. ``busy``, ``limit``
    and ``service_seconds`` are the last reported load (see ``LoadReport``),
    received at ``heard_at``. ``usual_service_seconds`` is the average of
    ``service_seconds`` over ``samples`` answers. ``silent_since`` is the time
    of the last answer, or of the first attempt after an idle period, and
    ``ponged_at`` that of the last answer to a ping. ``latency`` is the
    average latency of successful attempts, and ``failures`` counts the
    failures since the last success. Failures make the instance ``ejected``,
    and an unanswered ping, last sent at ``pinged_at``, makes it
    ``unreachable``, and ``stalled`` as well if its VM accepted the ping: its
    daemon reads what it gets once it runs. It is ``leaving`` while its daemon
    stops and may still take what no other instance can run.

    ``answers`` and ``refusals`` are decayed counts of the attempts that the
    instance itself took or refused, last updated at ``counted_at``.
    ``route_times`` are the service times that it reported by route, the
    latest last.
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
    ponged_at: float = -math.inf
    latency: float = 0.0
    failures: int = 0
    ejected: bool = False
    leaving: bool = False
    unreachable: bool = False
    stalled: bool = False
    pinged_at: float = -math.inf
    answers: float = 0.0
    refusals: float = 0.0
    counted_at: float = 0.0
    route_times: dict[str, _speeds.RouteTime] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class SortedTargets:
    """The usable targets of one service, grouped by location.

    ``fastest_seconds`` is the service time at the fastest instance, 0 if it
    is not known, and ``least_refused`` the least share of attempts that one
    of the instances refuses. ``usability_changes`` is the value of
    ``Routes.usability_changes`` at ``sorted_at``, when they were grouped.
    ``speeds_by_route`` is computed when a route needs it.
    """

    targets: abc.Sequence[_messages.Target]
    same_domain: list[_messages.Target]
    same_region: list[_messages.Target]
    usable: abc.Sequence[_messages.Target]
    fastest_seconds: float
    least_refused: float
    usability_changes: int
    sorted_at: float
    speeds_by_route: dict[str, _speeds.RouteSpeeds] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Routes:
    """State that an entrance keeps about the instances that it calls.

    A route in ``admission`` is something else, an endpoint of the policy.

    ``failure_domain`` and ``region`` are those of the entrance itself.
    ``usability_changes`` counts how often an instance became usable or
    unusable. With ``try_unreachable``, instances whose pings fail are tried
    if there is no other. This is for calls that only one instance can
    serve, such as the owner of a ticket: a ping that failed just before the
    owner restarted must not void the ticket.
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
    """Record that an attempt was sent to ``vm``."""
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
    """Record how an attempt at ``vm`` ended, and the load it reported."""
    peer = routes.peers.setdefault(vm, Peer())
    peer.in_flight = max(0, peer.in_flight - 1)
    if answer.incarnation:
        _record_load(peer, answer, now)
        _refusals.count_answer(peer, answer, now)
    if answer.outcome is outcomes.Outcome.DONE:
        peer.latency += LATENCY_WEIGHT * (latency - peer.latency)
        peer.failures = 0
    elif answer.reason in FAILURES:
        peer.failures += 1
        if peer.failures >= FAILURES_TO_EJECT:
            _eject(routes, peer)
    elif answer.reason in NOT_SERVING:
        # A daemon that has restarted refuses calls until it has fetched the
        # bundle from its peers. Until then it is the least busy one, so that
        # routing would send it all calls.
        _eject(routes, peer)
        peer.leaving = answer.reason is outcomes.Reason.LEAVING


def eject(routes: Routes, vm: str) -> None:
    """Eject ``vm`` until it answers a ping, after one failed connection.

    A VM that is gone accepts no connection, and each attempt to connect
    costs time.
    """
    _eject(routes, routes.peers.setdefault(vm, Peer()))


def eject_leaving(routes: Routes, vm: str) -> None:
    """Eject ``vm``, whose daemon has said that it stops."""
    eject(routes, vm)
    routes.peers[vm].leaving = True


def end_last_resort(routes: Routes, vm: str) -> None:
    """Record that ``vm`` takes nothing more, until it answers a ping."""
    routes.peers[vm].leaving = False


def is_leaving(routes: Routes, vm: str) -> bool:
    """Return whether the daemon of ``vm`` has said that it stops."""
    peer = routes.peers.get(vm)
    return peer is not None and peer.leaving


def may_wait_at(routes: Routes, vm: str) -> bool:
    """Return whether a request may wait for the stalled daemon of ``vm``.

    It takes no more of them than its instance can run at once.
    """
    peer = routes.peers.get(vm)
    if peer is None or peer.ejected or not peer.stalled:
        return False
    return peer.in_flight < peer.limit


def forget_attempt(routes: Routes, vm: str) -> None:
    """Record the end of an attempt that says nothing about ``vm``."""
    peer = routes.peers.get(vm)
    if peer is not None:
        peer.in_flight = max(0, peer.in_flight - 1)


def record_restart(routes: Routes, vm: str, now: float) -> None:
    """Reset the state of an instance that has restarted.

    Only the attempts under way stay counted, until each has ended.
    """
    peer = routes.peers.get(vm)
    if peer is not None:
        routes.peers[vm] = Peer(in_flight=peer.in_flight, silent_since=now)
        routes.usability_changes += 1


def probe_due(routes: Routes, now: float) -> list[str]:
    """Return the ejected, unreachable or silent VMs that must be pinged now.

    A ping that fails says nothing about the attempts under way at that VM.
    """
    due = []
    for vm, peer in list(routes.peers.items()):
        silent_seconds = now - peer.silent_since
        if peer.in_flight:
            silent_seconds = min(silent_seconds, now - peer.ponged_at)
        elif silent_seconds >= FORGET_SECONDS:
            del routes.peers[vm]
            routes.usability_changes += 1
            continue
        if peer.ejected or peer.unreachable or is_silent(peer, now):
            interval = min(
                PING_SECONDS_MAX, PING_SHARE_OF_SILENCE * silent_seconds
            )
            if now - peer.pinged_at >= max(PING_SECONDS, interval):
                peer.pinged_at = now
                due.append(vm)
    return due


def probe_ended(
    routes: Routes,
    vm: str,
    alive: bool,
    now: float,
    leaving: bool = False,
    stalled: bool = False,
) -> None:
    """Record the result of a ping.

    Only an answered ping makes an ejected instance usable again. ``leaving``
    is set if the daemon answered that it stops, which is not ``alive``, and
    takes what no other instance can run. ``stalled`` is set if the VM accepted
    the ping, and its daemon did not answer in time.
    """
    peer = routes.peers.get(vm)
    if peer is None:
        return
    if peer.unreachable is alive or (alive and peer.ejected):
        routes.usability_changes += 1
    peer.unreachable = not alive
    peer.stalled = stalled
    peer.leaving = leaving
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
    """Return whether attempts are under way and none has been answered.

    The time allowed for an answer grows with the latency of the instance.
    """
    patience = max(SILENT_SECONDS, SILENT_LATENCY_FACTOR * peer.latency)
    return peer.in_flight > 0 and now - peer.silent_since >= patience


def note_pong(routes: Routes, vm: str, now: float) -> None:
    """Record that ``vm`` answered a ping, whatever it said."""
    peer = routes.peers.get(vm)
    if peer is not None:
        peer.ponged_at = now
