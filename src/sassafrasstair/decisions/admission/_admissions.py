"""The share of a route's requests that an entrance lets in.

A service deep in a chain that is overloaded fails requests on which much
work was already spent. Each answer tells how loaded the busiest instance of
its chain was; the entrance lets in a share of the route's requests that
keeps that load at a target, the least important routes first.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.admission import _averages

if typing.TYPE_CHECKING:
    import random

FULL_WAIT_SECONDS = 0.05
"""A wait at an instance that counts as much as all of its slots. With a
tenth of a second calls of important requests were turned away for their
wait before their routes were cut; a wait of 10 ms, at a quick instance's
queue, is no reason to refuse anything."""
TARGET_LOAD = 1.0
"""Work at an instance, as ``pressure`` counts it: just no queue, on
average."""
TARGET_LOAD_STEP = 1.0
"""By how much the target of a route is higher for each level of importance
above the least, and its cuts smaller: it sheds only what shedding the lower
ones has not cured."""
MIN_WEIGHT = 0.02
"""Of one answer in the average, however many come in one moment."""
UPDATE_SECONDS = 0.1
CUT_PER_OVERLOAD = 0.25
MAX_CUT = 0.15
"""The share is cut by so much for each unit of load above the target, and
by at most so much at once: the chain answers to a cut only when what is in
it has drained, about half a second later."""
RISE_PER_SECOND = 0.15
"""What the share gains without overload."""
RISE_PER_SECOND_BY_HEADROOM = 0.6
"""What it gains beside that for each unit of load below the target: a chain
that has much room again is used again after 2 s in place of 6 s.

By time, and not by update: an entrance that gets two requests a second on a
route makes as few updates. With a gain for each, its gate took 10 s and more
to open; by time, 0.92 to 0.93 of the worth is served while all instances are
cold (130 entrances, ``tests/loads/chains``, mean of three seeds)."""
MIN_SHARE = 0.02
"""Some requests always pass: without them nothing is heard of the load."""
FRESH_SECONDS = 1.0
"""Without an answer for so long nothing is known of the load any more."""


@dataclasses.dataclass(slots=True)
class Gate:
    """What is known of one route: ``load`` is averaged, ``share`` let in."""

    share: float = 1.0
    load: float = 0.0
    heard_at: float = -math.inf
    updated_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Admission:
    """The gates of an entrance by route."""

    gates: dict[str, Gate] = dataclasses.field(default_factory=dict)


def pressure(busy: float, service: float) -> float:
    """Return how loaded an instance is, where 1 is full without a queue.

    ``busy`` is the work there as a share of its limit, and ``service`` the
    seconds that one call takes. Beyond the limit the wait counts, not how
    many wait.
    """
    if busy <= 1.0 or service <= 0.0:
        return busy
    return 1.0 + (busy - 1.0) * service / FULL_WAIT_SECONDS


def observe_load(
    admission: Admission, route: str, load: float, now: float
) -> None:
    """Note the pressure told with an answer on the route."""
    gate = admission.gates.get(route)
    if gate is None:
        gate = admission.gates[route] = Gate(updated_at=now)
    weight = _averages.weight(now - gate.heard_at, MIN_WEIGHT)
    gate.load += weight * (load - gate.load)
    gate.heard_at = now


def admit(
    admission: Admission,
    route: str,
    above_least: int,
    now: float,
    rng: random.Random,
) -> bool:
    """Return whether to let in a request of the route.

    ``above_least`` is by how much its importance exceeds the least in the
    policy.
    """
    gate = admission.gates.get(route)
    if gate is None:
        return True
    if now - gate.updated_at >= UPDATE_SECONDS:
        _update(gate, above_least, now)
    return gate.share >= 1.0 or rng.random() < gate.share


def gate_of(admission: Admission, route: str) -> Gate:
    """Return what is known of a route; an open gate if nothing is."""
    return admission.gates.get(route) or Gate()


def shedding(admission: Admission) -> list[tuple[str, Gate]]:
    """Return the routes of which a part is refused, and their gates."""
    return [
        (route, gate)
        for route, gate in admission.gates.items()
        if gate.share < 1.0
    ]


def _update(gate: Gate, above_least: int, now: float) -> None:
    elapsed = min(FRESH_SECONDS, now - gate.updated_at)
    gate.updated_at = now
    over = gate.load - TARGET_LOAD - TARGET_LOAD_STEP * above_least
    if over > 0.0 and now - gate.heard_at < FRESH_SECONDS:
        cut = min(MAX_CUT, CUT_PER_OVERLOAD * over) / (1.0 + above_least)
        gate.share = max(MIN_SHARE, gate.share * (1.0 - cut))
    else:
        room = min(1.0, max(0.0, -over))
        per_second = RISE_PER_SECOND + RISE_PER_SECOND_BY_HEADROOM * room
        gate.share = min(1.0, gate.share + per_second * elapsed)
