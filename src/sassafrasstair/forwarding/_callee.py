"""Handles requests for the upstream on this VM.

Every request passes the guard of the instance that it names, whether it
comes from this daemon or another one, so the guard sees all of the
instance's work. The guard is the concurrency limiter of this VM's upstream
with its queue: ``load.offer`` starts, queues or refuses a request, and
``load.busy`` is the share of the limit in use, with the queue included.

A request without an answer to forward has one of four endings. After the
first three it has not run, so that a retry is safe:

- ``UNSENT``: it did not reach the upstream, which is leaving (this daemon
  stops, or the instance said so longer ago than the drain time), has been
  replaced or accepts no connection.
- ``TURNED_AWAY``: this daemon refused it, by the guard or as a suspect.
- ``REFUSED``: the upstream refused it without running it.
- ``LOST``: it may have run; only requests of idempotent routes are retried.
"""

from __future__ import annotations

import collections
import functools
import math
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import load
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import stops
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _guards
from sassafrasstair.forwarding import _notices
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _reports
from sassafrasstair.forwarding import _results
from sassafrasstair.forwarding import _starts
from sassafrasstair.forwarding import _state
from sassafrasstair import httpio
from sassafrasstair import notices
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

FULL_SLOTS_RATIO = 0.7
"""An instance that refuses work while a smaller fraction of its slots is in
use is not full. Lowering its limit would only turn more work away."""
RECONNECT_SECONDS = 0.3
"""Interval between connection attempts while the upstream accepts none."""
_CONNECTION_FAILURES = (httpio.Failure.LOST, httpio.Failure.CUT_SHORT)


def submit(
    daemon: _state.Daemon,
    inbound: _records.InboundRequest,
    on_done: abc.Callable[[_records.Result], None],
) -> str:
    """Start or queue a request, and return its key for ``cancel``.

    ``on_done`` is called exactly once, possibly before this function returns.

    ``verdict`` says whether the request is suspected of crashing instances.
    A blocked request is turned away with ``CRASHES_INSTANCES``, unless it is
    a trial made after as many crashes (``trial_strikes``) as this daemon
    knows of. A suspect is ``isolated``: while another suspect waits or runs
    here it is turned away with ``SUSPECT_RUNNING``, so that a crash shows
    which suspect causes it.
    """
    now = daemon.clock.monotonic()
    metadata = inbound.metadata
    admission.note_caller(daemon.callers, metadata.route, inbound.caller)
    requests.note_inbound(daemon.depths, inbound.shares_by_depth, now)
    daemon.execution_serial += 1
    key = f"{daemon.execution_serial}"
    guard = _guards.get_guard(daemon, metadata.instance, now)
    if inbound.rate_limit < math.inf:
        load.suggest_rate(guard, inbound.rate_limit, now)
    deadline = inbound.arrived_at + metadata.remaining
    reason = _starts.unavailable_reason(daemon, metadata.instance)
    if not _arrivals.may_run(daemon, guard, inbound, deadline, now):
        reason = outcomes.Reason.LEAVING
    if _notices.is_late_request(daemon, inbound, guard, now):
        reason = outcomes.Reason.LEAVING
    execution = _records.Execution(key, inbound, deadline, on_done, guard)
    verdict = _crashes.verdict_of_inbound(daemon, inbound)
    if _crashes.is_blocked(verdict, inbound.trial_strikes):
        reason = outcomes.Reason.CRASHES_INSTANCES
        _report_result(
            daemon, execution, requests.Ending.TURNED_AWAY, reason, None
        )
        return key
    execution.isolated = _crashes.must_isolate(verdict)
    if execution.isolated and _starts.runs_suspect(daemon):
        reason = outcomes.Reason.SUSPECT_RUNNING
        _report_result(
            daemon, execution, requests.Ending.TURNED_AWAY, reason, None
        )
        return key
    if reason is not outcomes.Reason.NONE:
        _report_result(daemon, execution, requests.Ending.UNSENT, reason, None)
        return key
    daemon.executions[key] = execution
    if daemon.stop is not None and inbound.last_resort:
        stops.note_last_resort(daemon.stop)
    if daemon.settings.admits_by_cost:
        costs.record_offer(
            daemon.demand, load.route_seconds(guard, metadata.route), now
        )
    max_wait = max(0.0, inbound.arrived_at + metadata.max_wait - now)
    work = load.Work(
        key, metadata.route, "", metadata.rank, deadline, max_wait
    )
    _apply_effects(daemon, load.offer(guard, work, now))
    return key


