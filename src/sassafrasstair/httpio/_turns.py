"""Turns in which connections with costly input parse more of it.

One connection at a time has a turn, so that all such connections together
take a bounded share of the processor's time.
"""

from __future__ import annotations

import asyncio
import collections
import typing
import weakref

if typing.TYPE_CHECKING:
    from collections import abc

TURN_BYTES = 16 * 1024
"""Input parsed in one turn, which takes a few milliseconds at most."""
TURN_SECONDS = 0.02
"""Interval between two turns."""


class _Turns:
    """The connections that wait for a turn in one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = weakref.ref(loop)
        self._waiting: collections.deque[abc.Callable[[], None]] = (
            collections.deque()
        )

    def wait(self, proceed: abc.Callable[[], None]) -> None:
        """Call ``proceed`` in its turn."""
        self._waiting.append(proceed)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        loop = self._loop()
        if loop is not None:
            loop.call_later(TURN_SECONDS, self._run)

    def _run(self) -> None:
        proceed = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        proceed()


_TURNS: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _Turns] = (
    weakref.WeakKeyDictionary()
)


def wait_for_turn(proceed: abc.Callable[[], None]) -> None:
    """Call ``proceed`` once, after all that wait already."""
    loop = asyncio.get_running_loop()
    turns = _TURNS.get(loop)
    if turns is None:
        turns = _TURNS[loop] = _Turns(loop)
    turns.wait(proceed)
