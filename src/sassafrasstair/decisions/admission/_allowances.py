"""The share of each kind of request that an entrance admits, by its cost.

Several kinds of request meet at a service that can't hold them all. Answers
tell what a request of a route costs at such a service, and how much work
reaches it as a share of its room. From the latter, each entrance derives the
fraction of the work asked for that it may admit; all entrances get the same
reports, and so come to about the same fraction. The entrance fills it from
the most important kind down, and within one importance with the kinds that
cost least, which serves most callers.

The importance of single calls plays no part: which request a call belongs to
is only guessed, and a wrong guess would cut the wrong kind.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import costs

if typing.TYPE_CHECKING:
    from collections import abc
    import random

UPDATE_SECONDS = 0.1
TARGET_OFFERED = 1.0
"""The work to aim for, as a share of a service's room. What is too much is
seen in the waits, which lower the fraction, too."""
UNREPORTED_OFFERED = 0.5
"""The share that is assumed of a service that an answer no longer reports."""
GAIN = 0.5
WAIT_GAIN = 0.25
DELAY_SECONDS = 1.2
"""Gains of the control of the fraction, and the time until a change shows in
the reports: requests that were admitted first pass the rest of their chain,
and the reports are averages. The rule is that of the rate control protocol
(Dukkipati et al., "Processor Sharing Flows in the Internet", 2005)."""
MAX_RISE = 1.0
"""The greatest relative difference to the target that the gain applies to."""
MIN_FRACTION = 0.02
"""Without any requests no answer would report the room."""
LEAST_SHARE = 0.3
"""No kind's share is less than this part of the fraction: a kind that is
unimportant or expensive is served less often, but not starved."""
ROOM_AVERAGE_SECONDS = 0.3
COST_WEIGHT = 0.2
FRESH_SECONDS = 1.0
"""Reports are heeded for this long."""
RISE_PER_SECOND = 0.5
"""By how much the fraction grows per second without reports."""
RATE_AVERAGE_SECONDS = 0.5
RATE_AVERAGE_REQUESTS = 10.0
"""The demand is averaged over this time, or over as many requests as this
if they take longer."""
KINDS_MAX = 256

Kind = tuple[str, int]
"""A route, and the importance of its requests (which customers may set)."""


@dataclasses.dataclass(slots=True)
class KindDemand:
    """The requests of one kind: how many arrive, and the share admitted."""

    arrived: int = 0
    per_second: float = 0.0
    share: float = 1.0


@dataclasses.dataclass(slots=True)
class Room(costs.RoomAverage):
    """What is known of one service.

    ``fraction`` is the part of the work asked for there that is admitted.
    """

    fraction: float = 1.0


@dataclasses.dataclass(slots=True)
class Allowances:
    """The state of an entrance.

    ``slot_seconds`` is the average cost of a request, by route and service.
    """

    kinds: dict[Kind, KindDemand] = dataclasses.field(default_factory=dict)
    slot_seconds: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    rooms: dict[str, Room] = dataclasses.field(default_factory=dict)
    least_share: float = LEAST_SHARE
    updated_at: float = -math.inf


def observe_costs(
    allowances: Allowances,
    route: str,
    reports: abc.Iterable[costs.ServiceCost],
    now: float,
) -> None:
    """Add what the answer to a request of the route reports."""
    known = allowances.slot_seconds.setdefault(route, {})
    reported = set()
    for report in reports:
        reported.add(report.service)
        average = known.get(report.service, report.slot_seconds)
        average += COST_WEIGHT * (report.slot_seconds - average)
        known[report.service] = average
        _observe_room(
            allowances,
            report.service,
            report.offered,
            report.wait_seconds,
            now,
        )
    for service in known.keys() - reported:
        if service in allowances.rooms:
            _observe_room(allowances, service, UNREPORTED_OFFERED, 0.0, now)


def covers(allowances: Allowances, route: str) -> bool:
    """Return whether a service of the route's chain is short of room."""
    return bool(allowances.rooms) and any(
        service in allowances.rooms
        for service in allowances.slot_seconds.get(route, ())
    )


def admit(
    allowances: Allowances,
    kind: Kind,
    now: float,
    rng: random.Random,
) -> bool:
    """Count a request, and return whether to admit it."""
    demand = allowances.kinds.get(kind)
    if demand is None:
        if len(allowances.kinds) >= KINDS_MAX:
            return True
        demand = allowances.kinds[kind] = KindDemand()
    demand.arrived += 1
    elapsed = now - allowances.updated_at
    if elapsed >= UPDATE_SECONDS:
        _update(allowances, min(elapsed, FRESH_SECONDS), now)
        allowances.updated_at = now
    return demand.share >= 1.0 or rng.random() < demand.share


