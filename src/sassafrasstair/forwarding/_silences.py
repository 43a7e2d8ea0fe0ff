"""What becomes of the attempts at an instance whose daemon is silent.

A process that gets no processor for a while answers no ping. Its kernel keeps
its connections, and its instance works on, so that silence ends no attempt
at which an instance may be at work. Only its own answer does, the request's
limit, its client, or a connection that failed.
"""

from __future__ import annotations

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _attempts
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _records
from sassafrasstair.forwarding import _repeats
from sassafrasstair.forwarding import _state
from sassafrasstair import outcomes


def handle(daemon: _state.Daemon, instance: str) -> None:
    """Begin requests elsewhere whose instance's daemon does not respond.

    Attempts whose connection is not established yet have not run: they end,
    and are retried. The others go on. Beside them, requests of idempotent
    routes are begun at another instance, and the first answer counts.
    """
    for call in list(daemon.calls):
        attempt = call.attempt
        if attempt is None:
            _begin_again(daemon, call, instance)
            continue
        if attempt.instance != instance:
            continue
        if not _attempts.may_have_run(daemon, attempt):
            if attempt.job is not None:
                attempt.job.abort()
            _attempts.end_attempt(
                daemon,
                call,
                attempt,
                requests.Ending.UNSENT,
                outcomes.Reason.PEER_UNREACHABLE,
            )
        elif call.progress.route.idempotent:
            _begin_beside(daemon, call, attempt)


def _begin_again(
    daemon: _state.Daemon, call: _records.Call, instance: str
) -> None:
    """Begin a request elsewhere whose attempt beside a silent one ended."""
    for attempt in call.silent_attempts:
        if attempt.instance == instance:
            _begin_beside(daemon, call, attempt)
            return


def _begin_beside(
    daemon: _state.Daemon, call: _records.Call, attempt: _records.Attempt
) -> None:
    """Begin a request at another instance too, if one may be tried."""
    progress = call.progress
    now = daemon.clock.monotonic()
    if not _arrivals.may_take(
        daemon, progress.route, call.exchange.request, call.read_at, now
    ):
        return
    targets = views.targets(daemon.view, progress.service)
    if not calls.has_untried(daemon.routes, targets, progress.tried, now):
        return
    if not requests.begin_beside(
        progress,
        _repeats.updated_window(daemon, progress.service, now),
        daemon.settings.bounds.budget,
        now,
        calls.shortest_service_seconds(daemon.routes, targets, now),
        attempt is not call.attempt,
    ):
        return
    if attempt is call.attempt:
        call.silent_attempts.append(attempt)
        call.attempt = None
    reason = outcomes.Reason.PEER_SILENT
    _repeats.count_allowed(daemon, progress)
    _counters.count_attempt(daemon.counters, progress.service, reason.value)
    daemon.journal.request(
        "begun_beside",
        reason.value,
        request=call.request_id.decode("latin-1"),
        route=progress.route.name,
        instance=attempt.instance,
        peer=attempt.host,
        taken=now - attempt.sent_at,
        left=progress.deadline - now,
    )
    _attempts.send_attempt(daemon, call, reason)