def _refuse_start(
    daemon: _state.Daemon,
    key: str,
    execution: _records.Execution,
    reason: outcomes.Reason,
) -> list[load.Effect]:
    """Refuse a request that got a slot; return the effects of freeing it."""
    now = daemon.clock.monotonic()
    del daemon.executions[key]
    effects = load.finish(execution.guard, key, load.End.CANCELLED, now)
    _report_result(
        daemon, execution, requests.Ending.TURNED_AWAY, reason, None
    )
    return effects


def refuse_waiting(daemon: _state.Daemon, reason: outcomes.Reason) -> None:
    """Refuse all that waits for the upstream, and start nothing more."""
    for guard in list(daemon.guards.values()):
        _apply_effects(daemon, load.retire(guard, reason))


def end_running(daemon: _state.Daemon, reason: outcomes.Reason) -> None:
    """End all that runs at the upstream."""
    for key, execution in list(daemon.executions.items()):
        _abort(daemon, key, execution, reason)


def cancel(daemon: _state.Daemon, key: str) -> None:
    """Cancel a request whose caller no longer waits, at the instance too."""
    execution = daemon.executions.get(key)
    if execution is None:
        return
    now = daemon.clock.monotonic()
    execution.on_done = _ignore_result
    _apply_effects(daemon, load.cancel(execution.guard, key, now))


def tick(daemon: _state.Daemon, now: float) -> None:
    """Check deadlines, and reconnect to an upstream that was unreachable."""
    if (
        daemon.upstream_down
        and now - daemon.upstream_tried > RECONNECT_SECONDS
    ):
        daemon.upstream_tried = now
        daemon.upstream.try_connect(
            functools.partial(_record_reachability, daemon)
        )
    for key, guard in list(daemon.guards.items()):
        if _guards.has_ended(daemon, key):
            _end_before_restart(daemon, key, guard, now)
        else:
            _guards.resize(daemon, key[0], guard)
            _refuse_late_starts(daemon, key[0], guard, now)
        _apply_effects(daemon, load.tick(guard, now))


def _refuse_late_starts(
    daemon: _state.Daemon, instance: str, guard: load.Guard, now: float
) -> None:
    """Refuse what still waits after the instance's drain time.

    The instance may end at any moment then, and others can run the requests.
    """
    if not _guards.has_left(daemon, instance, now):
        return
    reason = outcomes.Reason.LEAVING
    for attempt_id in list(guard.waiting):
        effects = load.cancel(guard, attempt_id, now, reason)
        _apply_effects(daemon, effects)


def _end_before_restart(
    daemon: _state.Daemon, key: _guards.GuardKey, guard: load.Guard, now: float
) -> None:
    """End the requests for an instance that has since restarted.

    Requests that were sent before the restart get no answer any more. Ending
    them now lets the entrance retry them elsewhere before their deadline.
    Requests that still wait in the queue have not run: ``load.retire`` turns
    them away and sets ``guard.leaving``, with which the guard refuses all
    further requests.
    """
    if not guard.leaving:
        daemon.upstream.drop_idle()
        reason = outcomes.Reason.INSTANCE_RESTARTED
        _apply_effects(daemon, load.retire(guard, reason))
    instance_start = _guards.started_at(daemon, key[0], now)
    for attempt_id, started in list(guard.running.items()):
        execution = daemon.executions.get(attempt_id)
        if execution is not None and started < instance_start:
            reason = outcomes.Reason.UPSTREAM_LOST
            _abort(daemon, attempt_id, execution, reason)


def _record_reachability(daemon: _state.Daemon, reached: bool) -> None:
    """Record whether the upstream accepts connections.

    While it accepts none, each request would cost a connection timeout. They
    are turned away at once instead, and peers that ping this daemon eject
    the instance.
    """
    if daemon.upstream_down != reached:
        return
    daemon.upstream_down = not reached
    what = "upstream_back" if reached else "upstream_lost"
    _counters.count_state_change(daemon.counters, what)
    daemon.journal.note(what, address=daemon.upstream.host)


