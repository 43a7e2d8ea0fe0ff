"""An oracle of what goes on for clients that have left.

After a client closed its connection no request of it reaches an instance any
more, and instances are told to stop working on it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from tests.platform.soak import disruptions
    from tests.platform.soak import losses

AFTER_SECONDS = 0.5
ARRIVALS_MAX = 3
"""Requests that may arrive later than that, in all."""
AT_WORK_RATIO = 0.25
"""Of the requests at which instances would still work, how many may be."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at the instance of a VM; loop time."""

    at: float
    host: str


class Oracle:
    """Notes who left and what arrived, and finds what went on."""

    def __init__(self, record: disruptions.Record) -> None:
        self._record = record
        self._left_at: dict[str, float] = {}
        self._arrivals: dict[str, list[Arrival]] = {}

    def left(self, key: str) -> None:
        """Note that a client closed its connection without an answer."""
        self._left_at[key] = _now()

    def arrived(self, key: str, host: str) -> None:
        """Note that a request reached the instance of a VM."""
        self._arrivals.setdefault(key, []).append(Arrival(_now(), host))

    def broken(
        self, lives: dict[str, losses.Life], idempotent: frozenset[str]
    ) -> list[str]:
        """Return each rule that was broken, and how."""
        late = [
            f"GONE {key}: arrived {arrival.at - left_at:.3f} s later"
            for key, left_at in self._left_at.items()
            for arrival in self._arrivals.get(key, ())
            if arrival.at > left_at + AFTER_SECONDS
            if self._in_touch(lives[key], [arrival.host], arrival.at)
        ]
        owed = self._would_have_lasted(lives, idempotent)
        at_work = [
            f"GONE {key}: worked on for {work.ended_at - left_at:.3f} s"
            f" of {work.due_at - left_at:.3f} s, {len(owed)} alike"
            for key, left_at, work in owed
            if work.ended_at > left_at + AFTER_SECONDS
        ]
        if len(late) <= ARRIVALS_MAX:
            late = []
        if len(at_work) <= AT_WORK_RATIO * len(owed):
            at_work = []
        return late + at_work

    def count(
        self, lives: dict[str, losses.Life], idempotent: frozenset[str]
    ) -> str:
        """Return how many clients left, and how much that would have run."""
        owed = len(self._would_have_lasted(lives, idempotent))
        return f"{len(self._left_at)} left, {owed} would have lasted"

    def _would_have_lasted(
        self, lives: dict[str, losses.Life], idempotent: frozenset[str]
    ) -> list[tuple[str, float, losses.Work]]:
        """Return the work that was still due some time after a client left."""
        return [
            (key, left_at, work)
            for key, left_at in self._left_at.items()
            if key in idempotent
            for work in lives[key].works
            if work.began_at <= left_at + AFTER_SECONDS < work.due_at
            if not work.broke_off
            if self._in_touch(lives[key], [work.host], left_at + AFTER_SECONDS)
        ]

    def _in_touch(
        self, life: losses.Life, hosts: list[str], until: float
    ) -> bool:
        left_at = self._left_at[life.key]
        return self._record.in_touch([life.entrance, *hosts], left_at, until)


def _now() -> float:
    return asyncio.get_running_loop().time()
