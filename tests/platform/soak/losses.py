"""An oracle of requests that are lost around a planned stop or a SIGHUP.

A daemon that has read a whole request owes the complete answer of the instance
that runs it, and may not close the connection without any answer.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import enum
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

STABLE_SECONDS = 3.0
"""A disruption this long before a request excuses its loss."""
SLACK_SECONDS = 0.2
"""A connection that is closed sooner crossed the last byte of the request."""
AFTER_GRACE_SECONDS = 1.0
PROPAGATION_SECONDS = 2.0
"""Requests are owed an answer if sent up to this long after a SIGHUP."""
LATE_SECONDS = 3.0
"""A request that is sent longer after SIGTERM may not be cut at the end."""
AT_WORK_RATIO = 5.0 / 6.0
"""The fraction of the grace period after which long runs may be cut."""
STALE_SECONDS = 8.0
"""A daemon may apply a policy this long after a newer one was written: the
store may be away meanwhile."""
TOLERANCE = 0.01


class Ending(enum.Enum):
    """How a request ended for its client."""

    ANSWERED = "answered by an instance"
    REPLACED = "answered by a daemon"
    CLOSED = "closed without an answer"
    LEFT = "left by its client"


@dataclasses.dataclass(eq=False)
class Work:
    """The work of an instance on a request; loop times."""

    host: str
    began_at: float
    ended_at: float = math.inf
    broke_off: bool = False


@dataclasses.dataclass
class Life:
    """A request of a client of the daemon at ``entrance``; loop times.

    ``whole_at`` is when its last byte was sent. ``alone`` is set if it was
    sent on a connection that was open, behind no other request.
    """

    key: str
    entrance: str
    began_at: float
    patience: float
    whole_at: float
    alone: bool = False
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
        return self.ending is Ending.CLOSED and self.alone and not crossed

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
        if life.entrance != self.host or not self.at <= life.ended_at <= until:
            return False
        final = self.at + AT_WORK_RATIO * self.grace
        at_work = life.ended_at >= final and any(
            work.ended_at >= final for work in life.works
        )
        return life.whole_at > self.at + LATE_SECONDS or not at_work


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


@dataclasses.dataclass
class _Disruption:
    host: str
    began_at: float
    ended_at: float = math.inf


class Oracle:
    """Notes requests, signals and disruptions, and finds what was lost."""

    def __init__(self) -> None:
        self.lives: dict[str, Life] = {}
        self._signals: list[Stop | Hangup] = []
        self._disruptions: list[_Disruption] = []
        self._timeouts: list[tuple[float, float]] = []

    def began(
        self, key: str, entrance: str, at: float, patience: float
    ) -> Life:
        """Note a request that is sent as a whole."""
        life = self.lives[key] = Life(key, entrance, at, patience, at)
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

    @contextlib.contextmanager
    def disrupted(self, host: str) -> abc.Iterator[None]:
        """Note an unplanned disruption of a VM, its link or instance."""
        disruption = _Disruption(host, _now())
        self._disruptions.append(disruption)
        try:
            yield
        finally:
            disruption.ended_at = _now()

    def configured(self, timeout: float) -> None:
        """Note the timeout of all routes from now on."""
        self._timeouts.append((_now(), timeout))

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

    def broken(self) -> list[str]:
        """Return each request that was lost."""
        return [
            f"LOST {life.key}: {self._describe(signal, life)}"
            for life in self.lives.values()
            if life.is_unanswered and not self._excuse(life)
            for signal in [self._signal(life)]
            if signal is not None
        ]

    def _signal(self, life: Life) -> Stop | Hangup | None:
        return next((one for one in self._signals if one.covers(life)), None)

    def _excuse(self, life: Life) -> str:
        if life.broke_off:
            return "broken off"
        if life.ended_at >= life.began_at + self._limit(life) - TOLERANCE:
            return "timed out"
        return "disrupted" if self._is_disrupted(life) else ""

    def _limit(self, life: Life) -> float:
        """Return after how many seconds the daemon may give up."""
        since = life.began_at - STALE_SECONDS
        ends = [at for at, _ in self._timeouts[1:]] + [math.inf]
        applied = [
            timeout
            for (at, timeout), until in zip(self._timeouts, ends, strict=True)
            if at <= life.ended_at and until >= since
        ]
        return min([life.patience, *applied])

    def _is_disrupted(self, life: Life) -> bool:
        hosts = {life.entrance, *(work.host for work in life.works)}
        return any(
            each.host in hosts
            and each.began_at <= life.ended_at
            and each.ended_at >= life.began_at - STABLE_SECONDS
            for each in self._disruptions
        )

    def _describe(self, signal: Stop | Hangup, life: Life) -> str:
        works = [
            f"{work.host} {work.began_at - signal.at:.3f}"
            f" to {work.ended_at - signal.at:.3f}"
            for work in life.works
        ]
        return (
            f"{life.ending.value}, seconds from {signal}:"
            f" sent {life.began_at - signal.at:.3f}"
            f" to {life.whole_at - signal.at:.3f},"
            f" ended {life.ended_at - signal.at:.3f}, works {works}"
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