def _apply_effects(daemon: _state.Daemon, effects: list[load.Effect]) -> None:
    pending = collections.deque(effects)
    while pending:
        effect = pending.popleft()
        execution = daemon.executions.get(effect.attempt_id)
        if execution is None:
            continue
        if isinstance(effect, load.Start):
            key = effect.attempt_id
            reason = _starts.reason_not_to_start(daemon, execution)
            if reason is outcomes.Reason.NONE:
                _start_execution(daemon, key, execution)
            else:
                pending += _refuse_start(daemon, key, execution, reason)
        elif isinstance(effect, load.TurnAway):
            del daemon.executions[effect.attempt_id]
            _report_result(
                daemon,
                execution,
                requests.Ending.TURNED_AWAY,
                effect.reason,
                None,
            )
        else:
            reason = outcomes.Reason.CANCELLED
            if daemon.clock.monotonic() >= execution.deadline:
                reason = outcomes.Reason.DEADLINE_PASSED
            _abort(daemon, effect.attempt_id, execution, reason)


def _abort(
    daemon: _state.Daemon,
    key: str,
    execution: _records.Execution,
    reason: outcomes.Reason,
) -> None:
    ending = requests.Ending.UNSENT
    if execution.job is not None:
        if execution.connection_broken or execution.job.may_have_been_sent:
            ending = requests.Ending.LOST
        execution.job.abort()
    _release_slot(daemon, key, execution, load.End.CANCELLED)
    _report_result(daemon, execution, ending, reason, None)


def _start_execution(
    daemon: _state.Daemon, key: str, execution: _records.Execution
) -> None:
    inbound = execution.request
    left = max(0.001, execution.deadline - daemon.clock.monotonic())
    fields = [
        *inbound.fields,
        (daemon.header_names.deadline_ms, b"%d" % max(1, int(left * 1000))),
    ]
    if inbound.customer:
        fields.append(
            (daemon.header_names.customer, inbound.customer.encode())
        )
    head = httpio.request_head(
        inbound.method, inbound.target, fields, len(inbound.body)
    )
    execution.job = httpio.Job(
        head,
        functools.partial(_handle_response, daemon, key),
        (daemon.header_keys.request_id, inbound.request_id),
        inbound.method == b"HEAD",
        inbound.body,
    )
    daemon.counters.upstream_requests += 1
    if daemon.settings.admits_by_cost:
        costs.run_started(daemon.ledger.chains, daemon.clock.monotonic())
    daemon.upstream.send(execution.job)


def _handle_response(
    daemon: _state.Daemon, key: str, result: httpio.Response | httpio.Failure
) -> None:
    execution = daemon.executions.get(key)
    if execution is None:
        return
    if result in _CONNECTION_FAILURES:
        _check_for_crash(daemon, key, execution, result)
        return
    if isinstance(result, httpio.Response):
        _heed_notice(daemon, execution, result)
    _complete(daemon, key, execution, result)


def _heed_notice(
    daemon: _state.Daemon,
    execution: _records.Execution,
    response: httpio.Response,
) -> None:
    """Apply what the instance says of itself in its answer.

    Only an answer to this very request shows that the instance names none:
    a damaged one may lack the header.
    """
    if response.status == _results.MISDIRECTED_STATUS:
        return
    inbound = execution.request
    notice = _notices.read_notice(
        daemon, inbound.metadata.instance, response, "upstream"
    )
    answered_id = response.headers.get(daemon.header_keys.request_id)
    now = daemon.clock.monotonic()
    if notice.leaving:
        load.note_said_to_leave(execution.guard, now)
    if notice.has_invalid_limit:
        return
    if notice.rate_limit < math.inf or answered_id == inbound.request_id:
        load.observe_rate(
            execution.guard, execution.key, notice.rate_limit, now
        )


def _check_for_crash(
    daemon: _state.Daemon,
    key: str,
    execution: _records.Execution,
    result: httpio.Response | httpio.Failure,
) -> None:
    """End the execution once it is known whether the upstream crashed.

    A single broken connection is no proof, but a crashed upstream also
    refuses new connections.
    """
    execution.connection_broken = True
    daemon.broken_results[key] = result
    if len(daemon.broken_results) == 1:
        daemon.upstream.try_connect(
            functools.partial(_handle_crash_check, daemon)
        )


