"""Divides the retry budget of services among the hops of a chain.

Each answer reports how deep the calls below the instance go, and each request
whether its sender and all daemons above it divide the budget by depth. See
``decisions.requests`` for the shares that follow from both.
"""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import requests
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _state

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _wire
    from sassafrasstair.forwarding import _work_wire


def window(daemon: _state.Daemon, service: str) -> requests.Window:
    """Return the retry-budget window of a service.

    Besides a ratio of the requests, the budget allows a few retries, the
    slack, which all daemons share. A new window gets this daemon's part.
    """
    found = daemon.retry_windows.get(service)
    if found is None:
        found = daemon.retry_windows[service] = requests.new_window(
            _state.slack_part(daemon, service, requests.UNKNOWN_HOP)
        )
    return found


def updated_window(
    daemon: _state.Daemon, service: str, now: float
) -> requests.Window:
    """Return the window of a service, limited by its depth as known now."""
    found = window(daemon, service)
    hop = _find_hop(daemon, service, now)
    if hop != found.hop:
        found.hop = hop
        found.slack = _state.slack_part(daemon, service, hop)
        _log_hop(daemon, service, hop)
    return found


def calls_below(daemon: _state.Daemon, now: float) -> requests.CallsBelow:
    """Return how deep the calls of this VM's upstream go, and how many."""
    window_seconds = daemon.settings.bounds.budget.window_seconds
    return requests.calls_below(daemon.depths, window_seconds, now)


def shares_by_depth(daemon: _state.Daemon, service: str, now: float) -> bool:
    """Return whether this daemon and all above it divide by depth."""
    window_seconds = daemon.settings.bounds.budget.window_seconds
    return requests.shares_by_depth(
        daemon.depths, service, window_seconds, now
    )


def observe_answer(
    daemon: _state.Daemon,
    call: _records.Call,
    state: _wire.CalleeState,
    work: _work_wire.WorkReport,
    now: float,
) -> None:
    """Learn the depth of the service that answered, and its calls.

    An answer on an internal route is to a call of this VM's upstream.
    """
    service = call.progress.service
    requests.note_report(
        daemon.depths, service, work.calls_below, now, work.calls_of_run
    )
    if state.internal_route:
        requests.note_call(daemon.depths, service, now, call.progress.rank)


def count_step(
    daemon: _state.Daemon,
    progress: requests.Progress,
    ending: requests.Ending,
    step: requests.Step,
) -> None:
    """Count a repeat that the budget allowed or denied."""
    importance = math.floor(progress.rank)
    if step is requests.Step.OVER_BUDGET:
        _counters.count_repeat(daemon.counters, importance, "denied")
    elif step is requests.Step.RETRY and ending in (
        requests.Ending.REFUSED,
        requests.Ending.LOST,
    ):
        count_allowed(daemon, progress)


def count_allowed(daemon: _state.Daemon, progress: requests.Progress) -> None:
    """Count a repeat that the budget allowed."""
    importance = math.floor(progress.rank)
    _counters.count_repeat(daemon.counters, importance, "allowed")


def _find_hop(daemon: _state.Daemon, service: str, now: float) -> requests.Hop:
    window_seconds = daemon.settings.bounds.budget.window_seconds
    return requests.find_hop(daemon.depths, service, window_seconds, now)


def _log_hop(daemon: _state.Daemon, service: str, hop: requests.Hop) -> None:
    _counters.count_state_change(daemon.counters, "repeats_limited")
    ratio = daemon.settings.bounds.budget.ratio
    daemon.journal.note(
        "repeats_limited",
        service=service,
        depth="unknown" if hop.depth is None else hop.depth,
        calls="unknown" if hop.calls is None else hop.calls,
        shared=hop.is_shared,
        share=requests.ratio_share(ratio, hop),
    )
