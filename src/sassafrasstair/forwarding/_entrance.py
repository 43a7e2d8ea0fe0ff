"""The entrance: a client's request from its head to its final answer."""

from __future__ import annotations

import asyncio
import functools

from sassafrasstair import bundles
from sassafrasstair.decisions import admission
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _attempts
from sassafrasstair.forwarding import _customers
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _endings
from sassafrasstair.forwarding import _quotas
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import outcomes


_LEVELS = bundles.IMPORTANCE_MAX + 1


def handle(daemon: _state.Daemon, exchange: httpio.Exchange) -> None:
    """Serve one request of a client or of the own upstream."""
    route = _find_route(daemon, exchange)
    if route is None:
        return
    key = _customers.key_digest(daemon, exchange.request)
    customer = _customers.identify(daemon, exchange, route, key)
    if customer is None:
        return
    now = daemon.clock.monotonic()
    call = _begin(daemon, exchange, route, customer, now)
    call.key_digest = key
    above = _importance(route, customer) - daemon.least_importance
    if not admission.admit(daemon.gates, route.name, above, now, daemon.rng):
        _endings.refuse(daemon, call, outcomes.Reason.SHED_AT_ENTRANCE)
        return
    if customer.rate > 0.0:
        answer = functools.partial(_charged, daemon, call)
        _quotas.take_token(daemon, customer, answer)
        return
    _attempts.send_attempt(daemon, call)


def _charged(
    daemon: _state.Daemon, call: _records.Call, reason: outcomes.Reason
) -> None:
    """Go on with a request once it is known whether its quota allows it."""
    if reason is outcomes.Reason.NONE:
        if call not in daemon.calls:
            _quotas.return_token(daemon, call.customer)
            return
        call.holds_token = True
        _attempts.send_attempt(daemon, call)
    elif call in daemon.calls:
        _endings.refuse(daemon, call, reason)


def _importance(route: policies.Route, customer: policies.Customer) -> int:
    """Return a request's importance: its customer goes before its route."""
    if customer.importance is None:
        return route.importance
    return customer.importance


def _find_route(
    daemon: _state.Daemon, exchange: httpio.Exchange
) -> policies.Route | None:
    """Return the request's route; without one, answer and return None."""
    found = exchange.request.headers
    table = daemon.view.table
    if table is None:
        _endings.refuse_early(daemon, exchange, outcomes.Reason.NO_BUNDLE)
        return None
    host = found.get(b"host", b"").decode("latin-1")
    path = exchange.request.target.partition(b"?")[0].decode("latin-1")
    route = policies.match_route(table, host, path)
    if route is None:
        if views.is_store_unreachable(daemon.view, daemon.clock.monotonic()):
            _endings.refuse_early(daemon, exchange, outcomes.Reason.NO_BUNDLE)
        else:
            reason = outcomes.Reason.UNKNOWN_SERVICE
            _endings.answer_early(daemon, exchange, 404, reason)
        return None
    if not host or not found.get(daemon.header_keys.request_id):
        _endings.answer_early(daemon, exchange, 400, outcomes.Reason.MALFORMED)
        return None
    return route


def _begin(
    daemon: _state.Daemon,
    exchange: httpio.Exchange,
    route: policies.Route,
    customer: policies.Customer,
    now: float,
) -> _records.Call:
    """Return the request as a call under way, with its deadline set."""
    request = exchange.request
    service = policies.choose_service(route, daemon.rng)
    patience = _patience(request.headers.get(daemon.header_keys.deadline_ms))
    deadline = request.received_at + min(route.timeout, patience)
    rank = _rank(daemon, route, customer, request.received_at + patience)
    call = _records.Call(
        exchange,
        request.headers[daemon.header_keys.request_id],
        requests.new_progress(route, service, rank, deadline),
        _passed_on(daemon, request),
        customer=customer.name,
    )
    daemon.calls.add(call)
    exchange.gone = functools.partial(_gone, daemon, call)
    call.timer = asyncio.get_running_loop().call_later(
        max(0.0, deadline - now), expire_call, daemon, call
    )
    requests.note_request(_attempts.retry_window(daemon, service), now)
    return call


def expire_call(daemon: _state.Daemon, call: _records.Call) -> None:
    """Give the final answer at the request's deadline, whatever runs."""
    if call not in daemon.calls:
        return
    if call.attempt is not None and _attempts.may_have_run(
        daemon, call.attempt
    ):
        call.progress.may_have_run = True
    _attempts.abort_attempt(daemon, call)
    _endings.answer_failed_call(daemon, call, outcomes.Reason.DEADLINE_PASSED)


def _gone(daemon: _state.Daemon, call: _records.Call) -> None:
    """End the work for a client that has left."""
    if call not in daemon.calls:
        return
    _attempts.abort_attempt(daemon, call)
    _endings.log_end(daemon, call, "client_left", 0, "client_left")
    _endings.finish_call(daemon, call, 0, "client_left")


def _passed_on(
    daemon: _state.Daemon, request: httpio.Request
) -> httpio.Fields:
    """Return the fields for the upstream, with the caller's service."""
    table = daemon.view.table
    keyed = table is not None and table.customers_by_key_digest is not None
    dropped = _dropped(daemon.header_keys, keyed)
    fields = httpio.end_to_end_fields(request.fields, request.headers, dropped)
    fields.append(
        (daemon.header_names.caller, daemon.settings.service.encode())
    )
    return fields


@functools.lru_cache(maxsize=4)
def _dropped(keys: _dialect.HeaderNames, keyed: bool) -> frozenset[bytes]:
    """Return the fields that go no further, or that this daemon sets itself.

    ``keyed`` where requests carry the keys of customers.
    """
    own = {keys.caller, keys.customer, keys.deadline_ms, keys.target}
    if keyed:
        own.add(keys.key)
    return _wire.INTERNAL_HEADERS | own


def _rank(
    daemon: _state.Daemon,
    route: policies.Route,
    customer: policies.Customer,
    expires: float,
) -> float:
    """Return the rank of a request: its own, or that of what it is part of.

    Only the own upstream calls an inner route here.
    """
    if admission.called_only_by_upstreams(daemon.chains, route.name):
        running = [
            run for run in daemon.executions.values() if run.job is not None
        ]
        rank = admission.parent_rank(
            daemon.parents, route.name, expires, running
        )
        if rank is not None:
            return rank
    if customer.importance is None:
        return route.importance + daemon.rng.random()
    within = (route.importance + daemon.rng.random()) / _LEVELS
    return customer.importance + within


def _patience(value: bytes | None) -> float:
    """Return the seconds that the client waits, without end if not told."""
    if value is None or not value.isdigit():
        return float("inf")
    return int(value) / 1000.0
