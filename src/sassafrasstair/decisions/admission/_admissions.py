"""The share of a route's requests that an entrance admits.

When a service deep in a chain is overloaded, it fails requests on which much
work was already spent. Each answer reports the load of the busiest instance
in its chain. The entrance adjusts the admitted share of the route's requests
so that this load stays at a target, and lowers (cuts) the shares of the least
important routes first. Requests that are not admitted are refused; such a
refusal for overload is called shedding.

A route is an endpoint of the policy (``policies.Route``). ``calls.Routes`` is
something else, the state of the instances that an entrance calls.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions.admission import _averages

if typing.TYPE_CHECKING:
    import random

FULL_WAIT_SECONDS = 0.05
"""The waiting time at an instance that adds 1 to its load, as much as all of
its slots in use. With 0.1 s, calls of important requests were refused for
waiting too long before the shares of their routes were cut. A wait of 10 ms
in the queue of a fast instance is no reason to refuse anything."""
TARGET_LOAD = 1.0
"""The load to aim for, as returned by ``pressure``: all slots in use and no
queue on average."""
TARGET_LOAD_STEP = 1.0
"""By how much the target of a route is raised for each level of importance
above the least. More important routes also get smaller cuts, so that their
requests are refused only if refusing less important ones was not enough."""
MIN_WEIGHT = 0.02
"""The least weight of one answer in the average, even if many answers arrive
at the same moment."""
UPDATE_SECONDS = 0.1
CUT_PER_OVERLOAD = 0.25
MAX_CUT = 0.15
"""An update cuts the share by ``CUT_PER_OVERLOAD`` for each unit of load
above the target, and by ``MAX_CUT`` at most. A cut takes effect only when the
requests already in the chain have finished, about half a second later."""
RISE_PER_SECOND = 0.15
"""By how much the share grows per second without overload."""
RISE_PER_SECOND_BY_HEADROOM = 0.6
"""The additional growth per second for each unit of load below the target.
With it, a chain whose load has fallen is fully used again after 2 s instead
of 6 s.

The growth depends on the elapsed time and not on the number of updates. An
entrance that gets two requests per second on a route makes only as many
updates; with a fixed growth for each of them, its gate took 10 s or more to
open. With growth by time, requests with 0.92 to 0.93 of the total worth are
served while all instances are cold (130 entrances, mean of three seeds); the
worth is a weight that ``tests/loads/chains`` gives each kind of request."""
MIN_SHARE = 0.02
"""The share never falls below this: without any requests no answer would
report the load."""
FRESH_SECONDS = 1.0
"""The load counts as unknown if no answer has come for this long."""


@dataclasses.dataclass(slots=True)
class Gate:
    """The admission state of one route.

    ``share`` is the share of its requests that is admitted, last adjusted at
    ``updated_at``. ``load`` is the average reported load of its chain, last
    reported at ``heard_at``.
    """

    share: float = 1.0
    load: float = 0.0
    heard_at: float = -math.inf
    updated_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Admission:
    """The gates of an entrance, by route."""

    gates: dict[str, Gate] = dataclasses.field(default_factory=dict)


def pressure(busy: float, service_seconds: float) -> float:
    """Return the load of an instance, where 1 means full without a queue.

    All loads of this module and of ``_chains`` are on this scale. ``busy`` is
    the instance's running and waiting work as a share of its concurrency
    limit, and ``service_seconds`` the service time of one call. Above the
    limit, the load depends on the waiting time and not on the queue length.
    """
    if busy <= 1.0 or service_seconds <= 0.0:
        return busy
    return 1.0 + (busy - 1.0) * service_seconds / FULL_WAIT_SECONDS


def observe_load(
    admission: Admission, route: str, load: float, now: float
) -> None:
    """Add the load reported with an answer on the route to its average."""
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
    """Return whether to admit a request of the route.

    ``above_least`` is the difference between the importance of the route and
    the least importance in the policy.
    """
    gate = admission.gates.get(route)
    if gate is None:
        return True
    if now - gate.updated_at >= UPDATE_SECONDS:
        _update(gate, above_least, now)
    return gate.share >= 1.0 or rng.random() < gate.share


def gate_of(admission: Admission, route: str) -> Gate:
    """Return the gate of a route, or an open gate if it has none."""
    return admission.gates.get(route) or Gate()


def shedding(admission: Admission) -> list[tuple[str, Gate]]:
    """Return the routes with a share below 1, with their gates."""
    return [
        (route, gate)
        for route, gate in admission.gates.items()
        if gate.share < 1.0
    ]


def _update(gate: Gate, above_least: int, now: float) -> None:
    elapsed = min(FRESH_SECONDS, now - gate.updated_at)
    gate.updated_at = now
    overload = gate.load - TARGET_LOAD - TARGET_LOAD_STEP * above_least
    if overload > 0.0 and now - gate.heard_at < FRESH_SECONDS:
        cut = min(MAX_CUT, CUT_PER_OVERLOAD * overload) / (1.0 + above_least)
        gate.share = max(MIN_SHARE, gate.share * (1.0 - cut))
    else:
        headroom = min(1.0, max(0.0, -overload))
        per_second = RISE_PER_SECOND + RISE_PER_SECOND_BY_HEADROOM * headroom
        gate.share = min(1.0, gate.share + per_second * elapsed)
