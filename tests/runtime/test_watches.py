"""Watches notice a new bundle in time after the platform was away."""

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
"""A bundle must be in force everywhere within ``IN_FORCE_SECONDS``, of which
distribution from the watching daemons to all others takes at most
``SPREAD_SECONDS``."""
ANSWER_SECONDS = 0.005
KEY = "bundles/in-force"


@dataclasses.dataclass
class _Platform:
    """A platform with one prefix, as one client sees it.

    A watch that waits when the platform goes away is never answered, not
    even when the platform is back.
    """

    index: int = 1
    value: bytes = b"first"
    away: bool = False
    outages: int = 0
    calls: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def put(self, value: bytes = b"next") -> None:
        self.index += 1
        self.value = value
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, value: bytes) -> None:
        """Lose the last change; its index is given out again."""
        self.index -= 1
        self.value = value

    def leave(self) -> None:
        self.away = True
        self.outages += 1

    async def watch(
        self, prefix: str, index: int, wait: float
    ) -> configservice.Snapshot:
        self.calls += 1
        timeout = wait * (1 + _client.JITTER_SHARE) + _client.READ_SECONDS
        outages = self.outages
        try:
            async with asyncio.timeout(wait):
                while self.index <= index:
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.away or self.outages != outages:
            await asyncio.sleep(timeout)
            raise configservice.PlatformError(
                configservice.Reason.TIMEOUT, "watch"
            )
        return configservice.Snapshot(self.index, {KEY: self.value})

    async def read(self, prefix: str) -> configservice.Snapshot:
        await self._answer(_client.READ_SECONDS)
        return configservice.Snapshot(self.index, {KEY: self.value})

    async def read_promptly(self, prefix: str) -> configservice.Snapshot:
        await self._answer(_client.CHECK_SECONDS)
        return configservice.Snapshot(self.index, {KEY: self.value})

    async def read_index(self, prefix: str) -> int:
        await self._answer(_client.CHECK_SECONDS)
        return self.index

    async def _answer(self, timeout: float) -> None:
        self.calls += 1
        await asyncio.sleep(timeout if self.away else ANSWER_SECONDS)
        if self.away:
            raise configservice.PlatformError(
                configservice.Reason.TIMEOUT, "read"
            )


def _watch(
    platform: _Platform, noticed_at: dict[int, float]
) -> asyncio.Future[None]:
    """Start a watch; ``noticed_at`` receives the time of each new index."""
    loop = asyncio.get_running_loop()

    def handle_snapshot(_: object, snapshot: configservice.Snapshot) -> None:
        noticed_at.setdefault(snapshot.index, loop.time())

    return _start_watch(platform, handle_snapshot)


def _start_watch(
    platform: _Platform,
    handle_snapshot: typing.Callable[[object, configservice.Snapshot], None],
) -> asyncio.Future[None]:
    """Start a watch that passes on each snapshot."""
    loop = asyncio.get_running_loop()
    control = types.SimpleNamespace(
        client=platform,
        counts=types.SimpleNamespace(count_platform_read=lambda: None),
        clock=types.SimpleNamespace(monotonic=loop.time),
        platform_heard_at=None,
    )
    watching = _control._watch(
        typing.cast("_control.Control", control), "bundles/", handle_snapshot
    )
    return asyncio.ensure_future(watching)


async def _seconds_until_noticed(platform: _Platform, seconds: float) -> float:
    """Return the seconds until a bundle is noticed.

    The platform is away for ``seconds``, and the bundle is written when it
    is back.
    """
    loop = asyncio.get_running_loop()
    noticed_at: dict[int, float] = {}
    watch = _watch(platform, noticed_at)
    await asyncio.sleep(3.0)
    platform.put()
    await asyncio.sleep(0.1)
    platform.leave()
    await asyncio.sleep(seconds)
    platform.away = False
    platform.put()
    begun = loop.time()
    while platform.index not in noticed_at and loop.time() < begun + 60.0:
        await asyncio.sleep(0.01)
    watch.cancel()
    return loop.time() - begun


