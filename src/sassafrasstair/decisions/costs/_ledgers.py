"""What the calls of this VM's upstream cost further down their chains."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.costs import _chains
from sassafrasstair.decisions.costs import _messages
from sassafrasstair.decisions.costs import _rooms

if typing.TYPE_CHECKING:
    from collections import abc

FRESH_SECONDS = 0.5
"""The room at a service counts as unknown if no answer has told of it for
this long."""
ROOM_AVERAGE_SECONDS = 0.15
"""The time constant of the averages of the room at a service."""
COST_WEIGHT = 0.2
"""The weight of one answer in the average cost of a call."""
MIN_OFFERED = 0.6
"""Services with less work are not reported: nothing there is scarce."""
SERVICES_MAX = 4
"""The greatest number of services in one report, the fullest ones."""


@dataclasses.dataclass(slots=True)
class CallCost(_rooms.RoomAverage):
    """What the calls of one route cost at one service, and the room there."""

    slot_seconds: float


@dataclasses.dataclass(slots=True)
class Ledger:
    """Costs of calls, by route and service, and which calls are made."""

    chains: _chains.CallChains = dataclasses.field(
        default_factory=_chains.CallChains
    )
    by_call: dict[str, dict[str, CallCost]] = dataclasses.field(
        default_factory=dict
    )


def observe_costs(
    ledger: Ledger,
    route: str,
    costs: abc.Iterable[_messages.ServiceCost],
    now: float,
) -> None:
    """Add what the answer to a call on ``route`` reports to the averages."""
    by_service = ledger.by_call.setdefault(route, {})
    for cost in costs:
        known = by_service.get(cost.service)
        if known is None:
            by_service[cost.service] = CallCost(
                cost.offered, cost.wait_seconds, now, cost.slot_seconds
            )
            continue
        known.slot_seconds += COST_WEIGHT * (
            cost.slot_seconds - known.slot_seconds
        )
        _rooms.update_room(
            known, cost.offered, cost.wait_seconds, ROOM_AVERAGE_SECONDS, now
        )


def costs_of_route(
    ledger: Ledger,
    route: str,
    own: _messages.ServiceCost | None,
    now: float,
) -> tuple[_messages.ServiceCost, ...]:
    """Return what a request of ``route`` costs at services with much work.

    ``own`` is its cost at this VM's upstream, None if it is not known.
    """
    found: dict[str, _messages.ServiceCost] = {}
    if own is not None:
        found[own.service] = own
    calls = _chains.calls_per_run(ledger.chains, route)
    for called, number in calls.items():
        for service, cost in ledger.by_call.get(called, {}).items():
            if now - cost.heard_at < FRESH_SECONDS:
                found[service] = _add(
                    found.get(service), service, cost, number
                )
    scarce = [cost for cost in found.values() if cost.offered >= MIN_OFFERED]
    scarce.sort(key=lambda cost: cost.offered, reverse=True)
    return tuple(scarce[:SERVICES_MAX])


def _add(
    known: _messages.ServiceCost | None,
    service: str,
    cost: CallCost,
    number: float,
) -> _messages.ServiceCost:
    """Return the cost at a service with that of ``number`` calls added."""
    seconds = number * cost.slot_seconds
    if known is None:
        return _messages.ServiceCost(
            service, seconds, cost.offered, cost.wait_seconds
        )
    return _messages.ServiceCost(
        service,
        known.slot_seconds + seconds,
        max(known.offered, cost.offered),
        max(known.wait_seconds, cost.wait_seconds),
    )
