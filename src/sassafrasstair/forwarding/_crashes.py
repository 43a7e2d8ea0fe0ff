"""Records crashes of this VM's upstream, and finds requests that cause them.

A request is identified by a fingerprint of its method, host, target and body.
"""

from __future__ import annotations

import collections
import math
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _notices

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state

HOST_HEADER = b"host"
LOGGED_REQUESTS_MAX = 24
"""Maximum requests in one log line; those with most strikes come first."""
LOGGED_CRASHES_MAX = 4
COMPLETED_REQUESTS_MAX = 4_096
"""Maximum completed requests remembered, the most recent ones."""
COMPLETED_BODY_MAX = 512
"""Bytes; requests with larger bodies are not remembered. They rarely repeat,
so computing their fingerprints is not worth its cost."""
URGENT_STRIKES_MIN = 2
"""Number of strikes from which a change is sent to peers immediately."""

_T = typing.TypeVar("_T")
_EVENT_NAMES = {
    crashes.Standing.FREE: "request_cleared",
    crashes.Standing.ISOLATED: "request_suspected",
    crashes.Standing.BLOCKED: "request_blocked",
}


def verdict_of_call(
    daemon: _state.Daemon, call: _records.Call
) -> crashes.Verdict | None:
    """Return whether and how a client's request may run.

    None if no crash is known.
    """
    if not daemon.crash_ledger.crashes:
        return None
    return _verdict(daemon, _call_fingerprint(call))


def verdict_of_inbound(
    daemon: _state.Daemon, inbound: _records.InboundRequest
) -> crashes.Verdict | None:
    """Return whether and how a request for this VM's upstream may run.

    None if no crash is known.
    """
    if not daemon.crash_ledger.crashes:
        return None
    return _verdict(daemon, _inbound_fingerprint(inbound))


def is_blocked(verdict: crashes.Verdict | None, trial: int = 0) -> bool:
    """Return whether a request must not run now.

    A blocked request may run as a trial of its entrance, if the entrance
    knew of at least as many strikes (``trial``) as this daemon.
    """
    if verdict is None or verdict.standing is not crashes.Standing.BLOCKED:
        return False
    return trial < verdict.evidence.strikes


def trial_strikes(verdict: crashes.Verdict | None) -> int:
    """Return the strikes of a request that is tried again, 0 if it is not."""
    if verdict is None or verdict.blocked_until == -math.inf:
        return 0
    return verdict.evidence.strikes


def must_isolate(verdict: crashes.Verdict | None) -> bool:
    """Return whether no other suspect may run beside the request."""
    return (
        verdict is not None and verdict.standing is not crashes.Standing.FREE
    )


def blocked_seconds(daemon: _state.Daemon, call: _records.Call) -> float:
    """Return for how many more seconds this daemon blocks a request."""
    verdict = verdict_of_call(daemon, call)
    if verdict is None:
        return 0.0
    return max(0.0, verdict.blocked_until - daemon.clock.monotonic())


def log_fields(fingerprint: int | None) -> dict[str, str]:
    """Return the request's fingerprint for a log line, if it is known."""
    if fingerprint is None:
        return {}
    return {"fingerprint": crashes.format_fingerprint(fingerprint)}


def suspects(
    daemon: _state.Daemon, now: float
) -> list[tuple[int, crashes.Verdict]]:
    """Return the isolated and blocked requests with their verdicts."""
    own = daemon.feed.own_host
    return [
        (
            fingerprint,
            crashes.decide_standing(
                daemon.crash_ledger, fingerprint, own, now
            ),
        )
        for fingerprint in daemon.suspect_standings
    ]


def record_completed_here(
    daemon: _state.Daemon, inbound: _records.InboundRequest
) -> None:
    """Record that this VM's upstream has answered a request itself."""
    if len(inbound.body) <= COMPLETED_BODY_MAX:
        known = inbound.method, inbound.host, inbound.target, inbound.body
        _remember(daemon.completed_requests, known)
    if daemon.crash_ledger.crashes:
        _clear_suspicion(daemon, _inbound_fingerprint(inbound))


def record_completed(daemon: _state.Daemon, call: _records.Call) -> None:
    """Record that an upstream has answered a client's request itself."""
    request = call.exchange.request
    if len(request.body) <= COMPLETED_BODY_MAX:
        host = request.headers.get(HOST_HEADER, b"")
        known = request.method, host, request.target, request.body
        _remember(daemon.completed_requests, known)
    if daemon.crash_ledger.crashes:
        _clear_suspicion(daemon, _call_fingerprint(call))


def _remember(kept: collections.OrderedDict[_T, None], latest: _T) -> None:
    kept[latest] = None
    kept.move_to_end(latest)
    if len(kept) > COMPLETED_REQUESTS_MAX:
        kept.popitem(last=False)


def _completed_fingerprints(
    daemon: _state.Daemon,
) -> collections.OrderedDict[int, None]:
    """Return the fingerprints of the requests that were completed here.

    They are computed only while crashes are known. Computing one for every
    request would cost more than all the other records of the request.
    """
    if daemon.completed_fingerprints is None:
        daemon.completed_fingerprints = collections.OrderedDict.fromkeys(
            crashes.fingerprint(*known) for known in daemon.completed_requests
        )
    return daemon.completed_fingerprints