@pytest.mark.parametrize("seconds", [0.0, 1.0, 3.0, 8.6, 30.0, 100.0])
def test_bundle_after_an_outage_is_noticed_in_time(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A bundle written when the platform is back is noticed in time.

    A watch that was waiting when the platform went away is never answered.
    All daemons that watched since the same change waited for it as long as
    for a watch without changes: 40 s, and 7.5 s for its answer. Requests
    were then served under a bundle that was superseded 47 s before.
    """
    monkeypatch.setattr(_control, "_process_lost_watch", lambda *_: 1.0)

    async def test() -> None:
        elapsed = await _seconds_until_noticed(_Platform(), seconds)
        assert elapsed < IN_FORCE_SECONDS - SPREAD_SECONDS

    loops.run(test())


def test_idle_watch_calls_only_for_checks() -> None:
    """A watch without changes calls the platform only for its checks.

    The platform's rate limit is shared by all readers: 36 watches in a
    fleet of 1,300 daemons.
    """

    async def test() -> None:
        platform = _Platform()
        watch = _watch(platform, {})
        await asyncio.sleep(80.0)
        watch.cancel()
        assert platform.calls <= 80.0 / _watches.CHECK_SECONDS + 3

    loops.run(test())


@pytest.mark.parametrize("seconds", [0.0, 0.5, 1.0, 1.5, 1.9])
def test_bundle_with_the_index_of_a_lost_one_is_noticed_in_time(
    seconds: float,
) -> None:
    """The platform is restored, and a bundle is written before any check."""

    async def test() -> None:
        platform = _Platform()
        loop = asyncio.get_running_loop()
        values: list[bytes] = []
        noticed = asyncio.Event()

        def handle_snapshot(
            _: object, snapshot: configservice.Snapshot
        ) -> None:
            values.append(snapshot.values[KEY])
            if values[-1] == b"new":
                noticed.set()

        watching = _start_watch(platform, handle_snapshot)
        await asyncio.sleep(3.0)
        platform.put(b"lost")
        await asyncio.sleep(3.0 + seconds)
        platform.restore(b"first")
        platform.put(b"new")
        begun = loop.time()
        async with asyncio.timeout(60.0):
            await noticed.wait()
        watching.cancel()
        assert loop.time() - begun < IN_FORCE_SECONDS - SPREAD_SECONDS
        assert values == [b"first", b"lost", b"new"]

    loops.run(test())


async def _seconds_until_replaced(
    platform: _Platform, watchers: int, known_seconds: float
) -> float:
    """Return the seconds until a watcher notices a bundle of a known index.

    All watchers know the lost bundle for ``known_seconds``; its index is
    then that of another bundle of the same size.
    """
    loop = asyncio.get_running_loop()
    lost = platform.value
    noticed = asyncio.Event()

    def handle_snapshot(_: object, snapshot: configservice.Snapshot) -> None:
        if snapshot.values[KEY] == platform.value != lost:
            noticed.set()

    watches = [
        _start_watch(platform, handle_snapshot) for _ in range(watchers)
    ]
    await asyncio.sleep(3.0)
    platform.put(lost)
    await asyncio.sleep(known_seconds)
    platform.restore(lost)
    platform.put(bytes(len(lost)))
    begun = loop.time()
    async with asyncio.timeout(60.0):
        await noticed.wait()
    for watch in watches:
        watch.cancel()
    return loop.time() - begun


@pytest.mark.parametrize("known_seconds", [3.0, 4.1, 5.5, 20.2, 33.3, 61.7])
@pytest.mark.parametrize("size", [3_000, 60_000, 163_000, 1_000_000])
@pytest.mark.parametrize("watchers", [1, 12])
def test_large_bundle_with_the_index_of_a_lost_one_is_noticed_in_time(
    watchers: int, size: int, known_seconds: float
) -> None:
    """Large values were read too seldom: after up to 40 s, or by no check."""

    async def test() -> None:
        platform = _Platform(value=b"x" * size)
        elapsed = await _seconds_until_replaced(
            platform, watchers, known_seconds
        )
        assert elapsed < IN_FORCE_SECONDS - SPREAD_SECONDS

    loops.run(test())
