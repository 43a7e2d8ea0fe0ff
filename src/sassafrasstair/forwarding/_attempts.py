"""Sends a client's request to instances and handles each attempt's end.

An instance may keep its id when it restarts, so the id and the start time
together identify one run of the instance.

The ``rank`` of a request is its importance plus a fraction below 1. A higher
rank is more important.

A request that has repeatedly been running when an instance crashed is a
suspect: no other suspect may run beside it, and after further crashes it is
blocked for a while. When the block ends, its next attempt is a trial.
``trial_strikes`` is the number of crashes after which the trial is made.
Another daemon gets it as ``TRIAL_HEADER``, and runs the trial unless it knows
of more crashes.
"""

from __future__ import annotations

import functools
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _callee
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _endings
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _notices
from sassafrasstair.forwarding import _observations
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _repeats
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair.forwarding import _work_wire
from sassafrasstair import httpio
from sassafrasstair import notices
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

QUEUE_WAIT_RATIO = 0.5
"""The fraction of a route's objective, or of the remaining time if that is
shorter, that a request may wait for a slot. The wait must end before the
timeout: at the timeout an entrance can't know that the request has not run,
so it could not tell the client to retry."""


def send_attempt(
    daemon: _state.Daemon,
    call: _records.Call,
    last_reason: outcomes.Reason = outcomes.Reason.NO_INSTANCE,
) -> None:
    """Send the request to an instance that has not been tried yet.

    If there is none, the client is answered with ``last_reason``, the
    reason for which the previous attempt ended, unless another one is still
    under way. ``verdict`` says whether the
    request is suspected of crashing instances, None if no crash is known. A
    blocked request is refused with ``CRASHES_INSTANCES``, and one that a
    stopping daemon does not take with ``LEAVING``.
    """
    now = daemon.clock.monotonic()
    verdict = _crashes.verdict_of_call(daemon, call)
    if _crashes.is_blocked(verdict):
        _give_up(daemon, call, outcomes.Reason.CRASHES_INSTANCES)
        return
    progress = call.progress
    if not _arrivals.may_take(
        daemon, progress.route, call.exchange.request, call.read_at, now
    ):
        _give_up(daemon, call, outcomes.Reason.LEAVING)
        return
    targets = views.targets(daemon.view, progress.service)
    need = _need(daemon, call, now)
    choice = _choose(daemon, call, targets, need, now)
    if choice is None:
        _give_up(daemon, call, last_reason)
        return
    target = choice.target
    last_resort = calls.is_leaving(daemon.routes, target.vm)
    if last_resort:
        daemon.counters.last_resort_attempts += 1
        call.last_resorts.append(target.vm)
    instance = views.instance_by_id(daemon.view, target.vm)
    host = "" if instance is None else instance.host
    cross_domain_reason = calls.reason_for_crossing(
        daemon.routes, targets, target, progress.tried, now, need
    )
    requests.attempt_sent(progress, target.vm)
    calls.start_attempt(daemon.routes, target.vm, now)
    remaining = progress.deadline - now
    metadata = _wire.RequestMetadata(
        daemon.view.content_revision,
        target.vm,
        progress.route.name,
        progress.rank,
        remaining,
        QUEUE_WAIT_RATIO * min(progress.route.objective, remaining),
    )
    attempt = _records.Attempt(
        target.vm,
        host,
        now,
        views.born_at(daemon.view, target.vm),
        metadata,
        [*call.fields, (daemon.header_names.target, target.vm.encode())],
        _crashes.trial_strikes(verdict),
        cross_domain_reason,
        choice.expected_seconds,
        _repeats.shares_by_depth(daemon, progress.service, now),
        last_resort,
    )
    call.attempt = attempt
    if host == daemon.settings.host:
        _submit_locally(daemon, call, attempt)
    else:
        _send_to_peer(daemon, call, attempt)


