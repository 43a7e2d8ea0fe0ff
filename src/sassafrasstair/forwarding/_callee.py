"""The callee's side: requests for the upstream on this VM.

Each passes the guard of the instance that it names, whoever sent it, so the
guard sees all of the instance's work.
"""

from __future__ import annotations

import functools
import math
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _guards
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

FULL_SLOTS_RATIO = 0.7
"""An instance that refuses with less of its slots in use is not full, and
cutting its limit would only turn more work away."""
MISDIRECTED_STATUS = 421
"""Said by an instance that is not the one that the request names."""
RECONNECT_SECONDS = 0.3
"""Between two connections tried to an upstream that takes none."""
_BROKEN = (httpio.Failure.LOST, httpio.Failure.CUT_SHORT)


def submit(
    daemon: _state.Daemon,
    order: _records.InboundRequest,
    done: abc.Callable[[_records.Result], None],
) -> str:
    """Take a request; ``done`` is called once, maybe before the return.

    Returns the key for ``cancel``.
    """
    now = daemon.clock.monotonic()
    ask = order.metadata
    admission.note_caller(daemon.callers, ask.route, order.caller)
    daemon.execution_serial += 1
    key = f"{daemon.execution_serial}"
    guard = _guards.get_guard(daemon, ask.instance, now)
    deadline = now + ask.remaining
    reason = _unable(daemon, ask.instance)
    run = _records.Execution(key, order, deadline, done, guard)
    verdict = _crashes.verdict_of_inbound(daemon, order)
    if _crashes.is_blocked(verdict, order.trial_strikes):
        reason = outcomes.Reason.CRASHES_INSTANCES
        _end(daemon, run, requests.Ending.TURNED_AWAY, reason, None)
        return key
    run.isolated = _crashes.must_isolate(verdict)
    if run.isolated and any(
        other.isolated for other in daemon.executions.values()
    ):
        reason = outcomes.Reason.SUSPECT_RUNNING
        _end(daemon, run, requests.Ending.TURNED_AWAY, reason, None)
        return key
    if reason is not outcomes.Reason.NONE:
        _end(daemon, run, requests.Ending.UNSENT, reason, None)
        return key
    daemon.executions[key] = run
    work = load.Work(key, ask.route, "", ask.rank, deadline, ask.max_wait)
    _perform(daemon, load.offer(guard, work, now))
    return key


def _unable(daemon: _state.Daemon, instance: str) -> outcomes.Reason:
    """Return why the upstream need not be asked, or ``NONE``."""
    if daemon.upstream_leaving:
        return outcomes.Reason.LEAVING
    if daemon.upstream_down:
        return outcomes.Reason.UPSTREAM_UNREACHABLE
    if views.is_replaced(daemon.view, instance):
        return outcomes.Reason.INSTANCE_REPLACED
    return outcomes.Reason.NONE


def cancel(daemon: _state.Daemon, key: str) -> None:
    """Drop a request that nobody waits for, at the instance too."""
    run = daemon.executions.get(key)
    if run is None:
        return
    now = daemon.clock.monotonic()
    run.on_done = _nobody
    _perform(daemon, load.cancel(run.guard, key, now))


def tick(daemon: _state.Daemon, now: float) -> None:
    """Look again at the deadlines, and at an upstream that was away."""
    if (
        daemon.upstream_down
        and now - daemon.upstream_tried > RECONNECT_SECONDS
    ):
        daemon.upstream_tried = now
        daemon.upstream.try_connect(functools.partial(_upstream_tried, daemon))
    for key, guard in list(daemon.guards.items()):
        if _guards.has_ended(daemon, key):
            _end_run_of_instance(daemon, key, guard, now)
        else:
            _guards.resize(daemon, key[0], guard)
        _perform(daemon, load.tick(guard, now))


def _end_run_of_instance(
    daemon: _state.Daemon, key: _guards.GuardKey, guard: load.Guard, now: float
) -> None:
    """Answer truly for what came for a run of the instance that is over.

    What it was handed gets no answer any more, and may be retried elsewhere
    before its deadline. What still waits has not run.
    """
    if not guard.leaving:
        daemon.upstream.drop_idle()
        reason = outcomes.Reason.INSTANCE_RESTARTED
        _perform(daemon, load.retire(guard, reason))
    began = _guards.started_at(daemon, key[0], now)
    for attempt_id, started in list(guard.running.items()):
        run = daemon.executions.get(attempt_id)
        if run is not None and started < began:
            reason = outcomes.Reason.UPSTREAM_LOST
            _abort(daemon, attempt_id, run, reason)


