"""Whether a stopping daemon takes a request of a client."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import stops
from sassafrasstair import histograms

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

EXPECTED_SHARE = 0.9
"""The share of a route's requests that end within its expected time."""
ANSWERS_MIN = 20
"""Answers of a route before its expected time is taken from them."""


def client_deadline(daemon: _state.Daemon, request: httpio.Request) -> float:
    """Return until when the client waits, infinity if it does not say."""
    value = request.headers.get(daemon.header_keys.deadline_ms)
    if value is None or not value.isdigit():
        return float("inf")
    return request.received_at + int(value) / 1000.0


def may_take(
    daemon: _state.Daemon,
    route: policies.Route,
    request: httpio.Request,
    now: float,
) -> bool:
    """Return whether the daemon takes a request, as it does unless it stops.

    The head of the request has been read.
    """
    if daemon.stop is None:
        return True
    deadline = min(
        request.received_at + route.timeout, client_deadline(daemon, request)
    )
    arrival = stops.Arrival(
        request.received_at,
        deadline,
        _expected_seconds(daemon, route),
        bool(daemon.executions)
        and admission.called_only_by_upstreams(daemon.chains, route.name),
    )
    return stops.may_take(daemon.stop, arrival, now)


def _expected_seconds(daemon: _state.Daemon, route: policies.Route) -> float:
    """Return how long a request is expected to take, by earlier answers."""
    series = daemon.counters.answer_seconds.get(route.name)
    if series is None or sum(series.counts) < ANSWERS_MIN:
        return route.objective
    return histograms.quantile(series, EXPECTED_SHARE)
