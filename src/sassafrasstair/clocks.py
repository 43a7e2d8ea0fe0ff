"""The clock interface for all code that does I/O.

The code in ``decisions`` takes no clock but ``now``, the seconds that
``Clock.monotonic`` returned to its caller.
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
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def wall(self) -> datetime.datetime:
        """Return the UTC time of day."""
        return datetime.datetime.now(datetime.UTC)


class BootTimeClock:
    """The clock of the operating system, including time spent suspended.

    ``time.monotonic()`` stops while the machine is suspended, so a deadline
    that has long passed would still seem to be in the future.
    """

    def monotonic(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime.datetime:
        """Return the UTC time of day."""
        return datetime.datetime.now(datetime.UTC)
