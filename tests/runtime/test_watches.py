"""A bundle is heard of in time after the platform was away."""

from __future__ import annotations

import asyncio
import dataclasses
import types
import typing

import pytest

from sassafrasstair import configservice
from sassafrasstair.configservice import _client
from sassafrasstair.runtime import _control
from sassafrasstair.runtime import _watches
from tests.fleets import loops

IN_FORCE_SECONDS = 6.0
SPREAD_SECONDS = 2.1
"""A bundle is in force everywhere within the first; the second of it is what
it takes from the daemons that watch to all others, at its worst."""
ANSWER_SECONDS = 0.005


@dataclasses.dataclass
class _Platform:
    """A service of one prefix, as one client sees it.

    What waits when it goes away gets no answer, also when it is back.
    """

    index: int = 1
    away: bool = False
    absences: int = 0
    calls: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def put(self) -> None:
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def leave(self) -> None:
        self.away = True
        self.absences += 1

    async def watch(
        self, prefix: str, index: int, wait: float
    ) -> configservice.Snapshot:
        self.calls += 1
        longest = wait * (1 + _client.JITTER_SHARE) + _client.READ_SECONDS
        absences = self.absences
        try:
            async with asyncio.timeout(wait):
                while self.index <= index:
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.away or self.absences != absences:
            await asyncio.sleep(longest)
            raise configservice.PlatformError(
                configservice.Reason.TIMEOUT, "watch"
            )
        return configservice.Snapshot(self.index, {})

    async def read(self, prefix: str) -> configservice.Snapshot:
        await self._answer(_client.READ_SECONDS)
        return configservice.Snapshot(self.index, {})

    async def read_index(self, prefix: str) -> int:
        await self._answer(_client.INDEX_SECONDS)
        return self.index

    async def _answer(self, longest: float) -> None:
        self.calls += 1
        await asyncio.sleep(longest if self.away else ANSWER_SECONDS)
        if self.away:
            raise configservice.PlatformError(
                configservice.Reason.TIMEOUT, "read"
            )


def _watch(
    platform: _Platform, heard: dict[int, float]
) -> asyncio.Future[None]:
    """Begin to watch; ``heard`` gets when each index came."""
    loop = asyncio.get_running_loop()

    def took(_: object, snapshot: configservice.Snapshot) -> None:
        heard.setdefault(snapshot.index, loop.time())

    control = types.SimpleNamespace(
        client=platform,
        counts=types.SimpleNamespace(platform_read=lambda: None),
        clock=types.SimpleNamespace(monotonic=loop.time),
        heard=None,
    )
    watched = _control._watch(
        typing.cast("_control.Control", control), "bundles/", took
    )
    return asyncio.ensure_future(watched)


async def _heard_after(platform: _Platform, seconds: float) -> float:
    """Return when a bundle is heard of that is written at the return."""
    loop = asyncio.get_running_loop()
    heard: dict[int, float] = {}
    watch = _watch(platform, heard)
    await asyncio.sleep(3.0)
    platform.put()
    await asyncio.sleep(0.1)
    platform.leave()
    await asyncio.sleep(seconds)
    platform.away = False
    platform.put()
    begun = loop.time()
    while platform.index not in heard and loop.time() < begun + 60.0:
        await asyncio.sleep(0.01)
    watch.cancel()
    return loop.time() - begun


@pytest.mark.parametrize("seconds", [0.0, 1.0, 3.0, 8.6, 30.0, 100.0])
def test_bundle_after_an_outage_is_noticed_in_time(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests are served by a bundle that was superseded 47 s before.

    The platform gave no answer for a while. What waited there then is never
    answered, and was waited for as long as one that just has no news: 40 s
    and 7.5 s for its answer, at all that watch since the same change.
    """
    monkeypatch.setattr(_control, "_failed", lambda *_: 1.0)

    async def test() -> None:
        taken = await _heard_after(_Platform(), seconds)
        assert taken < IN_FORCE_SECONDS - SPREAD_SECONDS

    loops.run(test())


def test_idle_watch_calls_only_for_checks() -> None:
    """The platform's rate is for all readers: 36 watches in 1,300 daemons."""

    async def test() -> None:
        platform = _Platform()
        watch = _watch(platform, {})
        await asyncio.sleep(80.0)
        watch.cancel()
        assert platform.calls <= 80.0 / _watches.CHECK_SECONDS + 3

    loops.run(test())