def _handle_crash_check(daemon: _state.Daemon, reached: bool) -> None:
    broken_results, daemon.broken_results = daemon.broken_results, {}
    _record_reachability(daemon, reached)
    if not reached:
        _record_crash(daemon)
    for key, result in broken_results.items():
        execution = daemon.executions.get(key)
        if execution is not None:
            _complete(daemon, key, execution, result, crashed=not reached)


def _record_crash(daemon: _state.Daemon) -> None:
    """Record a crash with all requests that were in flight at the upstream."""
    executions = [
        execution
        for execution in daemon.executions.values()
        if execution.job is not None
        and (execution.connection_broken or execution.job.may_have_been_sent)
    ]
    if executions:
        _crashes.record_crash(daemon, executions, daemon.clock.monotonic())


def _complete(
    daemon: _state.Daemon,
    key: str,
    execution: _records.Execution,
    result: httpio.Response | httpio.Failure,
    crashed: bool = False,
) -> None:
    ending, reason = _results.classify(daemon, execution, result)
    if crashed:
        reason = _starts.reason_of_crash(daemon, execution)
    if isinstance(result, httpio.Response):
        _record_reachability(daemon, True)
    elif result is httpio.Failure.NOT_SENT:
        _record_reachability(daemon, False)
    if ending is None:
        _crashes.record_completed_here(daemon, execution.request)
    now = daemon.clock.monotonic()
    if ending is None:
        requests.note_run(daemon.depths, now)
    end = load.End.DONE
    route = execution.route
    by_cost = daemon.settings.admits_by_cost
    if by_cost and ending is None and isinstance(result, httpio.Response):
        costs.run_ended(daemon.ledger.chains, route, result.status < 300, now)
    if by_cost and ending is requests.Ending.REFUSED:
        costs.withdraw_offer(
            daemon.demand, load.route_seconds(execution.guard, route), now
        )
    if ending is requests.Ending.REFUSED:
        guard = execution.guard
        full = len(guard.running) >= FULL_SLOTS_RATIO * guard.limit_state.slots
        end = load.End.REFUSED if full else load.End.FAILED
    elif ending is not None:
        end = load.End.FAILED
    _release_slot(daemon, key, execution, end)
    response = result if isinstance(result, httpio.Response) else None
    _report_result(
        daemon, execution, ending, reason, response if ending is None else None
    )


def _release_slot(
    daemon: _state.Daemon,
    key: str,
    execution: _records.Execution,
    end: load.End,
) -> None:
    now = daemon.clock.monotonic()
    daemon.executions.pop(key, None)
    _apply_effects(daemon, load.finish(execution.guard, key, end, now))


def _report_result(
    daemon: _state.Daemon,
    execution: _records.Execution,
    ending: requests.Ending | None,
    reason: outcomes.Reason,
    response: httpio.Response | None,
) -> None:
    inbound = execution.request
    now = daemon.clock.monotonic()
    how = "answered" if ending is None else reason.value
    _counters.count_attempt(daemon.counters, daemon.settings.service, how)
    if ending is not None:
        daemon.journal.request(
            "run_ended",
            reason.value,
            request=inbound.request_id.decode("latin-1"),
            instance=inbound.metadata.instance,
            route=inbound.metadata.route,
            ending=ending,
            left=execution.deadline - now,
            **_crashes.log_fields(inbound.fingerprint),
        )
    latest_guard = _guards.get_guard(daemon, inbound.metadata.instance, now)
    execution.on_done(
        _records.Result(
            _reports.callee_state(
                daemon, latest_guard, inbound.metadata, ending, reason, now
            ),
            response,
            notices.Notice(
                load.rate_limit(execution.guard),
                _notices.has_said_to_leave(daemon, inbound, latest_guard),
            ),
            _reports.work_report(
                daemon, latest_guard, inbound.metadata.route, now
            ),
        )
    )


def _ignore_result(result: _records.Result) -> None:
    """Ignore the result of a cancelled execution."""
