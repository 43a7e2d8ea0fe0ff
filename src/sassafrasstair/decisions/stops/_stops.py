"""The phases of a planned stop, and what each of them takes."""

from __future__ import annotations

import dataclasses
import enum

LAME_DUCK_SECONDS = 2.3
"""Readiness is polled once a second, and clients are sent elsewhere after two
failed polls."""
LAME_DUCK_GRACE_RATIO = 0.55
"""The fraction of the grace period that the first phase takes at most."""
AT_WORK_GRACE_RATIO = 5.0 / 6.0
"""The fraction of the grace period for which a run that began early has to be
waited for."""
BEST_EFFORT_SECONDS = 2.8
BEST_EFFORT_GRACE_RATIO = 0.7
"""A request that has been read by then may be cut at the end of the grace
period, so that an estimate of its time will do. The platform's limit is 3 s
from when it decides to stop the process."""
UPSTREAM_GRACE_RATIO = 0.2
"""The fraction of the grace period in which the upstream still gets work, so
that it is not idle from the signal on."""
TAIL_FACTOR = 3.0
"""Some requests take this many times the average time."""
TAIL_SECONDS = 1.0
TAIL_GRACE_RATIO = 0.17
"""Minimum time left for a request whose time is estimated, in seconds, but at
most this fraction of the grace period."""
LAME_DUCK_REST_SECONDS = 0.5
"""The end of the first phase in which the upstream's last runs can end, so
that they need not delay the end of the process."""
LAST_RESORT_SECONDS = 2.5
"""The time over which daemons that stop together are spread, so that some are
back before the last ones end."""
ANSWER_GRACE_RATIO = 0.15
ANSWER_SECONDS_MAX = 0.5
"""The end of the grace period in which no time limit of what is taken late
ends: a fraction of it, but no more than this."""
FLUSH_SECONDS = 0.05
"""Minimum time in which final answers are sent."""
ANSWERING_SECONDS = 0.1
"""Time from the final answers to the end of the process. An instance's answer
may wait at a daemon that is silent until then."""
EXIT_SECONDS = 0.15
EXIT_ANSWER_RATIO = 0.5
"""Time for the process to end before it is killed, in seconds, but at most
this fraction of the time for the final answers."""
QUIET_SECONDS = 0.3
"""A daemon may end after it has had nothing in flight for this long."""
STALL_SECONDS = 1.0
"""A half-read request of which nothing arrives for this long does not delay
the end."""


