"""The clock interface that every part with I/O is given.

Decisions take no clock: they take ``now``, the float seconds that
``Clock.monotonic`` returned to their caller.
"""

from __future__ import annotations

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a scale that never goes back."""

    def wall(self) -> datetime.datetime:
        """Return the time of day in UTC, which may jump."""


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def wall(self) -> datetime.datetime:
        """Return the UTC time of day."""
        return datetime.datetime.now(datetime.UTC)


class BootTimeClock:
    """The clock of the machine, counting the time that it was suspended.

    ``time.monotonic()`` stands still meanwhile, so that a deadline that
    passed long ago would still seem to lie ahead.
    """

    def monotonic(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime.datetime:
        """Return the UTC time of day."""
        return datetime.datetime.now(datetime.UTC)