def _choose(
    daemon: _state.Daemon,
    call: _records.Call,
    targets: abc.Sequence[calls.Target],
    need: calls.Need | None,
    now: float,
) -> calls.ScoredTarget | None:
    """Return the instance for an attempt, at worst one that may take it."""
    routes, rng, tried = daemon.routes, daemon.rng, call.progress.tried
    choice = calls.choose(
        routes, targets, tried, now, rng, need
    ) or calls.choose_leaving(routes, targets, call.last_resorts, now, rng)
    if choice is not None or daemon.stop is not None:
        return choice
    choice = calls.choose_stalled(routes, targets, tried, now, rng)
    if choice is not None:
        daemon.journal.request(
            "sent_to_silent",
            outcomes.Reason.PEER_SILENT.value,
            request=call.request_id.decode("latin-1"),
            route=call.progress.route.name,
            instance=choice.target.vm,
            left=call.progress.deadline - now,
        )
    return choice


def _need(
    daemon: _state.Daemon, call: _records.Call, now: float
) -> calls.Need | None:
    """Return what the request needs of its instance, None if that is off."""
    if not daemon.settings.places_by_objective:
        return None
    route = call.progress.route
    taken = now - call.exchange.request.received_at
    return calls.Need(route.name, route.objective - taken)


def abort_all(daemon: _state.Daemon, call: _records.Call) -> None:
    """Abort all attempts, at the callees' daemons as well."""
    attempts = call.attempts
    call.attempt = None
    call.silent_attempts.clear()
    for attempt in attempts:
        calls.forget_attempt(daemon.routes, attempt.instance)
        if attempt.job is not None:
            attempt.job.abort()
        elif attempt.execution_key:
            _callee.cancel(daemon, attempt.execution_key)


def may_have_run(daemon: _state.Daemon, attempt: _records.Attempt) -> bool:
    """Return whether the upstream may have run an abandoned attempt.

    An attempt can't have run while its connection is being established, nor
    while it waits for a slot on this VM. Aborting it ends both.
    """
    job = attempt.job
    if job is None:
        execution = daemon.executions.get(attempt.execution_key)
        if execution is not None and execution.connection_broken:
            return True
        job = None if execution is None else execution.job
    return job is not None and job.may_have_been_sent


def _submit_locally(
    daemon: _state.Daemon,
    call: _records.Call,
    attempt: _records.Attempt,
) -> None:
    """Hand the attempt to the instance on this VM."""
    request = call.exchange.request
    inbound = _records.InboundRequest(
        attempt.metadata,
        attempt.sent_at,
        daemon.settings.host,
        daemon.settings.service,
        call.request_id,
        request.method,
        request.headers.get(b"host", b""),
        request.target,
        attempt.fields,
        request.body,
        attempt.trial_strikes,
        call.customer,
        shares_by_depth=attempt.shares_by_depth,
        last_resort=attempt.last_resort,
    )

    def on_done(result: _records.Result) -> None:
        if call.awaits(attempt):
            _handle_result(
                daemon,
                call,
                attempt,
                result.state,
                result.notice,
                result.work,
                result.response,
            )

    attempt.execution_key = _callee.submit(daemon, inbound, on_done)


def _send_to_peer(
    daemon: _state.Daemon,
    call: _records.Call,
    attempt: _records.Attempt,
) -> None:
    """Send the attempt to the daemon on the instance's VM."""
    request = call.exchange.request
    fields = [
        *attempt.fields,
        (_wire.METADATA_HEADER, _wire.encode_metadata(attempt.metadata)),
    ]
    if attempt.trial_strikes:
        fields.append((_wire.TRIAL_HEADER, b"%d" % attempt.trial_strikes))
    fields += _wire.repeats_fields(attempt.shares_by_depth)
    fields += _wire.last_resort_fields(attempt.last_resort)
    rate_limit = _notices.rate_limit_of(daemon, attempt.instance)
    fields += _wire.notice_fields(notices.Notice(rate_limit))
    if call.customer and call.key_digest is not None:
        fields.append(
            (_wire.KEY_DIGEST_HEADER, call.key_digest.hex().encode())
        )
    head = httpio.request_head(
        request.method, request.target, fields, len(request.body)
    )
    _count_cross_domain_bytes(
        daemon, call, attempt, len(head) + len(request.body)
    )
    attempt.job = httpio.Job(
        head,
        functools.partial(_handle_response, daemon, call, attempt),
        None,
        request.method == b"HEAD",
        request.body,
    )
    _state.pool(daemon, attempt.host).send(attempt.job)