def _upstream_tried(daemon: _state.Daemon, reached: bool) -> None:
    """Note whether the upstream takes connections.

    While it takes none, each request would cost a connection timeout; they go
    elsewhere at once, and peers that ping eject it.
    """
    if daemon.upstream_down != reached:
        return
    daemon.upstream_down = not reached
    what = "upstream_back" if reached else "upstream_lost"
    _counters.count_state_change(daemon.counters, what)
    daemon.journal.note(what, address=daemon.upstream.host)


def _perform(daemon: _state.Daemon, effects: list[load.Effect]) -> None:
    for effect in effects:
        run = daemon.executions.get(effect.attempt_id)
        if run is None:
            continue
        if isinstance(effect, load.Start):
            _start(daemon, effect.attempt_id, run)
        elif isinstance(effect, load.TurnAway):
            del daemon.executions[effect.attempt_id]
            _end(daemon, run, requests.Ending.TURNED_AWAY, effect.reason, None)
        else:
            reason = outcomes.Reason.CANCELLED
            if daemon.clock.monotonic() >= run.deadline:
                reason = outcomes.Reason.DEADLINE_PASSED
            _abort(daemon, effect.attempt_id, run, reason)


def _abort(
    daemon: _state.Daemon,
    key: str,
    run: _records.Execution,
    reason: outcomes.Reason,
) -> None:
    if run.job is not None:
        run.job.abort()
    _finish(daemon, key, run, load.End.CANCELLED)
    _end(daemon, run, requests.Ending.LOST, reason, None)


def _start(daemon: _state.Daemon, key: str, run: _records.Execution) -> None:
    order = run.request
    left = max(0.001, run.deadline - daemon.clock.monotonic())
    fields = [
        *order.fields,
        (daemon.header_names.deadline_ms, b"%d" % max(1, int(left * 1000))),
    ]
    if order.customer:
        fields.append((daemon.header_names.customer, order.customer.encode()))
    head = httpio.request_head(
        order.method, order.target, fields, len(order.body)
    )
    run.job = httpio.Job(
        head + order.body,
        functools.partial(_answered, daemon, key),
        (daemon.header_keys.request_id, order.request_id),
        order.method == b"HEAD",
    )
    daemon.upstream.send(run.job)


def _answered(
    daemon: _state.Daemon, key: str, result: httpio.Response | httpio.Failure
) -> None:
    run = daemon.executions.get(key)
    if run is None:
        return
    if result in _BROKEN:
        _check_for_crash(daemon, key, run, result)
    else:
        _settle(daemon, key, run, result)


def _check_for_crash(
    daemon: _state.Daemon,
    key: str,
    run: _records.Execution,
    result: httpio.Response | httpio.Failure,
) -> None:
    """End the run once it is clear whether the upstream has crashed.

    A connection may break by itself; a crashed upstream refuses new ones.
    """
    run.connection_broken = True
    daemon.broken_results[key] = result
    if len(daemon.broken_results) == 1:
        daemon.upstream.try_connect(functools.partial(_crash_checked, daemon))


def _crash_checked(daemon: _state.Daemon, reached: bool) -> None:
    broken, daemon.broken_results = daemon.broken_results, {}
    _upstream_tried(daemon, reached)
    if not reached:
        _note_crash(daemon)
    for key, result in broken.items():
        run = daemon.executions.get(key)
        if run is not None:
            _settle(daemon, key, run, result, crashed=not reached)


def _note_crash(daemon: _state.Daemon) -> None:
    """Record what was in flight, also what has not ended yet."""
    runs = [
        run
        for run in daemon.executions.values()
        if run.job is not None
        and (run.connection_broken or run.job.may_have_been_sent)
    ]
    if runs:
        _crashes.record_crash(daemon, runs, daemon.clock.monotonic())