def share_of(allowances: Allowances, kind: Kind) -> float:
    """Return the share of a kind that is admitted."""
    demand = allowances.kinds.get(kind)
    return 1.0 if demand is None else demand.share


def greatest_offered(allowances: Allowances, route: str) -> float:
    """Return the greatest work offered at a service of the route's chain."""
    return max(
        (
            allowances.rooms[service].offered
            for service in allowances.slot_seconds.get(route, ())
            if service in allowances.rooms
        ),
        default=0.0,
    )


def cut_kinds(allowances: Allowances) -> list[tuple[Kind, float]]:
    """Return the kinds of which a part is refused, with their shares."""
    return [
        (kind, demand.share)
        for kind, demand in allowances.kinds.items()
        if demand.share < 1.0
    ]


def short_rooms(allowances: Allowances) -> list[tuple[str, Room]]:
    """Return the services at which not all work is admitted."""
    return [
        (service, room)
        for service, room in allowances.rooms.items()
        if room.fraction < 1.0
    ]


def _observe_room(
    allowances: Allowances,
    service: str,
    offered: float,
    wait_seconds: float,
    now: float,
) -> None:
    room = allowances.rooms.get(service)
    if room is None:
        allowances.rooms[service] = Room(offered, wait_seconds, now)
        return
    costs.update_room(room, offered, wait_seconds, ROOM_AVERAGE_SECONDS, now)


def _update(allowances: Allowances, elapsed: float, now: float) -> None:
    for demand in allowances.kinds.values():
        _average_rate(demand, elapsed)
        demand.share = 1.0
    for service, room in list(allowances.rooms.items()):
        _control(room, elapsed, now)
        if room.fraction < 1.0:
            _fill(allowances, service, room.fraction)
        elif now - room.heard_at >= FRESH_SECONDS:
            del allowances.rooms[service]


def _average_rate(demand: KindDemand, elapsed: float) -> None:
    """Update the average of the requests that arrive per second."""
    per_second = demand.arrived / elapsed
    demand.arrived = 0
    seconds = RATE_AVERAGE_SECONDS
    if demand.per_second > 0.0:
        seconds = max(seconds, RATE_AVERAGE_REQUESTS / demand.per_second)
    weight = 1.0 - math.exp(-elapsed / min(seconds, 5.0))
    demand.per_second += weight * (per_second - demand.per_second)


def _work(
    allowances: Allowances, service: str
) -> list[tuple[int, float, KindDemand]]:
    """Return the kinds that need a service, the first to admit first.

    Each with its slot-seconds for a request.
    """
    work = []
    for kind, demand in allowances.kinds.items():
        seconds = allowances.slot_seconds.get(kind[0], {}).get(service)
        if seconds is not None and demand.per_second > 0.0:
            work.append((-kind[1], seconds, demand))
    work.sort(key=lambda each: each[:2])
    return work


def _control(room: Room, elapsed: float, now: float) -> None:
    """Adjust the fraction so that the work offered stays at its target."""
    if now - room.heard_at >= FRESH_SECONDS:
        room.fraction = min(1.0, room.fraction + RISE_PER_SECOND * elapsed)
        return
    difference = TARGET_OFFERED / max(room.offered, 0.01) - 1.0
    change = GAIN * min(MAX_RISE, difference)
    change -= WAIT_GAIN * room.wait_seconds / DELAY_SECONDS
    factor = max(0.5, 1.0 + change * elapsed / DELAY_SECONDS)
    room.fraction = min(1.0, max(MIN_FRACTION, room.fraction * factor))


def _fill(allowances: Allowances, service: str, fraction: float) -> None:
    """Part the work that may be admitted at a service among the kinds."""
    work = _work(allowances, service)
    least = allowances.least_share * fraction
    slots = [seconds * demand.per_second for _, seconds, demand in work]
    left = (fraction - least) * sum(slots)
    for (_, _, demand), asked in zip(work, slots, strict=True):
        more = min(left, (1.0 - least) * asked)
        left -= more
        share = least + (more / asked if asked > 0.0 else 0.0)
        demand.share = min(demand.share, share)