def _count_cross_domain_bytes(
    daemon: _state.Daemon,
    call: _records.Call,
    attempt: _records.Attempt,
    size: int,
) -> None:
    if attempt.cross_domain_reason is None:
        return
    route = call.progress.route.name
    _counters.count_cross_domain_bytes(
        daemon.counters, route, attempt.cross_domain_reason.value, size
    )


def _handle_response(
    daemon: _state.Daemon,
    call: _records.Call,
    attempt: _records.Attempt,
    result: httpio.Response | httpio.Failure,
) -> None:
    """Handle the response of another daemon."""
    if not call.awaits(attempt):
        return
    if result is httpio.Failure.NOT_SENT:
        if _is_current(daemon, attempt):
            calls.eject(daemon.routes, attempt.instance)
        reason = outcomes.Reason.PEER_UNREACHABLE
        end_attempt(daemon, call, attempt, requests.Ending.UNSENT, reason)
        return
    if isinstance(result, httpio.Failure):
        reason = outcomes.Reason.PEER_LOST
        end_attempt(daemon, call, attempt, requests.Ending.LOST, reason)
        return
    try:
        state = _wire.decode_state(
            result.headers.get(_wire.STATE_HEADER_LOWER, b"")
        )
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", error=str(error))
        reason = outcomes.Reason.PEER_LOST
        end_attempt(daemon, call, attempt, requests.Ending.LOST, reason)
        return
    if attempt.cross_domain_reason is not None:
        size = _response_size(result)
        _count_cross_domain_bytes(daemon, call, attempt, size)
    notice = _notices.read_peer_notice(daemon, result.headers)
    _peers.note_peer_content(daemon, attempt.host, state.content)
    work = _work_wire.decode_work(result.headers)
    response = result if state.ending is None else None
    _handle_result(daemon, call, attempt, state, notice, work, response)


def _response_size(response: httpio.Response) -> int:
    """Return the approximate size of a response on the network, in bytes."""
    head = sum(
        len(name) + len(value) + 4 for _, name, value in response.fields
    )
    return head + len(response.body)


def _handle_result(
    daemon: _state.Daemon,
    call: _records.Call,
    attempt: _records.Attempt,
    state: _wire.CalleeState,
    notice: notices.Notice,
    work: _work_wire.WorkReport,
    response: httpio.Response | None,
) -> None:
    """Apply the load reported by the callee's daemon, then its result.

    ``notice`` is what that daemon knows of its instance, if it refuses, and
    ``work`` what it knows of the work of the request's route. The
    answer's ``incarnation`` is the id of the instance whose daemon
    answered, '' if none did.
    """
    now = daemon.clock.monotonic()
    _observations.observe_load(daemon, call, attempt.instance, state, now)
    if daemon.settings.admits_by_cost:
        _observations.observe_costs(
            daemon, call, attempt.instance, state, work, now
        )
    _repeats.observe_answer(daemon, call, state, work, now)
    if work.route_seconds is not None and _is_current(daemon, attempt):
        calls.observe_route_seconds(
            daemon.routes,
            attempt.instance,
            call.progress.route.name,
            work.route_seconds,
            now,
        )
    if response is None or state.ending is not None:
        _notices.record_refusal(daemon, attempt, notice)
        ending = state.ending or requests.Ending.LOST
        end_attempt(daemon, call, attempt, ending, state.reason, state)
        return
    answer = calls.Answer(
        outcomes.Outcome.DONE, load=state.load, incarnation=attempt.instance
    )
    _update_routes(daemon, attempt, answer, now)
    if state.leaving:
        calls.eject_leaving(daemon.routes, attempt.instance)
    _notices.record_answer(daemon, attempt, response)
    _remove(call, attempt)
    abort_all(daemon, call)
    _crashes.record_completed(daemon, call)
    _endings.forward_answer(daemon, call, response)


