"""The expected delay of an attempt at an instance, from its reported load.

The least busy of a few instances drawn at random is taken (Mitzenmacher,
"The Power of Two Choices in Randomized Load Balancing", 2001).
"""

from __future__ import annotations

import math
import types
import typing

from sassafrasstair.decisions.calls import _peers
from sassafrasstair.decisions.calls import _refusals

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages

# The expected wait at a silent instance is raised by this much until its ping
# has ended. That may take half a second, and requests that are sent meanwhile
# to a VM that is gone can't be repeated unless they are idempotent.
SILENT_PENALTY_SECONDS = 0.25
# A reported load decays with a time constant that is the greater one of this
# many seconds and this many service times.
LOAD_DECAY_SECONDS = 0.1
LOAD_DECAY_SERVICE_TIMES = 2.0
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
# The expected delay at an instance that is fully busy but has no queue. It
# makes the less busy instance preferred when no instance has a queue.
FULL_BUSY_SECONDS = 0.02
_NO_TIMES: abc.Mapping[str, float] = types.MappingProxyType({})


class ScoredTarget(typing.NamedTuple):
    """A target, and what an attempt there can expect, in seconds.

    ``completion`` is the time within which most requests of the route are
    answered that don't wait, 0 if it did not matter to the choice.
    """

    target: _messages.Target
    expected_delay: float
    completion: float = 0.0

    @property
    def expected_seconds(self) -> float:
        """The expected delay, and the completion if it mattered."""
        return self.expected_delay + self.completion

    @property
    def expected_wait(self) -> float:
        """The expected delay if no slot is free, else 0."""
        return max(0.0, self.expected_delay - FULL_BUSY_SECONDS)


def expected_delay(
    routes: _peers.Routes, vm: str, grouped: _peers.SortedTargets, now: float
) -> float:
    """Return the expected delay of an attempt at an instance, in seconds.

    Up to ``FULL_BUSY_SECONDS`` the instance has a free slot. The delay
    depends on the waiting time and not on the length of the queue, because
    even a short queue means a long wait at an instance that has become slow.
    ``grouped`` are the instances of the service. The part of a slow
    instance's service time that exceeds the threshold for slowness counts as
    waiting time, and so do the repeats after refusals.
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
    fastest_seconds = grouped.fastest_seconds
    if (
        fastest_seconds > 0.0
        and now - peer.heard_at < SERVICE_TIME_VALID_SECONDS
    ):
        wait += max(
            0.0, peer.service_seconds - slow_threshold(peer, fastest_seconds)
        )
    if _peers.is_silent(peer, now):
        wait += SILENT_PENALTY_SECONDS
    if peer.refusals > 0.0:
        wait += _refusals.repeat_seconds(peer, grouped.least_refused, now)
    return wait + FULL_BUSY_SECONDS * min(1.0, busy)


def slow_threshold(peer: _peers.Peer, fastest_seconds: float) -> float:
    """Return the service time above which the instance counts as slow."""
    slow = SLOW_FACTOR_OF_FASTEST * fastest_seconds
    if peer.samples < _peers.USUAL_MIN_SAMPLES:
        return slow
    return min(slow, SLOW_FACTOR_OF_USUAL * peer.usual_service_seconds)


def soonest_of_sample(
    routes: _peers.Routes,
    targets: abc.Sequence[_messages.Target],
    grouped: _peers.SortedTargets,
    now: float,
    rng: random.Random,
    completion: abc.Mapping[str, float] = _NO_TIMES,
) -> ScoredTarget | None:
    """Return the target with the least delay of a few drawn.

    ``completion`` has the time of ``ScoredTarget.completion`` by VM, which is
    added to the delay. Without it, the least busy one is returned.
    """
    if not targets:
        return None
    scored = [
        ScoredTarget(
            target,
            expected_delay(routes, target.vm, grouped, now),
            completion.get(target.vm, 0.0),
        )
        for target in _drawn(targets, rng)
    ]
    return min(scored, key=lambda each: each.expected_seconds)


def _drawn(
    targets: abc.Sequence[_messages.Target], rng: random.Random
) -> list[_messages.Target]:
    """Return a few targets drawn at random, each once."""
    count = len(targets)
    drawn = dict.fromkeys(
        [int(rng.random() * count) for _ in range(CANDIDATES_DRAWN)]
    )
    return [targets[index] for index in drawn]
