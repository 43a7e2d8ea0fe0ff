"""How long an attempt may wait, and which of those that wait goes first."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state


def max_wait(
    daemon: _state.Daemon,
    call: _records.Call,
    instance: str,
    instances: int,
    now: float,
) -> float:
    """Return how long the attempt just sent may wait, in seconds.

    ``instances`` is the number of instances of the service.
    """
    progress = call.progress
    return requests.max_wait(
        requests.WaitInputs(
            progress.route,
            now - call.exchange.request.received_at,
            progress.deadline - now,
            admission.called_only_by_upstreams(
                daemon.chains, progress.route.name
            ),
            requests.is_last_instance(progress, instances),
            calls.usual_service_seconds(daemon.routes, instance),
        )
    )


def age_of_request(
    daemon: _state.Daemon, call: _records.Call, now: float
) -> float | None:
    """Return the age in seconds of the request that a call is part of.

    That request runs at the upstream on this VM, and the call has its rank.
    Returns None if the call is not known to be part of another request.
    """
    progress = call.progress
    route = progress.route.name
    if not admission.called_only_by_upstreams(daemon.chains, route):
        return None
    for run in daemon.executions.values():
        if run.rank == progress.rank:
            return max(0.0, now - run.begun_at)
    return None