def _remove(call: _records.Call, attempt: _records.Attempt) -> requests.Beside:
    """Remove an attempt that has ended; return what is still under way."""
    if attempt is call.attempt:
        call.attempt = None
    else:
        call.silent_attempts.remove(attempt)
        requests.silent_ended(call.progress)
    if call.attempt is not None:
        return requests.Beside.LATER
    if call.silent_attempts:
        return requests.Beside.EARLIER
    return requests.Beside.NONE


def _give_up(
    daemon: _state.Daemon, call: _records.Call, reason: outcomes.Reason
) -> None:
    """Send the client the final answer, unless an attempt is under way."""
    if not call.attempts:
        _endings.answer_failed_call(daemon, call, reason)


def end_attempt(
    daemon: _state.Daemon,
    call: _records.Call,
    attempt: _records.Attempt,
    ending: requests.Ending,
    reason: outcomes.Reason,
    state: _wire.CalleeState | None = None,
) -> None:
    """Retry after a failed attempt, or send the client the final answer.

    If another attempt is under way, the request may wait for that instead.
    """
    beside = _remove(call, attempt)
    now = daemon.clock.monotonic()
    if reason is outcomes.Reason.INSTANCE_REPLACED:
        news = views.note_replaced(daemon.view, attempt.instance)
        _learning.apply_news(daemon, news, f"peer {attempt.host}")
    lost = ending is requests.Ending.LOST
    answer = calls.Answer(
        outcomes.Outcome.UNKNOWN if lost else outcomes.Outcome.NOT_RUN,
        reason,
        calls.LoadReport() if state is None else state.load,
        incarnation="" if state is None else attempt.instance,
    )
    _update_routes(daemon, attempt, answer, now)
    progress = call.progress
    step = requests.attempt_ended(
        progress,
        ending,
        _repeats.updated_window(daemon, progress.service, now),
        daemon.settings.bounds.budget,
        now,
        reason is outcomes.Reason.UPSTREAM_CRASHED,
        calls.shortest_service_seconds(
            daemon.routes, views.targets(daemon.view, progress.service), now
        ),
        now - attempt.sent_at,
        beside,
    )
    _repeats.count_step(daemon, progress, ending, step)
    _counters.count_attempt(daemon.counters, progress.service, reason.value)
    daemon.journal.request(
        "attempt_ended",
        reason.value,
        request=call.request_id.decode("latin-1"),
        route=progress.route.name,
        instance=attempt.instance,
        peer=attempt.host,
        ending=ending,
        step=step,
        taken=now - attempt.sent_at,
        expected=attempt.expected_seconds,
        left=progress.deadline - now,
        revision=views.number_in_era(daemon.view.revision),
    )
    blocked = reason is outcomes.Reason.CRASHES_INSTANCES
    if step is requests.Step.RETRY and not blocked:
        send_attempt(daemon, call, reason)
    elif step is not requests.Step.WAIT:
        _give_up(daemon, call, reason)


def _update_routes(
    daemon: _state.Daemon,
    attempt: _records.Attempt,
    answer: calls.Answer,
    now: float,
) -> None:
    """Update the routing statistics of the instance that was called."""
    if not _is_current(daemon, attempt):
        calls.forget_attempt(daemon.routes, attempt.instance)
        return
    taken = now - attempt.sent_at
    calls.end_attempt(daemon.routes, attempt.instance, answer, taken, now)
    if attempt.last_resort and answer.reason is outcomes.Reason.LEAVING:
        calls.end_last_resort(daemon.routes, attempt.instance)


def _is_current(daemon: _state.Daemon, attempt: _records.Attempt) -> bool:
    """Return whether the instance has not restarted since the attempt.

    A late failure of an earlier run of the instance, which had the same id
    and an earlier start time (``born``), must not eject the current run.
    """
    born = views.born_at(daemon.view, attempt.instance)
    return not attempt.born or attempt.born == born