def _clear_suspicion(daemon: _state.Daemon, fingerprint: int) -> None:
    _remember(_completed_fingerprints(daemon), fingerprint)
    strikes = crashes.evidence_against(
        daemon.crash_ledger, fingerprint
    ).strikes
    if crashes.clear_completed(daemon.crash_ledger, fingerprint):
        urgent = strikes >= URGENT_STRIKES_MIN
        _announce_change(daemon, {fingerprint}, urgent, "upstream")


def record_crash(
    daemon: _state.Daemon, executions: list[_records.Execution], now: float
) -> None:
    """Record that the upstream crashed while it ran these requests."""
    if not executions:
        return
    instance = executions[-1].request.metadata.instance
    if _is_leaving(daemon, instance):
        return
    key = instance, views.born_at(daemon.view, instance)
    runs = [
        crashes.Run(
            _inbound_fingerprint(execution.request),
            now - execution.guard.running.get(execution.key, now),
            execution.isolated,
        )
        for execution in executions
    ]
    familiar = _completed_fingerprints(daemon)
    if not crashes.record_crash(daemon.crash_ledger, key, runs, familiar, now):
        return
    _counters.count_state_change(daemon.counters, "instance_crashed")
    _log_crash(daemon, instance, runs)
    touched = {run.fingerprint for run in runs}
    _announce_change(daemon, touched, True, "upstream")


def receive_reports(
    daemon: _state.Daemon, reports: abc.Sequence[crashes.Report], host: str
) -> None:
    """Merge the crash reports of a peer."""
    if not reports:
        return
    known = len(daemon.crash_ledger.crashes)
    now = daemon.clock.monotonic()
    touched = crashes.merge_reports(daemon.crash_ledger, reports, now)
    for fingerprint in touched & _completed_fingerprints(daemon).keys():
        crashes.mark_familiar(daemon.crash_ledger, fingerprint)
    if touched:
        urgent = len(daemon.crash_ledger.crashes) != known or any(
            crashes.evidence_against(daemon.crash_ledger, suspect).strikes
            >= URGENT_STRIKES_MIN
            for suspect in touched
        )
        _announce_change(daemon, touched, urgent, f"peer {host}")


def tick(daemon: _state.Daemon, now: float) -> None:
    """Remove expired crashes, and log requests whose standing changed."""
    if not daemon.crash_ledger.crashes:
        return
    crashes.expire(daemon.crash_ledger, now)
    if not daemon.crash_ledger.crashes:
        daemon.completed_fingerprints = None
    _log_changes(daemon, set(), "time")


def _is_leaving(daemon: _state.Daemon, instance: str) -> bool:
    """Return whether the instance was expected to end."""
    known = views.instance_by_id(daemon.view, instance)
    if daemon.leaving or _notices.says_leaving(daemon, instance):
        return True
    if known is None:
        return False
    lapsed = instance not in daemon.view.instances
    return lapsed or known.state is views.InstanceState.LEAVING


def _verdict(daemon: _state.Daemon, fingerprint: int) -> crashes.Verdict:
    own = daemon.feed.own_host
    now = daemon.clock.monotonic()
    return crashes.decide_standing(daemon.crash_ledger, fingerprint, own, now)


def _inbound_fingerprint(inbound: _records.InboundRequest) -> int:
    if inbound.fingerprint is None:
        inbound.fingerprint = crashes.fingerprint(
            inbound.method, inbound.host, inbound.target, inbound.body
        )
    return inbound.fingerprint


def _call_fingerprint(call: _records.Call) -> int:
    if call.fingerprint is None:
        request = call.exchange.request
        call.fingerprint = crashes.fingerprint(
            request.method,
            request.headers.get(HOST_HEADER, b""),
            request.target,
            request.body,
        )
    return call.fingerprint


def _announce_change(
    daemon: _state.Daemon, touched: set[int], urgent: bool, source: str
) -> None:
    daemon.crash_changed.set()
    if urgent:
        daemon.crash_urgent.set()
    _log_changes(daemon, touched, source)


def _log_changes(
    daemon: _state.Daemon, touched: set[int], source: str
) -> None:
    """Log each request whose standing has changed, and count the change."""
    for fingerprint in touched | daemon.suspect_standings.keys():
        verdict = _verdict(daemon, fingerprint)
        before = daemon.suspect_standings.get(
            fingerprint, crashes.Standing.FREE
        )
        if verdict.standing is before:
            continue
        if verdict.standing is crashes.Standing.FREE:
            del daemon.suspect_standings[fingerprint]
        else:
            daemon.suspect_standings[fingerprint] = verdict.standing
        name = _EVENT_NAMES[verdict.standing]
        _counters.count_state_change(daemon.counters, name)
        evidence = verdict.evidence
        now = daemon.clock.monotonic()
        daemon.journal.request(
            name,
            source,
            fingerprint=crashes.format_fingerprint(fingerprint),
            strikes=evidence.strikes,
            isolated=evidence.isolated,
            familiar=evidence.familiar,
            crashes=",".join(
                f"{crash.key[0]}:{now - crash.crashed_at:.2f}"
                for crash in evidence.crashes[-LOGGED_CRASHES_MAX:]
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