class Phase(enum.Enum):
    """How far a stop is.

    ``LAME_DUCK``: clients may not know of it yet. ``DRAINING``: connections
    are closed once they are idle. ``ANSWERING``: all that was in flight has
    got its final answer, which is being sent. ``ENDED``: the process may end.
    """

    LAME_DUCK = "lame_duck"
    DRAINING = "draining"
    ANSWERING = "answering"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop that began at ``began_at``, in seconds.

    The signal was sent at ``signalled_at`` at the earliest, and at
    ``began_at`` at the latest: each bound counts from the worse of the two.
    ``grace`` is the time after the signal at which the process is killed, and
    ``busy_at`` the last time at which something was in flight. ``spread`` is
    drawn from 0 to 1, and sets how long the upstream is a last resort.
    ``has_last_resorts`` is set while the upstream gets what no other instance
    can run. Without ``accepting``, new connections are refused for good.
    ``reserve`` is the end of the grace period in which the process closes.
    """

    began_at: float
    signalled_at: float
    grace: float
    busy_at: float
    spread: float
    phase: Phase = Phase.LAME_DUCK
    has_last_resorts: bool = False
    accepting: bool = True
    reserve: float = 0.0

    @property
    def lame_duck_until(self) -> float:
        """When clients can be expected to know of the stop.

        They learn of it from this process, once it has noticed the signal.
        """
        seconds = min(LAME_DUCK_SECONDS, LAME_DUCK_GRACE_RATIO * self.grace)
        return min(self.began_at + seconds, self.limits_until)

    @property
    def best_effort_until(self) -> float:
        """Until when a request has to be read to be taken by an estimate."""
        seconds = min(
            BEST_EFFORT_SECONDS, BEST_EFFORT_GRACE_RATIO * self.grace
        )
        return self.signalled_at + seconds

    @property
    def upstream_until(self) -> float:
        """Until when the upstream gets work."""
        return min(
            self.began_at + UPSTREAM_GRACE_RATIO * self.grace,
            self.lame_duck_until - QUIET_SECONDS,
        )

    @property
    def last_resort_until(self) -> float:
        """Until when the upstream gets what no other instance can run."""
        earliest = max(
            self.upstream_until, self.lame_duck_until - LAME_DUCK_REST_SECONDS
        )
        latest = min(self.limits_until, earliest + LAST_RESORT_SECONDS)
        return earliest + self.spread * (latest - earliest)

    @property
    def limits_until(self) -> float:
        """When the time limits of what is taken late have to end."""
        ends_at = self.signalled_at + self.grace - self.reserve
        return ends_at - self._answer_seconds

    @property
    def cut_at(self) -> float:
        """When all that is still in flight gets its final answer.

        It leaves time to send them. If the signal was noticed very late, the
        process may be killed before. What is at work then may be cut either
        way.
        """
        at_work_seconds = AT_WORK_GRACE_RATIO * self.grace
        latest = self._ends_at - ANSWERING_SECONDS
        if self.reserve:
            # Short grace periods have no room for both, and calls between
            # daemons of the process end one after the other.
            seconds = self.grace - self.reserve - self._answer_seconds
            at_work_seconds = min(at_work_seconds, seconds)
            latest = self.limits_until
        return max(self.limits_until, self.began_at + at_work_seconds, latest)

    @property
    def ends_by(self) -> float:
        """By when the process has to end if it may be killed that early."""
        return max(self._ends_at, self.cut_at + FLUSH_SECONDS)

    @property
    def sends_until(self) -> float:
        """When the process ends, whether all answers are sent or not.

        If it is killed before, they would have been cut as well.
        """
        return max(
            self.ends_by, self.began_at + self.grace - self._exit_seconds
        )

    @property
    def _ends_at(self) -> float:
        return self.signalled_at + self.grace - self._exit_seconds

    @property
    def _exit_seconds(self) -> float:
        seconds = min(EXIT_SECONDS, EXIT_ANSWER_RATIO * self._answer_seconds)
        return self.reserve + seconds

    @property
    def _answer_seconds(self) -> float:
        return min(ANSWER_SECONDS_MAX, ANSWER_GRACE_RATIO * self.grace)


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """What a daemon has in flight.

    ``calls`` are requests that were read whole and started, ``executions``
    those at the upstream or waiting for it. ``reading`` counts half-read
    requests that have not stalled, and ``unsent`` connections with answers in
    their buffers.
    """

    calls: int = 0
    executions: int = 0
    reading: int = 0
    unsent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a client or of this VM's upstream.

    Its first byte arrived at ``began_at``, and the last one no later than
    ``read_at``. It ends at ``deadline`` at the latest. Recent ones of its kind
    took ``expected`` seconds from then on, and up to ``longest``.
    ``may_be_call`` is set if the upstream on this VM may make it for a request
    that it runs.
    """

    began_at: float
    read_at: float
    deadline: float
    expected: float
    longest: float
    may_be_call: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the upstream on this VM may run.

    It ends at ``deadline`` at the latest. Recent ones took up to ``longest``
    seconds, the wait for a slot included. ``may_be_cut`` is set if the daemon
    that took it stops together with this upstream, and ``last_resort`` if it
    knows no other instance that can run it.
    """

    deadline: float
    longest: float
    may_be_cut: bool = False
    last_resort: bool = False


def begin(
    grace: float,
    now: float,
    spread: float = 1.0,
    signalled_at: float | None = None,
    reserve: float = 0.0,
) -> Stop:
    """Return the state of a stop that begins now.

    ``signalled_at`` is the last time at which the process surely had not got
    the signal, ``now`` if it is None. A process that stands still notices the
    signal late, but the platform counts from when it was sent.
    """
    if signalled_at is None:
        signalled_at = now
    return Stop(now, signalled_at, grace, now, spread, reserve=reserve)


def update(stop: Stop, in_flight: InFlight, now: float) -> Phase:
    """Advance the stop by one step, of 0.05 to 0.2 s.

    What is in flight gets its final answers when the stop leaves
    ``DRAINING``. If a step comes too late to wait for them, it ends the stop.
    """
    if in_flight != InFlight():
        stop.busy_at = now
    if stop.phase is Phase.LAME_DUCK and now >= stop.lame_duck_until:
        stop.phase = Phase.DRAINING
    if stop.phase is Phase.DRAINING:
        if now - stop.busy_at >= QUIET_SECONDS:
            stop.phase = Phase.ENDED
        elif now >= stop.sends_until:
            stop.phase = Phase.ENDED
        elif now >= stop.cut_at:
            stop.phase = Phase.ANSWERING
    elif stop.phase is Phase.ANSWERING and _has_answered(stop, in_flight, now):
        stop.phase = Phase.ENDED
    if not takes_last_resorts(stop, now):
        stop.has_last_resorts = False
    if now >= stop.limits_until:
        stop.accepting = False
    return stop.phase


def may_take(stop: Stop, arrival: Arrival, now: float) -> bool:
    """Return whether a request that has been read may be taken.

    What is not taken is refused as not run. A request that was read late is
    owed an answer, so that only its own time limit is a bound. Of the others
    a call is taken later than a client's request: to refuse it would fail
    the request for which it is made.
    """
    if arrival.deadline <= now:
        return False
    if not may_start(stop, arrival.deadline, arrival.expected, now):
        return False
    if arrival.deadline <= stop.limits_until:
        return True
    if arrival.read_at > stop.best_effort_until:
        return False
    if now <= stop.lame_duck_until:
        return True
    is_early = arrival.began_at <= stop.lame_duck_until
    if not (is_early or arrival.may_be_call):
        return False
    return _fits(stop, arrival.longest, now)


def may_run(stop: Stop, run: Run, now: float) -> bool:
    """Return whether the upstream may get a request.

    As a last resort it may come later than others.
    """
    is_taking = now < stop.upstream_until
    if run.last_resort:
        is_taking = takes_last_resorts(stop, now)
    return is_taking and may_start_run(stop, run, now)


def may_start_run(stop: Stop, run: Run, now: float) -> bool:
    """Return whether the upstream may start a request that it has taken.

    The daemon that took a request of another VM may stop a moment later, and
    would owe its answer, so that only its own time limit is a bound. A request
    that this daemon took is either bounded, or may be cut at its end.
    """
    if not may_start(stop, run.deadline, run.longest, now):
        return False
    if run.deadline <= stop.limits_until:
        return True
    return run.may_be_cut and _fits(stop, run.longest, now)


def takes_last_resorts(stop: Stop, now: float) -> bool:
    """Return whether the upstream gets what no other instance can run.

    A run may make calls, and a run whose calls can't connect would fail.
    """
    is_taking = stop.phase in (Phase.LAME_DUCK, Phase.DRAINING)
    return stop.accepting and is_taking and now < stop.last_resort_until


def note_last_resort(stop: Stop) -> None:
    """Note a run of what no other instance can run.

    More are likely, so that connections are accepted until none is taken.
    """
    stop.has_last_resorts = True


def may_start(
    stop: Stop, deadline: float, expected: float, now: float
) -> bool:
    """Return whether work that starts now can be expected to end in time.

    It ends at ``deadline`` at the latest.
    """
    if stop.phase not in (Phase.LAME_DUCK, Phase.DRAINING):
        return False
    return min(deadline, now + expected) <= stop.limits_until


def tail_seconds(average: float) -> float:
    """Return how long most requests take at most, from their average."""
    return TAIL_FACTOR * average


def _fits(stop: Stop, longest: float, now: float) -> bool:
    """Return whether a request of ``longest`` seconds ends before the cut.

    Some take longer than was ever seen, so a minimum time must be left.
    """
    least = min(TAIL_SECONDS, TAIL_GRACE_RATIO * stop.grace)
    return now + max(least, longest) <= stop.limits_until


def accepts_connections(stop: Stop, in_flight: InFlight) -> bool:
    """Return whether new connections are accepted.

    Later they are only for calls that the upstream may make, and none of
    these is taken once limits have to end.
    """
    if not stop.accepting:
        return False
    if stop.phase is Phase.DRAINING:
        return in_flight.executions > 0 or stop.has_last_resorts
    return stop.phase is Phase.LAME_DUCK


def idle_seconds(stop: Stop, now: float) -> float:
    """Return for how long a connection is idle that is closed.

    What comes once limits have to end is not taken.
    """
    return 0.0 if now >= stop.limits_until else QUIET_SECONDS


def stop_accepting(stop: Stop) -> None:
    """Accept no more connections, and take no more runs that may call."""
    stop.accepting = False


def has_stalled(silent_seconds: float) -> bool:
    """Return whether a half-read request no longer delays the end."""
    return silent_seconds >= STALL_SECONDS


def _has_answered(stop: Stop, in_flight: InFlight, now: float) -> bool:
    if in_flight.unsent:
        return now >= stop.sends_until
    return now >= stop.cut_at + FLUSH_SECONDS
