"""Applies what answers report of load and costs in a request's chain."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _notices

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state
    from sassafrasstair.forwarding import _wire
    from sassafrasstair.forwarding import _work_wire


def observe_load(
    daemon: _state.Daemon,
    call: _records.Call,
    instance: str,
    state: _wire.CalleeState,
    now: float,
) -> None:
    """Apply the load of the busiest instance in the chain of the request.

    On an internal route, which only upstreams call (``admission`` says inner
    route), the load is kept in ``daemon.chains`` by route and importance.
    This daemon then reports it with the answers of its own upstream, so that
    it reaches the entrances of the clients' requests. On any other route,
    the load adjusts the gate, which holds the share of the route's requests
    that is admitted here. Calls on internal routes are not shed: each is part
    of a request on which work was already spent.
    """
    route = call.progress.route.name
    own_load = admission.pressure(
        state.load_at_rank, state.load.service_seconds
    )
    if _has_room_elsewhere(daemon, call.progress.service, instance):
        own_load = 0.0
    busiest = max(own_load, state.downstream_load)
    if state.internal_route:
        importance = math.floor(call.progress.rank)
        admission.observe_inner_load(
            daemon.chains, route, importance, busiest, now
        )
    else:
        admission.mark_called_by_clients(daemon.chains, route)
        admission.observe_load(daemon.gates, route, busiest, now)


def observe_costs(
    daemon: _state.Daemon,
    call: _records.Call,
    instance: str,
    state: _wire.CalleeState,
    work: _work_wire.WorkReport,
    now: float,
) -> None:
    """Apply the costs of the request's route that the callee reports."""
    route = call.progress.route.name
    if state.internal_route:
        costs.observe_costs(daemon.ledger, route, work.costs, now)
    elif not _has_room_elsewhere(daemon, call.progress.service, instance):
        admission.observe_costs(daemon.allowances, route, work.costs, now)


def _has_room_elsewhere(
    daemon: _state.Daemon, service: str, instance: str
) -> bool:
    """Return whether an instance limits its rate and another one does not.

    Such an instance is full while the others have room. Shedding the route
    for its load would leave them idle.
    """
    if _notices.rate_limit_of(daemon, instance) == math.inf:
        return False
    return any(
        _notices.rate_limit_of(daemon, target.vm) == math.inf
        for target in views.targets(daemon.view, service)
    )
