"""Crashes of the upstream on this VM, and requests that crash instances."""

from __future__ import annotations

import collections
import math
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state

HOST_KEY = b"host"
LOGGED_REQUESTS_MAX = 24
"""Requests named in one log line, those with most strikes first."""
LOGGED_CRASHES_MAX = 4
COMPLETED_REQUESTS_MAX = 4_096
"""Requests that were completed here, or for a client here, the latest."""
COMPLETED_BODY_MAX = 512
"""Bytes; requests with greater bodies are not remembered, since a fingerprint
of each would cost more than it tells: few come twice."""
URGENT_STRIKES_MIN = 2
"""Strikes from which on a change is sent at once."""

_T = typing.TypeVar("_T")
_NAMES = {
    crashes.Standing.FREE: "request_cleared",
    crashes.Standing.ISOLATED: "request_suspected",
    crashes.Standing.BLOCKED: "request_blocked",
}


def verdict_of_call(
    daemon: _state.Daemon, call: _records.Call
) -> crashes.Verdict | None:
    """Return how a client's request may be run, None without any crash."""
    if not daemon.crash_ledger.crashes:
        return None
    return _judge(daemon, _of_call(call))


def verdict_of_inbound(
    daemon: _state.Daemon, order: _records.InboundRequest
) -> crashes.Verdict | None:
    """Return the same of a request that came for the own upstream."""
    if not daemon.crash_ledger.crashes:
        return None
    return _judge(daemon, _of_order(order))


def is_blocked(verdict: crashes.Verdict | None, trial: int = 0) -> bool:
    """Return whether a request may not be run now.

    It may where another daemon tries it, knowing as much.
    """
    if verdict is None or verdict.standing is not crashes.Standing.BLOCKED:
        return False
    return trial < verdict.evidence.strikes


def trial_strikes(verdict: crashes.Verdict | None) -> int:
    """Return after how many strikes a request is tried again, 0 if not."""
    if verdict is None or verdict.blocked_until == -math.inf:
        return 0
    return verdict.evidence.strikes


def must_isolate(verdict: crashes.Verdict | None) -> bool:
    """Return whether a request may run only as the one suspect."""
    return (
        verdict is not None and verdict.standing is not crashes.Standing.FREE
    )


def blocked_seconds(daemon: _state.Daemon, call: _records.Call) -> float:
    """Return for how long this daemon will not run a request again."""
    verdict = verdict_of_call(daemon, call)
    if verdict is None:
        return 0.0
    return max(0.0, verdict.blocked_until - daemon.clock.monotonic())


def log_fields(fingerprint: int | None) -> dict[str, str]:
    """Return what a log line tells of a request, if it was looked up."""
    if fingerprint is None:
        return {}
    return {"fingerprint": crashes.format_fingerprint(fingerprint)}


def suspects(
    daemon: _state.Daemon, now: float
) -> list[tuple[int, crashes.Verdict]]:
    """Return the requests that may not run freely, and why."""
    own = daemon.feed.own_host
    return [
        (each, crashes.decide_standing(daemon.crash_ledger, each, own, now))
        for each in daemon.suspect_standings
    ]


def record_completed_here(
    daemon: _state.Daemon, order: _records.InboundRequest
) -> None:
    """Note that the own upstream has answered a request itself."""
    if len(order.body) <= COMPLETED_BODY_MAX:
        known = order.method, order.host, order.target, order.body
        _keep(daemon.completed_requests, known)
    if daemon.crash_ledger.crashes:
        _clear(daemon, _of_order(order))


def record_completed(daemon: _state.Daemon, call: _records.Call) -> None:
    """Note that an upstream has answered a client's request itself."""
    request = call.exchange.request
    if len(request.body) <= COMPLETED_BODY_MAX:
        host = request.headers.get(HOST_KEY, b"")
        known = request.method, host, request.target, request.body
        _keep(daemon.completed_requests, known)
    if daemon.crash_ledger.crashes:
        _clear(daemon, _of_call(call))


def _keep(kept: collections.OrderedDict[_T, None], latest: _T) -> None:
    kept[latest] = None
    kept.move_to_end(latest)
    if len(kept) > COMPLETED_REQUESTS_MAX:
        kept.popitem(last=False)


def _familiar(
    daemon: _state.Daemon,
) -> collections.OrderedDict[int, None]:
    """Return the fingerprints of the requests that were completed here.

    Worked out only while crashes are known: for each request of a calm day it
    would cost more than all else that is kept of it.
    """
    if daemon.completed_fingerprints is None:
        daemon.completed_fingerprints = collections.OrderedDict.fromkeys(
            crashes.fingerprint(*known) for known in daemon.completed_requests
        )
    return daemon.completed_fingerprints


def _clear(daemon: _state.Daemon, fingerprint: int) -> None:
    _keep(_familiar(daemon), fingerprint)
    strikes = crashes.evidence_against(
        daemon.crash_ledger, fingerprint
    ).strikes
    if crashes.clear_completed(daemon.crash_ledger, fingerprint):
        urgent = strikes >= URGENT_STRIKES_MIN
        _changed(daemon, {fingerprint}, urgent, "upstream")


