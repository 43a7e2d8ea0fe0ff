from __future__ import annotations

import asyncio
import typing

import httpx
import pytest

from sassafrasstair import configservice
from sassafrasstair.standins import _platform
from sassafrasstair.standins import _serving

if typing.TYPE_CHECKING:
    from collections import abc

KEY = configservice.BUNDLE_IN_FORCE_KEY
PREFIX = configservice.BUNDLES_PREFIX
WAIT_SECONDS = 5.0


class Pair(typing.NamedTuple):
    client: configservice.Client
    control: httpx.AsyncClient

    async def publish(self, key: str, value: bytes) -> None:
        answer = await self.control.put(f"/keys/{key}", content=value)
        answer.raise_for_status()

    async def until_waiting(self) -> None:
        while not (await self.control.get("/counts")).json()["waiting"]:
            await asyncio.sleep(0.005)


def _run(
    story: abc.Callable[[Pair], abc.Coroutine[typing.Any, typing.Any, None]],
    port: abc.Callable[[], int],
) -> None:
    async def run() -> None:
        listen, control = f"127.0.0.1:{port()}", f"127.0.0.1:{port()}"
        state = _platform.Platform()
        readers = _serving.Listener(_platform.readers_app(state), listen)
        controls = _serving.Listener(
            _platform.control_app(state, readers), control
        )
        await readers.start()
        await controls.start()
        client = configservice.open_client([f"http://{listen}"])
        http = httpx.AsyncClient(base_url=f"http://{control}")
        async with asyncio.timeout(20), http:
            await story(Pair(client, http))
        await client.close()
        await readers.stop(cut=True)
        await controls.stop(cut=True)

    asyncio.run(run())


def test_watch_returns_on_change_alone(
    free_port: abc.Callable[[], int],
) -> None:
    async def story(pair: Pair) -> None:
        first = await pair.client.read(PREFIX)
        assert first.values == {}
        watch = asyncio.create_task(
            pair.client.watch(PREFIX, first.index, WAIT_SECONDS)
        )
        await pair.until_waiting()
        await pair.publish(configservice.VMS_KEY, b"[]")
        await pair.publish(KEY, b"one")
        second = await watch
        assert second.values == {KEY: b"one"}
        counts = (await pair.control.get("/counts")).json()
        assert (counts["calls"], counts["waiting"]) == (2, 0)

    _run(story, free_port)


def test_stale_shows_the_older_value_and_index(
    free_port: abc.Callable[[], int],
) -> None:
    async def story(pair: Pair) -> None:
        await pair.publish(KEY, b"one")
        await pair.publish(KEY, b"two")
        new = await pair.client.read(PREFIX)
        await pair.control.post("/stale", params={"back": 1})
        old = await pair.client.watch(PREFIX, new.index, 0.05)
        assert old == configservice.Snapshot(0, {KEY: b"one"})
        await pair.control.post("/back")
        assert await pair.client.read(PREFIX) == new

    _run(story, free_port)


def test_restored_platform_gives_indexes_out_again(
    free_port: abc.Callable[[], int],
) -> None:
    async def story(pair: Pair) -> None:
        await pair.publish(KEY, b"one")
        await pair.publish(KEY, b"two")
        lost = await pair.client.read(PREFIX)
        await pair.control.post("/restore", params={"back": 1})
        old = await pair.client.watch(PREFIX, lost.index, 0.05)
        assert old == configservice.Snapshot(0, {KEY: b"one"})
        await pair.publish(KEY, b"three")
        again = configservice.Snapshot(lost.index, {KEY: b"three"})
        assert await pair.client.read(PREFIX) == again

    _run(story, free_port)


def test_index_is_read_without_the_values(
    free_port: abc.Callable[[], int],
) -> None:
    async def story(pair: Pair) -> None:
        await pair.publish(KEY, b"one")
        held = await pair.client.read(PREFIX)
        assert await pair.client.read_index(PREFIX) == held.index
        await pair.publish(KEY, b"two")
        assert await pair.client.read_index(PREFIX) > held.index

    _run(story, free_port)


def test_down_cuts_watches_and_refuses(
    free_port: abc.Callable[[], int],
) -> None:
    async def story(pair: Pair) -> None:
        await pair.publish(KEY, b"one")
        now = await pair.client.read(PREFIX)
        watch = asyncio.create_task(
            pair.client.watch(PREFIX, now.index, WAIT_SECONDS)
        )
        await pair.until_waiting()
        await pair.control.post("/down")
        with pytest.raises(configservice.PlatformError):
            await watch
        with pytest.raises(configservice.PlatformError) as caught:
            await pair.client.read(PREFIX)
        assert caught.value.reason is configservice.Reason.UNREACHABLE
        await pair.control.post("/back")
        assert (await pair.client.read(PREFIX)).values == {KEY: b"one"}

    _run(story, free_port)


def test_list_written_before_a_newer_one_is_not_shown_after_it(
    free_port: abc.Callable[[], int],
) -> None:
    """A reader sees an older VM list after a newer one.

    A list is published under a long lag, then the lag is made shorter and
    the next list published, so the first one comes up last.
    """

    async def story(pair: Pair) -> None:
        await pair.control.post("/lag", params={"ms": 100})
        await pair.publish(configservice.VMS_KEY, b"[1]")
        await pair.control.post("/lag", params={"ms": 1})
        await pair.publish(configservice.VMS_KEY, b"[2]")
        seen = await pair.client.watch(configservice.VMS_KEY, 1, WAIT_SECONDS)
        assert seen.values == {configservice.VMS_KEY: b"[2]"}
        late = await pair.client.watch(configservice.VMS_KEY, seen.index, 0.3)
        assert late == seen

    _run(story, free_port)