def _settle(
    daemon: _state.Daemon,
    key: str,
    run: _records.Execution,
    result: httpio.Response | httpio.Failure,
    crashed: bool = False,
) -> None:
    ending, reason = _judge(daemon, run, result)
    if crashed:
        reason = _reason_of_crash(daemon, run)
    if isinstance(result, httpio.Response):
        _upstream_tried(daemon, True)
    elif result is httpio.Failure.NOT_SENT:
        _upstream_tried(daemon, False)
    if ending is None:
        _crashes.record_completed_here(daemon, run.request)
    end = load.End.DONE
    if ending is requests.Ending.REFUSED:
        guard = run.guard
        full = len(guard.running) >= FULL_SLOTS_RATIO * guard.limit_state.slots
        end = load.End.REFUSED if full else load.End.FAILED
    elif ending is not None:
        end = load.End.FAILED
    _finish(daemon, key, run, end)
    whole = result if isinstance(result, httpio.Response) else None
    _end(daemon, run, ending, reason, whole if ending is None else None)


def _reason_of_crash(
    daemon: _state.Daemon, run: _records.Execution
) -> outcomes.Reason:
    """Return the reason, which stops retries by an entrance that is behind."""
    if _crashes.is_blocked(_crashes.verdict_of_inbound(daemon, run.request)):
        return outcomes.Reason.CRASHES_INSTANCES
    return outcomes.Reason.UPSTREAM_CRASHED


def _judge(
    daemon: _state.Daemon,
    run: _records.Execution,
    result: httpio.Response | httpio.Failure,
) -> tuple[requests.Ending | None, outcomes.Reason]:
    """Return how the run ended; None for an answer to pass on."""
    if result is httpio.Failure.NOT_SENT:
        reason = outcomes.Reason.UPSTREAM_UNREACHABLE
        return requests.Ending.UNSENT, reason
    if isinstance(result, httpio.Failure):
        reason = outcomes.Reason.ANSWER_CUT_SHORT
        if result is httpio.Failure.LOST:
            reason = outcomes.Reason.UPSTREAM_LOST
        return requests.Ending.LOST, reason
    keys = daemon.header_keys
    if result.status == MISDIRECTED_STATUS:
        news = views.note_replaced(daemon.view, run.request.metadata.instance)
        _learning.apply_news(daemon, news, "upstream")
        return requests.Ending.REFUSED, outcomes.Reason.INSTANCE_REPLACED
    if keys.not_run in result.headers:
        return requests.Ending.REFUSED, outcomes.Reason.UPSTREAM_REFUSED
    success = 200 <= result.status < 300
    told = result.headers.get(keys.request_id)
    named = told == run.request.request_id
    if success and not (named and keys.signature in result.headers):
        # Bytes that look like a success but that no instance has signed
        # for this request belong to another one, or to none.
        return requests.Ending.LOST, outcomes.Reason.ANSWER_CUT_SHORT
    return None, outcomes.Reason.NONE


def _finish(
    daemon: _state.Daemon, key: str, run: _records.Execution, end: load.End
) -> None:
    now = daemon.clock.monotonic()
    daemon.executions.pop(key, None)
    _perform(daemon, load.finish(run.guard, key, end, now))


def _end(
    daemon: _state.Daemon,
    run: _records.Execution,
    ending: requests.Ending | None,
    reason: outcomes.Reason,
    response: httpio.Response | None,
) -> None:
    order = run.request
    how = "answered" if ending is None else reason.value
    _counters.count_attempt(daemon.counters, daemon.settings.service, how)
    if ending is not None:
        daemon.journal.request(
            "run_ended",
            reason.value,
            request=order.request_id.decode("latin-1"),
            instance=order.metadata.instance,
            route=order.metadata.route,
            ending=ending,
            left=run.deadline - daemon.clock.monotonic(),
            **_crashes.log_fields(order.fingerprint),
        )
    run.on_done(
        _records.Result(_told(daemon, order, ending, reason), response)
    )


def _told(
    daemon: _state.Daemon,
    order: _records.InboundRequest,
    ending: requests.Ending | None,
    reason: outcomes.Reason,
) -> _wire.CalleeState:
    now = daemon.clock.monotonic()
    guard = _guards.get_guard(daemon, order.metadata.instance, now)
    level = math.floor(order.metadata.rank)
    told = calls.LoadReport(
        load.busy(guard),
        limit=load.limit(guard, now),
        service_seconds=load.service_seconds(guard),
    )
    return _wire.CalleeState(
        daemon.view.content_revision,
        daemon.upstream_leaving,
        told,
        load.busy_at_or_above(guard, level),
        admission.busiest_callee_load(daemon.chains, level, now),
        admission.is_inner(
            daemon.callers, order.metadata.route, daemon.services
        ),
        ending,
        reason,
    )


def _nobody(result: _records.Result) -> None:
    """Take the end of a run that nobody waits for."""
