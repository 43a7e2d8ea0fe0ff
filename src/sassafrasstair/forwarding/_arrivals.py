"""Whether a stopping daemon takes, starts and runs a request."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import load
from sassafrasstair.decisions import stops
from sassafrasstair import histograms

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

EXPECTED_SHARE = 0.9
"""The share of a route's requests that end within its expected time."""
DIGITS_MAX = 15
"""Digits of a deadline in milliseconds; a longer one is no limit."""
LATE_CALL_SECONDS = 0.5
"""How much later than its run a call may seem to expire: its deadline counts
from when it is read, which a busy daemon does late."""
ANSWERS_MIN = 20
"""Answers of a route before its expected time is taken from them."""


def client_deadline(daemon: _state.Daemon, request: httpio.Request) -> float:
    """Return until when the client waits, infinity if it does not say."""
    value = request.headers.get(daemon.header_keys.deadline_ms)
    if value is None or not value.isdigit() or len(value) > DIGITS_MAX:
        return float("inf")
    return request.received_at + int(value) / 1000.0


def may_take(
    daemon: _state.Daemon,
    route: policies.Route,
    request: httpio.Request,
    read_at: float,
    now: float,
) -> bool:
    """Return whether the daemon takes a request, as it does unless it stops.

    The head of the request has been read, and the rest at ``read_at`` at the
    latest: ``now`` if it is still being read.
    """
    if daemon.stop is None:
        return True
    expires = client_deadline(daemon, request)
    arrival = stops.Arrival(
        request.received_at,
        read_at,
        min(request.received_at + route.timeout, expires),
        _expected_seconds(daemon, route),
        _longest_seconds(daemon, route, now),
        _may_be_call(daemon, expires),
    )
    return stops.may_take(daemon.stop, arrival, now)


def may_run(
    daemon: _state.Daemon,
    guard: load.Guard,
    inbound: _records.InboundRequest,
    deadline: float,
    now: float,
) -> bool:
    """Return whether this VM's upstream may get a request of any daemon."""
    if daemon.stop is None:
        return True
    wait = load.wait_seconds(guard)
    run = _run(daemon, guard, inbound, deadline, wait, now)
    return stops.may_run(daemon.stop, run, now)


def may_start(daemon: _state.Daemon, execution: _records.Execution) -> bool:
    """Return whether a request that got a slot may still be run."""
    if daemon.stop is None:
        return True
    now = daemon.clock.monotonic()
    run = _run(
        daemon,
        execution.guard,
        execution.request,
        execution.deadline,
        0.0,
        now,
    )
    return stops.may_start_run(daemon.stop, run, now)


def _run(
    daemon: _state.Daemon,
    guard: load.Guard,
    inbound: _records.InboundRequest,
    deadline: float,
    wait: float,
    now: float,
) -> stops.Run:
    """Return what the upstream is to run, after a wait of so many seconds."""
    return stops.Run(
        deadline,
        wait + _longest_run(daemon, guard, inbound.metadata.route, now),
        inbound.entrance == daemon.settings.host,
        inbound.last_resort,
    )


def _longest_run(
    daemon: _state.Daemon, guard: load.Guard, route_name: str, now: float
) -> float:
    """Return how long a run takes, by its objective until one has ended."""
    if load.knows_route(guard, route_name):
        average = load.route_seconds(guard, route_name)
        longest = load.longest_seconds(guard, route_name, now)
        return max(stops.tail_seconds(average), longest)
    table = daemon.view.table
    route = None if table is None else table.routes_by_name.get(route_name)
    return 0.0 if route is None else route.objective


def _may_be_call(daemon: _state.Daemon, expires: float) -> bool:
    """Return whether the upstream may make a request for one that it runs.

    Nothing in a request says who makes it, but a call expires no later than
    the request for which it is made.
    """
    return any(
        run.job is not None and expires <= run.deadline + LATE_CALL_SECONDS
        for run in daemon.executions.values()
    )


def _expected_seconds(daemon: _state.Daemon, route: policies.Route) -> float:
    """Return how long a request is expected to take, by earlier answers."""
    series = daemon.counters.answered_seconds.get(route.name)
    if series is None or sum(series.counts) < ANSWERS_MIN:
        return route.objective
    return histograms.quantile(series, EXPECTED_SHARE)


def _longest_seconds(
    daemon: _state.Daemon, route: policies.Route, now: float
) -> float:
    """Return how long a request takes, by its objective if none is known."""
    longest = daemon.counters.longest_answers.get(route.name)
    return stops.current_longest(longest, now) or route.objective