def record_crash(
    daemon: _state.Daemon, runs: list[_records.Execution], now: float
) -> None:
    """Note that the upstream crashed while these requests ran there."""
    if not runs:
        return
    instance = runs[-1].request.metadata.instance
    if _is_leaving(daemon, instance):
        return
    key = instance, views.born_at(daemon.view, instance)
    found = [
        crashes.Run(
            _of_order(run.request),
            now - run.guard.running.get(run.key, now),
            run.isolated,
        )
        for run in runs
    ]
    familiar = _familiar(daemon)
    if not crashes.record_crash(
        daemon.crash_ledger, key, found, familiar, now
    ):
        return
    _counters.count_state_change(daemon.counters, "instance_crashed")
    _log_crash(daemon, instance, found)
    touched = {run.fingerprint for run in found}
    _changed(daemon, touched, True, "upstream")


def receive_reports(
    daemon: _state.Daemon, reports: abc.Sequence[crashes.Report], host: str
) -> None:
    """Merge records of crashes from a peer."""
    if not reports:
        return
    known = len(daemon.crash_ledger.crashes)
    now = daemon.clock.monotonic()
    touched = crashes.merge_reports(daemon.crash_ledger, reports, now)
    for fingerprint in touched & _familiar(daemon).keys():
        crashes.mark_familiar(daemon.crash_ledger, fingerprint)
    if touched:
        urgent = len(daemon.crash_ledger.crashes) != known or any(
            crashes.evidence_against(daemon.crash_ledger, each).strikes
            >= URGENT_STRIKES_MIN
            for each in touched
        )
        _changed(daemon, touched, urgent, f"peer {host}")


def tick(daemon: _state.Daemon, now: float) -> None:
    """Forget crashes that are long past, and log what may be tried again."""
    if not daemon.crash_ledger.crashes:
        return
    crashes.expire(daemon.crash_ledger, now)
    if not daemon.crash_ledger.crashes:
        daemon.completed_fingerprints = None
    _log_changes(daemon, set(), "time")


def _is_leaving(daemon: _state.Daemon, instance: str) -> bool:
    """Return whether the instance's end was to be expected."""
    known = views.instance_by_id(daemon.view, instance)
    if known is None or daemon.leaving:
        return daemon.leaving
    lapsed = instance not in daemon.view.instances
    return lapsed or known.state is views.InstanceState.LEAVING


def _judge(daemon: _state.Daemon, fingerprint: int) -> crashes.Verdict:
    own = daemon.feed.own_host
    now = daemon.clock.monotonic()
    return crashes.decide_standing(daemon.crash_ledger, fingerprint, own, now)


def _of_order(order: _records.InboundRequest) -> int:
    if order.fingerprint is None:
        order.fingerprint = crashes.fingerprint(
            order.method, order.host, order.target, order.body
        )
    return order.fingerprint


def _of_call(call: _records.Call) -> int:
    if call.fingerprint is None:
        request = call.exchange.request
        call.fingerprint = crashes.fingerprint(
            request.method,
            request.headers.get(HOST_KEY, b""),
            request.target,
            request.body,
        )
    return call.fingerprint


def _changed(
    daemon: _state.Daemon, touched: set[int], urgent: bool, source: str
) -> None:
    daemon.crash_changed.set()
    if urgent:
        daemon.crash_urgent.set()
    _log_changes(daemon, touched, source)


def _log_changes(
    daemon: _state.Daemon, touched: set[int], source: str
) -> None:
    """Log each request that may be run otherwise than before."""
    for fingerprint in touched | daemon.suspect_standings.keys():
        verdict = _judge(daemon, fingerprint)
        before = daemon.suspect_standings.get(
            fingerprint, crashes.Standing.FREE
        )
        if verdict.standing is before:
            continue
        if verdict.standing is crashes.Standing.FREE:
            del daemon.suspect_standings[fingerprint]
        else:
            daemon.suspect_standings[fingerprint] = verdict.standing
        name = _NAMES[verdict.standing]
        _counters.count_state_change(daemon.counters, name)
        found = verdict.evidence
        now = daemon.clock.monotonic()
        daemon.journal.request(
            name,
            source,
            fingerprint=crashes.format_fingerprint(fingerprint),
            strikes=found.strikes,
            isolated=found.isolated,
            familiar=found.familiar,
            crashes=",".join(
                f"{crash.key[0]}:{now - crash.crashed_at:.2f}"
                for crash in found.crashes[-LOGGED_CRASHES_MAX:]
            ),
            blocked_for=max(0.0, verdict.blocked_until - now),
        )


def _log_crash(
    daemon: _state.Daemon, instance: str, runs: list[crashes.Run]
) -> None:
    strikes = {
        run.fingerprint: crashes.evidence_against(
            daemon.crash_ledger, run.fingerprint
        ).strikes
        for run in runs
    }
    ordered = sorted(
        runs, key=lambda run: (-strikes[run.fingerprint], run.elapsed_seconds)
    )
    daemon.journal.note(
        "instance_crashed",
        instance=instance,
        runs=len(runs),
        requests=",".join(
            f"{crashes.format_fingerprint(run.fingerprint)}"
            f":{strikes[run.fingerprint]}:{run.elapsed_seconds:.3f}"
            for run in ordered[:LOGGED_REQUESTS_MAX]
        ),
    )
