"""Handles requests of clients, from their arrival to the final answer."""

from __future__ import annotations

import asyncio
import functools

from sassafrasstair import bundles
from sassafrasstair.decisions import admission
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _attempts
from sassafrasstair.forwarding import _customers
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _endings
from sassafrasstair.forwarding import _quotas
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _repeats
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import outcomes


_LEVELS = bundles.IMPORTANCE_MAX + 1


def handle(daemon: _state.Daemon, exchange: httpio.Exchange) -> None:
    """Serve one request of a client or of this VM's upstream."""
    route = _find_route(daemon, exchange)
    if route is None:
        return
    key = _customers.key_digest(daemon, exchange.request)
    customer = _customers.identify(daemon, exchange, route, key)
    if customer is None:
        return
    now = daemon.clock.monotonic()
    call = _begin_call(daemon, exchange, route, customer, now)
    call.key_digest = key
    if requests.is_too_late(call.progress, now):
        # It has waited on its connection behind an earlier request.
        expire_call(daemon, call)
        return
    if not _admit(daemon, route, call.importance, now):
        _endings.refuse(daemon, call, outcomes.Reason.SHED_AT_ENTRANCE)
        return
    if customer.rate > 0.0:
        answer = functools.partial(_continue_call, daemon, call)
        _quotas.take_token(daemon, customer, answer)
        return
    _attempts.send_attempt(daemon, call)


def _admit(
    daemon: _state.Daemon,
    route: policies.Route,
    importance: int,
    now: float,
) -> bool:
    """Return whether to admit a request.

    Calls of this VM's upstream are always admitted: work was already spent
    on the requests that they are part of.
    """
    if daemon.settings.admits_by_cost:
        if admission.called_only_by_upstreams(daemon.chains, route.name):
            return True
        admitted = admission.admit_kind(
            daemon.allowances, (route.name, importance), now, daemon.rng
        )
        if admission.covers(daemon.allowances, route.name):
            return admitted
    return admission.admit(
        daemon.gates,
        route.name,
        importance - daemon.least_importance,
        now,
        daemon.rng,
    )


def is_idempotent(daemon: _state.Daemon, request: httpio.Request) -> bool:
    """Return whether a request's route allows it to run more than once.

    A request without a route is answered with an error, which is not worth
    running it beside others.
    """
    table = daemon.view.table
    if table is None:
        return False
    route = match_route(table, request)
    return route is not None and route.idempotent


def _continue_call(
    daemon: _state.Daemon, call: _records.Call, reason: outcomes.Reason
) -> None:
    """Continue a request once its customer's quota has been checked."""
    if reason is outcomes.Reason.NONE:
        until = _quotas.usable_until(daemon, call.customer)
        if call not in daemon.calls:
            _quotas.return_token(daemon, call.customer, until)
            return
        call.token_until = until
        _attempts.send_attempt(daemon, call)
    elif call in daemon.calls:
        _endings.refuse(daemon, call, reason)


def _importance(route: policies.Route, customer: policies.Customer) -> int:
    """Return a request's importance; its customer's overrides its route's."""
    if customer.importance is None:
        return route.importance
    return customer.importance


def _find_route(
    daemon: _state.Daemon, exchange: httpio.Exchange
) -> policies.Route | None:
    """Return the request's route, or reject the request and return None."""
    found = exchange.request.headers
    table = daemon.view.table
    if table is None:
        _endings.refuse_early(daemon, exchange, outcomes.Reason.NO_BUNDLE)
        return None
    route = match_route(table, exchange.request)
    if route is None:
        if views.is_store_unreachable(daemon.view, daemon.clock.monotonic()):
            _endings.refuse_early(daemon, exchange, outcomes.Reason.NO_BUNDLE)
        else:
            reason = outcomes.Reason.UNKNOWN_SERVICE
            _endings.answer_early(daemon, exchange, 404, reason)
        return None
    if not found.get(b"host") or not found.get(daemon.header_keys.request_id):
        _endings.answer_early(daemon, exchange, 400, outcomes.Reason.MALFORMED)
        return None
    return route


