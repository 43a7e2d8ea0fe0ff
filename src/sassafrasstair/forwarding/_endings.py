"""Sends, counts and logs the final answers to clients."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _quotas
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state

REFUSED_STATUS = 503
QUOTA_STATUS = 429
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
START_SECONDS = 1.0
"""Retry delay sent to clients while the daemon is starting."""


def forward_answer(
    daemon: _state.Daemon, call: _records.Call, response: httpio.Response
) -> None:
    """Forward an instance's answer to the client unchanged."""
    fields = httpio.end_to_end_fields(
        response.fields, response.headers, _wire.INTERNAL_HEADERS
    )
    reason = "own_failure" if response.status >= 500 else "ok"
    log_end(daemon, call, "answered", response.status, reason)
    finish_call(daemon, call, response.status, _counters.ANSWERED)
    call.exchange.respond(response.status, fields, response.body)


def answer_failed_call(
    daemon: _state.Daemon, call: _records.Call, reason: outcomes.Reason
) -> None:
    """Answer a request that got no answer from an instance.

    A request that certainly has not run is refused, which allows the client
    to retry. For any other request the outcome is unknown.
    """
    outcome = requests.outcome(call.progress)
    if outcome is outcomes.Outcome.NOT_RUN:
        refuse(daemon, call, reason)
        return
    status = UNKNOWN_STATUS
    if reason is outcomes.Reason.DEADLINE_PASSED:
        status = TIMEOUT_STATUS
    log_end(daemon, call, "gave_up", status, reason.value)
    finish_call(daemon, call, status, reason.value)
    call.exchange.respond(status, _id_fields(daemon, call), b"")


def refuse(
    daemon: _state.Daemon, call: _records.Call, reason: outcomes.Reason
) -> None:
    """Answer that the request has not run, and when to retry."""
    retry_after = requests.retry_after(call.progress.route, daemon.rng)
    if reason is outcomes.Reason.CRASHES_INSTANCES:
        retry_after = max(retry_after, _crashes.blocked_seconds(daemon, call))
    status = REFUSED_STATUS
    if reason is outcomes.Reason.QUOTA_EXCEEDED:
        status = QUOTA_STATUS
        retry_after = max(
            retry_after, _quotas.seconds_until_token(daemon, call.customer)
        )
    if call.token_until is not None:
        _quotas.return_token(daemon, call.customer, call.token_until)
        call.token_until = None
    fields = _id_fields(daemon, call)
    fields.append((b"Retry-After", b"%.3f" % retry_after))
    log_end(daemon, call, "refused", status, reason.value)
    finish_call(daemon, call, status, reason.value)
    call.exchange.respond(status, fields, b"")


def finish_call(
    daemon: _state.Daemon, call: _records.Call, status: int, reason: str
) -> None:
    """Remove a request and count its final answer, which is sent next."""
    daemon.calls.discard(call)
    if call.timer is not None:
        call.timer.cancel()
    route = call.progress.route
    now = daemon.clock.monotonic()
    costs.call_answered(daemon.ledger.chains, call.request_id, now)
    seconds = now - call.exchange.request.received_at
    _counters.count_answer(
        daemon.counters, route.name, route.importance, status, reason, seconds
    )
    if reason == _counters.ANSWERED:
        _counters.note_answer_seconds(
            daemon.counters, route.name, seconds, now
        )
    if call.customer:
        _counters.count_customer_answer(daemon.counters, call.customer, status)


def log_end(
    daemon: _state.Daemon,
    call: _records.Call,
    name: str,
    status: int,
    reason: str,
) -> None:
    """Log how the request ended, with the data behind the decision."""
    if not daemon.journal.should_log(name, reason):
        return
    progress = call.progress
    share, load = _admission_of(daemon, call)
    now = daemon.clock.monotonic()
    table = daemon.view.table
    daemon.journal.request(
        name,
        reason,
        request=call.request_id.decode("latin-1"),
        route=progress.route.name,
        service=progress.service,
        status=status,
        tried=",".join(progress.tried),
        outcome=requests.outcome(progress),
        waited=now - call.exchange.request.received_at,
        left=progress.deadline - now,
        rank=progress.rank,
        share=share,
        load=load,
        policy=0 if table is None else table.policy.version,
        revision=views.number_in_era(daemon.view.revision),
        **_customer_fields(daemon, call),
        **_crashes.log_fields(call.fingerprint),
        **_stop_fields(daemon, call.exchange.request),
    )


def _stop_fields(
    daemon: _state.Daemon, request: httpio.Request
) -> dict[str, float]:
    """Return how long after SIGTERM the request began to arrive."""
    if daemon.stop is None:
        return {}
    return {"since_stop": request.received_at - daemon.stop.began_at}


def _admission_of(
    daemon: _state.Daemon, call: _records.Call
) -> tuple[float, float]:
    """Return the admitted share of the request's kind, and the load behind it.

    The load is the greatest work offered at a service that is short of room,
    or that of the route's gate if no costs are known.
    """
    route = call.progress.route.name
    if admission.covers(daemon.allowances, route):
        kind = route, call.importance
        offered = admission.greatest_offered(daemon.allowances, route)
        return admission.share_of(daemon.allowances, kind), offered
    gate = admission.gate_of(daemon.gates, route)
    return gate.share, gate.load


def _customer_fields(
    daemon: _state.Daemon, call: _records.Call
) -> dict[str, str | float]:
    if not call.customer:
        return {}
    now = daemon.clock.monotonic()
    return {
        "customer": call.customer,
        "policy_age": views.unconfirmed_seconds(daemon.view, now),
    }


def refuse_early(
    daemon: _state.Daemon,
    exchange: httpio.Exchange,
    reason: outcomes.Reason,
) -> None:
    """Refuse a request while the daemon knows too little to route it."""
    fields = [(b"Retry-After", b"%.3f" % START_SECONDS)]
    answer_early(daemon, exchange, REFUSED_STATUS, reason, fields)


def answer_early(
    daemon: _state.Daemon,
    exchange: httpio.Exchange,
    status: int,
    reason: outcomes.Reason,
    fields: httpio.Fields | None = None,
) -> None:
    """Answer a request that was rejected before it became a call."""
    request = exchange.request
    request_id = request.headers.get(daemon.header_keys.request_id, b"")
    table = daemon.view.table
    daemon.journal.request(
        "refused",
        reason.value,
        request=request_id.decode("latin-1"),
        status=status,
        host=request.headers.get(b"host", b"").decode("latin-1"),
        target=request.target.decode("latin-1"),
        policy=0 if table is None else table.policy.version,
        policy_age=views.unconfirmed_seconds(
            daemon.view, daemon.clock.monotonic()
        ),
        revision=views.number_in_era(daemon.view.revision),
        **_stop_fields(daemon, request),
    )
    _counters.count_answer(
        daemon.counters, "none", 0, status, reason.value, 0.0
    )
    id_field = (daemon.header_names.request_id, request_id)
    exchange.respond(status, [*(fields or []), id_field], b"")


def _id_fields(daemon: _state.Daemon, call: _records.Call) -> httpio.Fields:
    return [(daemon.header_names.request_id, call.request_id)]
