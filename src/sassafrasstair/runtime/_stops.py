"""Carries out a planned stop, as ``stops`` decides it."""

from __future__ import annotations

import asyncio
import logging
import typing

from sassafrasstair import callers
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair.decisions import stops
from sassafrasstair import logs
from sassafrasstair import loops
from sassafrasstair import outcomes
from sassafrasstair.runtime import _control
from sassafrasstair.runtime import _departures
from sassafrasstair.runtime import _entries
from sassafrasstair.runtime import _http
from sassafrasstair.runtime import _slots

if typing.TYPE_CHECKING:
    from sassafrasstair.runtime import _daemon

CLOSE_SECONDS = 0.25
"""How long the servers take to close, of which each waits for 0.1 s twice."""

_LOG = logging.getLogger(__name__)


def begin(daemon: _daemon.Daemon) -> stops.Stop:
    """Begin to stop, unless that has begun, and return the state of it.

    From then on, callers are refused, and attempts are started only if they
    can end in time.
    """
    if daemon.callee.stop is None:
        daemon.callee.stop = stops.begin(
            daemon.settings.stop.grace_seconds,
            daemon.clock.monotonic(),
            signalled_at=daemon.signals.signalled_at,
            reserve=CLOSE_SECONDS,
        )
        daemon.entry.leaving = True
        daemon.intake.leaving = True
    return daemon.callee.stop


async def leave(daemon: _daemon.Daemon, http: _http.Http) -> None:
    """Stop taking work, tell the peers, and finish what can end in time.

    Peers and callers need time to learn that this daemon leaves. Until then
    their requests are refused: if the sockets were closed at once, the
    answers would be lost.
    """
    stop = begin(daemon)
    callers.leave(daemon.intake)
    _control.leave(daemon.control)
    drain(daemon.callee)
    _log_work(daemon, http, "leaving")
    while stop.phase is not stops.Phase.ENDED:
        await asyncio.sleep(calls.HEARTBEAT_SECONDS)
        # After a stall, what has arrived is read before anything is ended.
        await loops.settle()
        _step(daemon, http, stop)
    _log_work(daemon, http, "left")
    await _http.stop(http, stop.sends_until - daemon.clock.monotonic())


def drain(callee: _slots.Callee) -> None:
    """Stop issuing tickets at once, and stop taking work a little later.

    An entrance that has not heard yet that this VM leaves may still send a
    call here. If it were refused, it would fail where its class allows no
    retry, and so would a call whose ticket was issued a moment ago. The
    news takes about a second to spread; until then work is accepted.
    """
    if callee.stopping:
        return
    callee.stopping = True
    once.stop_issuing(callee.owner)
    loop = asyncio.get_running_loop()
    loop.call_later(_departures.ACCEPT_SECONDS, _refuse_work, callee)


def _refuse_work(callee: _slots.Callee) -> None:
    callee.guard.leaving = True
    if callee.stop is None:
        # The VM is listed as leaving, and its upstream may end at any moment.
        # A stop of this daemon bounds by itself what still starts.
        reason = outcomes.Reason.LEAVING
        _slots.apply_effects(callee, load.retire(callee.guard, reason))


def _step(daemon: _daemon.Daemon, http: _http.Http, stop: stops.Stop) -> None:
    before = stop.phase
    in_flight = stops.InFlight(
        calls=daemon.entry.in_flight,
        executions=len(daemon.callee.attempts),
        unsent=_http.unanswered(http),
    )
    now = daemon.clock.monotonic()
    phase = stops.update(stop, in_flight, now)
    if now >= stop.limits_until:
        # The process may be killed before the final answers, if the signal
        # was noticed late.
        reason = outcomes.Reason.LEAVING
        effects = load.retire(daemon.callee.guard, reason)
        _slots.apply_effects(daemon.callee, effects)
    if phase is not stops.Phase.ANSWERING:
        return
    if before is not phase:
        _log_work(daemon, http, "stop_cuts")
        callers.end(daemon.intake)
        _end_attempts(daemon.callee)
    else:
        # A call of this daemon's own attempts has got their answer by now.
        _entries.cut_off_calls(daemon.entry)


def _end_attempts(callee: _slots.Callee) -> None:
    """End all attempts that run; those that waited were refused before."""
    reason = outcomes.Reason.LEAVING
    for attempt in list(callee.attempts.values()):
        if attempt.answer_chunks is not None:
            _slots.fail_answer(callee, attempt, reason)
        elif attempt.message.attempt_id in callee.guard.running:
            _slots.abort(attempt)


def _log_work(daemon: _daemon.Daemon, http: _http.Http, event: str) -> None:
    """Log what is in flight: calls of callers, attempts at the upstream."""
    logs.event(
        _LOG,
        logging.INFO,
        event,
        vm=daemon.settings.vm,
        calls=daemon.entry.in_flight,
        attempts=len(daemon.callee.attempts),
        unanswered=_http.unanswered(http),
    )
