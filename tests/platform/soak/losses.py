"""An oracle of requests that are lost around planned work, or at any time.

Planned work is a planned stop, a SIGHUP or a change of the policy. A daemon
that has read a whole request owes the complete answer of the instance that
runs it, and may not close the connection without any answer.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import enum
import math
import typing

from tests.platform.soak import disruptions

if typing.TYPE_CHECKING:
    from collections import abc

SLACK_SECONDS = 0.2
"""A connection that is closed sooner crossed the last byte of the request."""
AFTER_GRACE_SECONDS = 1.0
PROPAGATION_SECONDS = 2.0
"""Requests are owed an answer if sent up to this long after a SIGHUP."""
AFTER_POLICY_SECONDS = PROPAGATION_SECONDS + 1.0
"""A policy may cut no requests for so long after it was written."""
POLICY_RATIO = 3.0
"""Daemons may cut this much more often beside a policy than at other times."""
USED_RATIO = 0.7
"""A policy may cut a request that has used this much of its time."""
CLOSED_MAX = 3
"""Kept connections that may be closed under a request, in all."""
LATE_SECONDS = 3.0
"""A request that is sent longer after SIGTERM may not be cut at the end."""
AT_WORK_RATIO = 5.0 / 6.0
"""The fraction of the grace period after which long runs may be cut."""
NOTICE_SECONDS = 0.01
"""An instance notices after so long that nobody waits for its answer."""
STALE_SECONDS = 8.0
"""A daemon may apply a policy this long after a newer one was written: the
store may be away meanwhile."""


class Ending(enum.Enum):
    """How a request ended for its client."""

    ANSWERED = "answered by an instance"
    REPLACED = "answered by a daemon"
    CLOSED = "closed without an answer"
    LEFT = "left by its client"


@dataclasses.dataclass(eq=False)
class Work:
    """The work of an instance on a request; loop times.

    It would last until ``due_at`` at least, ``-inf`` if that is not known.
    """

    host: str
    began_at: float
    ended_at: float = math.inf
    due_at: float = -math.inf
    broke_off: bool = False


@dataclasses.dataclass
class Life:
    """A request of a client of the daemon at ``entrance``; loop times.

    ``whole_at`` is when its last byte was sent. ``was_open`` is set if it was
    sent on a connection that was open, ``kept`` if the client uses its
    connection again. ``manner`` is how it was sent.
    """

    key: str
    route: str
    entrance: str
    began_at: float
    patience: float
    whole_at: float
    was_open: bool = False
    kept: bool = False
    manner: str = ""
    ended_at: float = math.inf
    ending: Ending = Ending.LEFT
    works: list[Work] = dataclasses.field(default_factory=list)

    def end(self, ending: Ending) -> None:
        """Note how the request ends now."""
        self.ended_at = _now()
        self.ending = ending

    @property
    def is_unanswered(self) -> bool:
        """Whether an answer was owed and did not come."""
        if self.ending in (Ending.ANSWERED, Ending.LEFT):
            return False
        if self.whole_at > self.ended_at:
            return False
        if self.works:
            return True
        crossed = self.ended_at - self.whole_at <= SLACK_SECONDS
        return self.ending is Ending.CLOSED and self.was_open and not crossed

    @property
    def broke_off(self) -> bool:
        """Whether the instance that worked last broke off."""
        return bool(self.works) and self.works[-1].broke_off


@dataclasses.dataclass(frozen=True)
class Stop:
    """A SIGTERM, and the grace period in seconds."""

    host: str
    at: float
    grace: float

    def covers(self, life: Life) -> bool:
        """Return whether the daemon owes an answer in spite of the stop."""
        until = self.at + self.grace + AFTER_GRACE_SECONDS
        if not self.at <= life.ended_at <= until:
            return False
        return life.entrance == self.host or self._breaks_off(life)

    def _breaks_off(self, life: Life) -> bool:
        """Return whether another daemon answered for its instance at work."""
        return life.ending is Ending.REPLACED and any(
            work.host == self.host
            and work.began_at
            <= life.ended_at
            <= work.ended_at + NOTICE_SECONDS
            for work in life.works
        )

    def may_cut(self, life: Life) -> bool:
        """Return whether an instance worked for too long at the end."""
        final = self.at + AT_WORK_RATIO * self.grace
        if not self.covers(life) or life.ended_at < final:
            return False
        at_work = any(work.ended_at >= final for work in life.works)
        return at_work and life.whole_at <= self.at + LATE_SECONDS


@dataclasses.dataclass(frozen=True)
class Hangup:
    """A SIGHUP."""

    host: str
    at: float

    def covers(self, life: Life) -> bool:
        """Return whether the daemon owes an answer in spite of it."""
        return (
            life.entrance == self.host
            and life.began_at <= self.at + PROPAGATION_SECONDS
            and life.ended_at >= self.at
        )


@dataclasses.dataclass(frozen=True)
class Policy:
    """A policy that was written, which all daemons may apply from then on."""

    at: float

    def covers(self, life: Life) -> bool:
        """Return whether a request ended beside it."""
        return self.at <= life.ended_at <= self.at + AFTER_POLICY_SECONDS


class Oracle:
    """Notes requests and signals, and finds what was lost."""

    def __init__(self, record: disruptions.Record) -> None:
        self.lives: dict[str, Life] = {}
        self._record = record
        self._signals: list[Stop | Hangup] = []
        self._policies: list[Policy] = []
        self._timeouts: list[tuple[float, dict[str, float]]] = []

    def began(
        self, key: str, route: str, entrance: str, at: float, patience: float
    ) -> Life:
        """Note a request that is sent as a whole."""
        life = self.lives[key] = Life(key, route, entrance, at, patience, at)
        return life

    @contextlib.contextmanager
    def at_work(self, key: str, host: str) -> abc.Iterator[Work]:
        """Note that an instance works on a request for as long."""
        work = Work(host, _now())
        if key in self.lives:
            self.lives[key].works.append(work)
        try:
            yield work
        finally:
            work.ended_at = _now()

    def stops(self, host: str, grace: float) -> None:
        """Note that a daemon gets SIGTERM now."""
        self._signals.append(Stop(host, _now(), grace))

    def hangs_up(self, host: str) -> None:
        """Note that a daemon gets SIGHUP now."""
        self._signals.append(Hangup(host, _now()))

    def configured(self, timeouts: dict[str, float]) -> None:
        """Note a policy, and the timeouts of its routes."""
        self._timeouts.append((_now(), timeouts))
        self._policies.append(Policy(_now()))

    def count(self) -> str:
        """Return how many requests ended near a SIGTERM, by ending."""
        near = [
            life
            for life in self.lives.values()
            for stop in self._signals
            if isinstance(stop, Stop)
            and stop.host == life.entrance
            and stop.at <= life.ended_at <= stop.at + stop.grace
        ]
        found = collections.Counter(
            f"{life.ending.value}, {'run' if life.works else 'not run'},"
            f" {self._excuse(life) or 'counts'}"
            for life in near
        )
        return f"{dict(found)}"

    def count_sound(self) -> int:
        """Return how many requests of kept connections an answer was owed."""
        kept = [life for life in self.lives.values() if life.kept]
        ended = [life for life in kept if life.ended_at < math.inf]
        return sum(
            bool(life.works) and self._was_sound(life) for life in ended
        )

    def broken(self) -> list[str]:
        """Return each request that was lost."""
        return [
            *self._lost_at_signals(),
            *self._lost_beside_policies(),
            *self._closed_at_any_time(),
        ]

    def _lost_at_signals(self) -> list[str]:
        return [
            f"LOST {life.key}: {self._describe(signal, life)}"
            for life in self.lives.values()
            if life.is_unanswered and not self._excuse(life)
            for signal in [self._signal(life)]
            if signal is not None
        ]

    def _lost_beside_policies(self) -> list[str]:
        entrances = {life.entrance for life in self.lives.values()}
        return [
            f"LOST {life.key}: {self._describe(policy, life)}"
            for entrance in sorted(entrances)
            for policy, life in self._cut_more_often(entrance)
        ]

    def _cut_more_often(self, entrance: str) -> list[tuple[Policy, Life]]:
        """Return what a daemon cut beside policies, if it did so too often.

        Requests that ended around its signals are counted elsewhere.
        """
        ended = [
            life
            for life in self.lives.values()
            if life.entrance == entrance and life.ended_at < math.inf
            if self._signal(life) is None
        ]
        beside: list[tuple[Policy, Life]] = []
        cut_elsewhere = elsewhere = 0
        for life in ended:
            policy = self._policy(life)
            if policy is None:
                elsewhere += 1
                cut_elsewhere += self._was_cut(life)
            elif self._was_cut(life) and not self._is_nearly_over(life):
                beside.append((policy, life))
        share = len(beside) / max(1, len(ended) - elsewhere)
        allowed = POLICY_RATIO * cut_elsewhere / max(1, elsewhere)
        return beside if share > allowed else []

    def _closed_at_any_time(self) -> list[str]:
        """Return requests that got no answer on kept connections."""
        closed = [
            life
            for life in self.lives.values()
            if life.kept
            and life.ending is Ending.CLOSED
            and life.works
            and life.whole_at <= life.ended_at
            and self._was_sound(life)
        ]
        if len(closed) <= CLOSED_MAX:
            return []
        return [
            f"LOST {life.key}: {len(closed)} kept connections closed,"
            f" {life.ended_at - life.whole_at:.3f} s after the request"
            for life in closed
        ]

    def _was_sound(self, life: Life) -> bool:
        """Return whether the daemon was in touch and the instance sound."""
        since, until = life.began_at, life.ended_at
        if life.broke_off:
            return False
        if not self._record.in_touch([life.entrance], since, until):
            return False
        hosts = {work.host for work in life.works}
        kinds = frozenset({disruptions.Kind.INSTANCE})
        return not self._record.had(hosts, kinds, since, until)

    def _policy(self, life: Life) -> Policy | None:
        return next((one for one in self._policies if one.covers(life)), None)

    def _was_cut(self, life: Life) -> bool:
        """Return whether a connection ended without an answer that is owed."""
        cut = life.ending is Ending.CLOSED and life.is_unanswered
        return cut and not self._excuse(life)

    def _is_nearly_over(self, life: Life) -> bool:
        used = life.ended_at - life.began_at
        return used >= USED_RATIO * self._limit(life)

    def _signal(self, life: Life) -> Stop | Hangup | None:
        return next((one for one in self._signals if one.covers(life)), None)

    def _excuse(self, life: Life) -> str:
        if life.broke_off:
            return "broken off"
        if life.ended_at >= life.began_at + self._limit(life):
            return "timed out"
        stops = [each for each in self._signals if isinstance(each, Stop)]
        if any(stop.may_cut(life) for stop in stops):
            return "at work at the end of a stop"
        return "disrupted" if self._is_disrupted(life) else ""

    def _limit(self, life: Life) -> float:
        """Return after how many seconds the daemon may give up."""
        since = life.began_at - STALE_SECONDS
        ends = [at for at, _ in self._timeouts[1:]] + [math.inf]
        applied = [
            timeouts[life.route]
            for (at, timeouts), until in zip(self._timeouts, ends, strict=True)
            if at <= life.ended_at and until >= since
        ]
        # A client states its limit in whole milliseconds.
        stated = math.floor(1000 * life.patience) / 1000
        return min([stated, *applied])

    def _is_disrupted(self, life: Life) -> bool:
        hosts = {life.entrance, *(work.host for work in life.works)}
        return self._record.had(
            hosts, disruptions.UNPLANNED, life.began_at, life.ended_at
        )

    def _describe(self, signal: Stop | Hangup | Policy, life: Life) -> str:
        works = [
            f"{work.host} {work.began_at - signal.at:.3f}"
            f" to {work.ended_at - signal.at:.3f}"
            for work in life.works
        ]
        return (
            f"{life.ending.value}, {life.manner}, seconds from {signal}:"
            f" sent {life.began_at - signal.at:.3f}"
            f" to {life.whole_at - signal.at:.3f},"
            f" ended {life.ended_at - signal.at:.3f}, works {works}"
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
