"""How long an attempt may wait, and which of those that wait goes first."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state


def parent_of(
    daemon: _state.Daemon, call: _records.Call
) -> _records.Execution | None:
    """Return the request that a call is part of, None if it is not known.

    That request runs at the upstream on this VM, and the call has its rank.
    """
    if not _is_internal(daemon, call):
        return None
    rank = call.progress.rank
    return next(
        (run for run in daemon.executions.values() if run.rank == rank), None
    )


def max_wait(
    daemon: _state.Daemon,
    call: _records.Call,
    parent: _records.Execution | None,
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
            _is_internal(daemon, call),
            requests.is_last_instance(progress, instances),
            calls.usual_service_seconds(daemon.routes, instance),
            math.inf if parent is None else parent.deadline - now,
        )
    )


def age(parent: _records.Execution | None, now: float) -> float | None:
    """Return the age in seconds of the request that a call is part of."""
    return None if parent is None else max(0.0, now - parent.begun_at)


def _is_internal(daemon: _state.Daemon, call: _records.Call) -> bool:
    route = call.progress.route.name
    return admission.called_only_by_upstreams(daemon.chains, route)
