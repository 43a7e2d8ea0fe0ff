"""An event loop with virtual time that advances only while tasks wait."""

from __future__ import annotations

import asyncio
import datetime
import selectors
import typing


class _Selector(selectors.SelectSelector):
    """A selector that advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time stands still while code runs; it has no sockets."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class VirtualClock:
    """A clock for daemons that reads the loop's virtual time."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        return self._loop.time()

    def wall(self) -> datetime.datetime:
        since = datetime.timedelta(seconds=self._loop.time())
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC) + since


def run(work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test on its own loop, and cancel the tasks that remain."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        loop.run_until_complete(work)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
