"""The event loop's passes, in which it reads sockets and handles signals."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair import clocks

_PASSES = 3
"""A signal, or data of a socket, is read in the first, handled in the second,
and what was woken by it has run before the third."""
_BEATS = 3
"""The third last beat surely came before the signal."""


class Signals:
    """When a signal to stop came at the earliest.

    ``signalled_at`` is the last time at which none had come yet, None before
    the first is handled.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.signalled_at: float | None = None
        self._clock = clock
        self._beats = [clock.monotonic()] * _BEATS

    def beat(self) -> None:
        """Note that the loop runs, after another sleep of a few milliseconds.

        A signal is read in the pass after it came, and handled in the next
        one, in which one more beat can come first.
        """
        self._beats = [*self._beats[1:], self._clock.monotonic()]

    def note(self) -> None:
        """Note a signal, which is handled now; the first one counts."""
        if self.signalled_at is None:
            self.signalled_at = self._beats[0]


async def settle() -> None:
    """Return once all that had arrived before the call has been handled."""
    for _ in range(_PASSES):
        await asyncio.sleep(0)