def match_route(
    table: policies.Table, request: httpio.Request
) -> policies.Route | None:
    """Return the route of a request whose head has been read."""
    host = request.headers.get(b"host", b"").decode("latin-1")
    path = request.target.partition(b"?")[0].decode("latin-1")
    return policies.match_route(table, host, path)


def _begin_call(
    daemon: _state.Daemon,
    exchange: httpio.Exchange,
    route: policies.Route,
    customer: policies.Customer,
    now: float,
) -> _records.Call:
    """Register the request as a call in flight, with its deadline set."""
    request = exchange.request
    service = policies.choose_service(route, daemon.rng)
    client_deadline = _arrivals.client_deadline(daemon, request)
    deadline = min(request.received_at + route.timeout, client_deadline)
    rank = _rank(daemon, route, customer, client_deadline)
    call = _records.Call(
        exchange,
        request.headers[daemon.header_keys.request_id],
        requests.new_progress(route, service, rank, deadline),
        _forwarded_fields(daemon, request),
        now,
        customer=customer.name,
        importance=_importance(route, customer),
    )
    daemon.calls.add(call)
    if daemon.settings.admits_by_cost and admission.called_only_by_upstreams(
        daemon.chains, route.name
    ):
        costs.call_started(
            daemon.ledger.chains, call.request_id, route.name, now
        )
    exchange.gone = functools.partial(_abort_call, daemon, call)
    left = requests.expires_at(call.progress) - now
    call.timer = asyncio.get_running_loop().call_later(
        max(0.0, left), expire_call, daemon, call
    )
    requests.note_request(_repeats.window(daemon, service), now, rank)
    return call


def expire_call(daemon: _state.Daemon, call: _records.Call) -> None:
    """Answer a request at its deadline, and abort its attempts."""
    end_call(daemon, call, outcomes.Reason.DEADLINE_PASSED)


def end_call(
    daemon: _state.Daemon, call: _records.Call, reason: outcomes.Reason
) -> None:
    """Answer a request without a result, and abort its attempts."""
    if call not in daemon.calls:
        return
    if any(
        _attempts.may_have_run(daemon, attempt) for attempt in call.attempts
    ):
        call.progress.may_have_run = True
    _attempts.abort_all(daemon, call)
    _endings.answer_failed_call(daemon, call, reason)


def _abort_call(daemon: _state.Daemon, call: _records.Call) -> None:
    """Abort the request of a client that closed its connection."""
    if call not in daemon.calls:
        return
    _attempts.abort_all(daemon, call)
    _endings.log_end(daemon, call, "client_left", 0, "client_left")
    _endings.finish_call(daemon, call, 0, "client_left")


def _forwarded_fields(
    daemon: _state.Daemon, request: httpio.Request
) -> httpio.Fields:
    """Return the header fields to forward, with the caller's service."""
    table = daemon.view.table
    has_customers = (
        table is not None and table.customers_by_key_digest is not None
    )
    dropped = _dropped_fields(daemon.header_keys, has_customers)
    fields = httpio.end_to_end_fields(
        request.fields,
        request.headers,
        dropped,
        {b"host", daemon.header_keys.request_id},
    )
    fields.append(
        (daemon.header_names.caller, daemon.settings.service.encode())
    )
    return fields


@functools.lru_cache(maxsize=4)
def _dropped_fields(
    keys: _dialect.HeaderNames, has_customers: bool
) -> frozenset[bytes]:
    """Return the header fields that are dropped or set by this daemon.

    With ``has_customers`` they include the customer's API key.
    """
    own = {keys.caller, keys.customer, keys.deadline_ms, keys.target}
    if has_customers:
        own.add(keys.key)
    return _wire.INTERNAL_HEADERS | own


def _rank(
    daemon: _state.Daemon,
    route: policies.Route,
    customer: policies.Customer,
    expires: float,
) -> float:
    """Return the rank of a request.

    A request for a route that only upstreams call takes the rank of the
    request during which this VM's upstream made it. Any other request has
    its importance plus a random fraction. If the customer sets the
    importance, the fraction also increases with the route's importance.
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
