"""Whether a request may start at the upstream on this VM.

This is asked when it arrives and again when it gets a slot.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _guards
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state


def unavailable_reason(
    daemon: _state.Daemon, instance: str
) -> outcomes.Reason:
    """Return why the upstream can't serve the instance, or ``NONE``."""
    if _guards.has_left(daemon, instance, daemon.clock.monotonic()):
        return outcomes.Reason.LEAVING
    if daemon.upstream_down:
        return outcomes.Reason.UPSTREAM_UNREACHABLE
    if views.is_replaced(daemon.view, instance):
        return outcomes.Reason.INSTANCE_REPLACED
    return outcomes.Reason.NONE


def reason_not_to_start(
    daemon: _state.Daemon, execution: _records.Execution
) -> outcomes.Reason:
    """Return why a request that got a slot is not run, or ``NONE``.

    While it waited, the daemon may have begun to stop, and crashes of other
    instances that ran the same request may have been reported.
    """
    if not _arrivals.may_start(daemon, execution):
        return outcomes.Reason.LEAVING
    verdict = _crashes.verdict_of_inbound(daemon, execution.request)
    if _crashes.is_blocked(verdict, execution.request.trial_strikes):
        return outcomes.Reason.CRASHES_INSTANCES
    if execution.isolated or not _crashes.must_isolate(verdict):
        return outcomes.Reason.NONE
    if runs_suspect(daemon):
        return outcomes.Reason.SUSPECT_RUNNING
    execution.isolated = True
    return outcomes.Reason.NONE


def runs_suspect(daemon: _state.Daemon) -> bool:
    """Return whether a suspect runs here, or waits as one."""
    return any(
        other.isolated
        or (
            other.job is not None
            and _crashes.must_isolate(
                _crashes.verdict_of_inbound(daemon, other.request)
            )
        )
        for other in daemon.executions.values()
    )


def reason_of_crash(
    daemon: _state.Daemon, execution: _records.Execution
) -> outcomes.Reason:
    """Return the reason to report for a request that ran during a crash.

    If the request is now blocked, the reason also stops retries by an
    entrance that does not know about the crash yet.
    """
    if _crashes.is_blocked(
        _crashes.verdict_of_inbound(daemon, execution.request)
    ):
        return outcomes.Reason.CRASHES_INSTANCES
    return outcomes.Reason.UPSTREAM_CRASHED
