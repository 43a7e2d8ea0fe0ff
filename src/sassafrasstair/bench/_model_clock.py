"""The virtual clock: a heap of events."""

from __future__ import annotations

import heapq
import itertools
import typing

Event = tuple[float, int, typing.Callable[..., None], tuple[typing.Any, ...]]

Timeout = tuple[typing.Callable[..., None], tuple[typing.Any, ...]]
GRAIN_SECONDS = 0.01


class Timeline:
    """Events to come, and the time of the one under way."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._serial = itertools.count()
        self._timeouts: dict[int, list[Timeout]] = {}
        self.now = 0.0

    def at(
        self,
        when: float,
        action: typing.Callable[..., None],
        *args: typing.Any,
    ) -> None:
        """Plan a call of ``action`` with ``args``."""
        event = (when, next(self._serial), action, args)
        heapq.heappush(self._events, event)

    def time_out(
        self,
        when: float,
        action: typing.Callable[..., None],
        *args: typing.Any,
    ) -> None:
        """Plan a call at the end of the grain of time that holds ``when``.

        Most timeouts are for nothing: kept out of the heap, they don't
        make every other event dearer.
        """
        grain = int(when / GRAIN_SECONDS) + 1
        timeouts = self._timeouts.get(grain)
        if timeouts is None:
            timeouts = self._timeouts[grain] = []
            self.at(grain * GRAIN_SECONDS, self._pass_grain, grain)
        timeouts.append((action, args))

    def _pass_grain(self, grain: int) -> None:
        for action, args in self._timeouts.pop(grain):
            action(*args)

    def run(self, until: float) -> None:
        """Run the events up to and including ``until``."""
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(events)
            action(*args)
        self.now = until
