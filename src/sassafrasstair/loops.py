"""The event loop's passes, in which it reads sockets and handles signals."""

from __future__ import annotations

import asyncio
import signal
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks

_PASSES = 3
"""Data of a socket is read in the first, handled in the second, and what was
woken by it has run before the third."""
_NUMERIC_HOST = "127.0.0.1"
"""Looked up without a resolver, but by the loop's threads."""


class Signals:
    """When a signal to stop came at the earliest.

    ``signalled_at`` is the last time at which none had come yet, None before
    the first is noted.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.signalled_at: float | None = None
        self._clock = clock
        self._beat_at = clock.monotonic()

    def beat(self) -> None:
        """Note that no signal has come yet."""
        self._beat_at = self._clock.monotonic()

    def note(self) -> None:
        """Note a signal as it comes; the first one counts."""
        if self.signalled_at is None:
            self.signalled_at = self._beat_at


def handle_signal(
    number: int,
    note: abc.Callable[[], None],
    handle: abc.Callable[[], None],
) -> None:
    """Call ``note`` as soon as a signal comes, and ``handle`` in the loop.

    The loop handles a signal behind the requests that arrived with it. So
    ``note`` interrupts whatever runs, and may only set a state.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(number, handle)
    # The loop is still woken, since it has set the wakeup descriptor.
    signal.signal(number, lambda _number, _frame: note())
    signal.siginterrupt(number, False)


async def confine_signals(
    numbers: abc.Collection[int],
    start_threads: abc.Callable[[], None] = lambda: None,
) -> None:
    """Let no other thread of the process handle these signals.

    One that comes while the process is stopped may go to any thread, which
    handles it when it gets a processor, while the loop runs on. A thread
    blocks what its starter does: those of the loop start with its first
    lookup, and those of libraries with ``start_threads``. To be called before
    either is used.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    try:
        await asyncio.get_running_loop().getaddrinfo(_NUMERIC_HOST, 0)
        start_threads()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


async def settle() -> None:
    """Return once all that had arrived before the call has been handled."""
    for _ in range(_PASSES):
        await asyncio.sleep(0)
