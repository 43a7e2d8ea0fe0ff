"""Carries out a planned stop, as ``stops`` decides it."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from sassafrasstair.decisions import stops
from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _callee
from sassafrasstair.forwarding import _entrance
from sassafrasstair.forwarding import _polls
from sassafrasstair import loops
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _daemon
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

STEP_SECONDS = 0.05
LAST_SECONDS = 0.02
"""Time for what crossed the end to be refused."""


def begin(running: _daemon.RunningDaemon) -> stops.Stop:
    """Begin to stop, unless that has begun, and return the state of it.

    From then on, clients are told, and what arrives is taken only if it can
    end in time.
    """
    daemon = running.daemon
    if daemon.stop is None:
        daemon.stop = stops.begin(
            daemon.settings.bounds.grace_seconds,
            daemon.clock.monotonic(),
            daemon.rng.random(),
            running.signals.signalled_at,
        )
        daemon.leaving = True
        running.callers.closing = True
    return daemon.stop


async def stop(running: _daemon.RunningDaemon) -> None:
    """Shut down without cutting off requests that can end in time."""
    daemon = running.daemon
    stop = begin(running)
    _polls.answer_all(daemon)
    _log_work(running, stop, "stopping")
    while stop.phase is not stops.Phase.ENDED:
        await asyncio.sleep(STEP_SECONDS)
        # After a stall, what has arrived is read before anything is ended.
        await loops.settle()
        try:
            _step(running, stop)
        except Exception as error:
            # An error in one step must not cut off what is in flight.
            daemon.journal.note("stop_step_failed", error=repr(error))
            if daemon.clock.monotonic() >= stop.sends_until:
                break
    for listener in (running.callers, running.daemons):
        listener.stop_accepting()
        listener.close_idle(daemon.clock.monotonic())
    await asyncio.sleep(LAST_SECONDS)
    for task in list(daemon.tasks):
        task.cancel()
    for check in list(daemon.store_checks):
        check.cancel()
    _log_work(running, stop, "stopped")
    daemon.journal.tick(daemon.clock.monotonic() + 1.0)


def _step(running: _daemon.RunningDaemon, stop: stops.Stop) -> None:
    daemon, callers = running.daemon, running.callers
    now = daemon.clock.monotonic()
    in_flight = _in_flight(running, now)
    before = stop.phase
    phase = stops.update(stop, in_flight, now)
    daemon.upstream_leaving = now >= stop.upstream_until
    if not stops.accepts_connections(stop, in_flight):
        stops.stop_accepting(stop)
        callers.stop_accepting()
    if now >= stop.limits_until:
        _callee.refuse_waiting(daemon, outcomes.Reason.LEAVING)
    finals = (stops.Phase.ANSWERING, stops.Phase.ENDED)
    if phase in finals and before not in finals and now >= stop.cut_at:
        _log_work(running, stop, "stop_cuts")
        _end_all(daemon)
    if phase is not stops.Phase.LAME_DUCK:
        callers.close_idle(now, stops.idle_seconds(stop, now))
    for partial in callers.partial_requests(now):
        if not _may_read_on(daemon, stop, partial, now):
            partial.reject()


def _in_flight(running: _daemon.RunningDaemon, now: float) -> stops.InFlight:
    reading = unsent = 0
    for listener in (running.callers, running.daemons):
        unsent += listener.census().unsent
        reading += sum(
            not stops.has_stalled(partial.silent_seconds)
            for partial in listener.partial_requests(now)
        )
    daemon = running.daemon
    return stops.InFlight(
        len(daemon.calls), len(daemon.executions), reading, unsent
    )


def _end_all(daemon: _state.Daemon) -> None:
    """End all that is in flight, and give it its final answer.

    A call that ends frees a slot, for which nothing may wait by then.
    """
    reason = outcomes.Reason.LEAVING
    for call in list(daemon.calls):
        _entrance.end_call(daemon, call, reason)
    _callee.end_running(daemon, reason)


def _may_read_on(
    daemon: _state.Daemon,
    stop: stops.Stop,
    partial: httpio.PartialRequest,
    now: float,
) -> bool:
    """Return whether a half-read request may still be taken."""
    if stop.phase in (stops.Phase.ANSWERING, stops.Phase.ENDED):
        return False
    draining = stop.phase is stops.Phase.DRAINING
    if draining and stops.has_stalled(partial.silent_seconds):
        return False
    table = daemon.view.table
    if table is None:
        return not draining
    if not partial.head_complete:
        reading_seconds = now - partial.request.received_at
        return not (draining and stops.has_stalled(reading_seconds))
    route = _entrance.match_route(table, partial.request)
    if route is None:
        return not draining
    return _arrivals.may_take(daemon, route, partial.request, now, now)


def _log_work(
    running: _daemon.RunningDaemon, stop: stops.Stop, event: str
) -> None:
    """Log what is in flight, by the state of its connection.

    ``noticed_late`` is how many seconds before the stop began the signal may
    have been sent. ``calls`` are requests of clients, ``executions`` those at
    this VM's upstream or waiting for it. The other counts are
    ``httpio.Census``'s.
    """
    daemon = running.daemon
    census = dataclasses.asdict(running.callers.census())
    daemon.journal.note(
        event,
        seconds=daemon.clock.monotonic() - stop.began_at,
        noticed_late=stop.began_at - stop.signalled_at,
        calls=len(daemon.calls),
        executions=len(daemon.executions),
        **census,
    )
