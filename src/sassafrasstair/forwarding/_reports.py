"""What a daemon reports of its instance with each answer."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import load
from sassafrasstair.forwarding import _repeats
from sassafrasstair.forwarding import _wire
from sassafrasstair.forwarding import _work_wire

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import requests
    from sassafrasstair.forwarding import _state
    from sassafrasstair import outcomes


def work_report(
    daemon: _state.Daemon, guard: load.Guard, route: str, now: float
) -> _work_wire.WorkReport:
    """Return what this daemon knows of the work of a request's route."""
    seconds = None
    if daemon.settings.places_by_objective:
        seconds = load.usual_seconds(guard, route)
    below = _repeats.calls_below(daemon, now)
    return _work_wire.WorkReport(
        seconds,
        below.depth,
        _costs(daemon, guard, route, now),
        below.calls,
    )


def _costs(
    daemon: _state.Daemon, guard: load.Guard, route: str, now: float
) -> tuple[costs.ServiceCost, ...]:
    """Return the costs of a route to report, none if they are not used."""
    if not daemon.settings.admits_by_cost:
        return ()
    own = costs.ServiceCost(
        daemon.settings.service,
        load.route_seconds(guard, route),
        costs.offered_share(daemon.demand, load.limit(guard, now), now),
        load.wait_seconds(guard),
    )
    return costs.costs_of_route(daemon.ledger, route, own, now)


def callee_state(
    daemon: _state.Daemon,
    guard: load.Guard,
    metadata: _wire.RequestMetadata,
    ending: requests.Ending | None,
    reason: outcomes.Reason,
    now: float,
) -> _wire.CalleeState:
    """Return the state to report with the answer.

    It includes the load of the busiest service that this VM's upstream calls
    for requests of the same importance, and whether the route is internal.
    The entrance or the calling daemon uses both when it handles the answer.
    A higher rank, and so a higher importance, takes precedence.
    """
    importance = math.floor(metadata.rank)
    load_report = calls.LoadReport(
        load.busy(guard),
        limit=load.limit(guard, now),
        service_seconds=load.service_seconds(guard),
    )
    return _wire.CalleeState(
        daemon.view.content_revision,
        daemon.upstream_leaving,
        load_report,
        load.busy_at_or_above(guard, importance),
        admission.busiest_callee_load(daemon.chains, importance, now),
        admission.is_inner(daemon.callers, metadata.route, daemon.services),
        ending,
        reason,
    )
