"""The event loop's passes, in which it reads sockets and handles signals."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair import clocks

_PASSES = 3
"""A signal, or data of a socket, is read in the first, handled in the second,
and what was woken by it has run before the third."""


class Signals:
    """When a signal to stop came at the earliest.

    ``signalled_at`` is the last time at which none had come yet, None before
    the first is handled.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.signalled_at: float | None = None
        self._clock = clock
        self._unsignalled_at = clock.monotonic()

    async def beat(self) -> None:
        """Note that the loop runs; to be called every few milliseconds.

        A signal that had come before is handled until this returns.
        """
        now = self._clock.monotonic()
        await settle()
        self._unsignalled_at = now

    def note(self) -> None:
        """Note a signal, which is handled now; the first one counts."""
        if self.signalled_at is None:
            self.signalled_at = self._unsignalled_at


async def settle() -> None:
    """Return once all that had arrived before the call has been handled."""
    for _ in range(_PASSES):
        await asyncio.sleep(0)
