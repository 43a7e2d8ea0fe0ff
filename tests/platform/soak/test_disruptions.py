"""Tests of what counts as a disruption in a soak."""

from __future__ import annotations

import asyncio
import time
import typing

import pytest

from tests.platform.soak import disruptions
from tests.platform.soak import records

if typing.TYPE_CHECKING:
    import pathlib

HOST = "127.0.0.1"
LINKS = frozenset({disruptions.Kind.LINK_WAIT})


@pytest.mark.parametrize(("seconds", "disrupted"), [(0.7, True), (0.3, False)])
def test_link_is_disrupted_while_it_carries_nothing(
    seconds: float, disrupted: bool
) -> None:
    """A daemon behind such a link is out of touch for that time."""

    async def test() -> None:
        record = disruptions.Record()
        record.note_link_wait([HOST], seconds)
        now = asyncio.get_running_loop().time()
        since = now - 0.5 * seconds
        assert record.had([HOST], LINKS, since, now) is disrupted
        before = now - seconds - 0.1
        assert not record.had([HOST], LINKS, before, before)
        unplanned = disruptions.UNPLANNED
        assert not record.had([HOST], unplanned, since, now)

    asyncio.run(test())


def test_links_carry_nothing_while_the_process_stands_still(
    tmp_path: pathlib.Path,
) -> None:
    """The soak's process relays all links."""

    async def test() -> None:
        record = disruptions.Record()
        timers = asyncio.ensure_future(
            records.Timeline(tmp_path).watch_timers(
                lambda seconds: record.note_link_wait([HOST], seconds)
            )
        )
        await asyncio.sleep(2 * records.TIMER_SECONDS)
        began_at = asyncio.get_running_loop().time()
        time.sleep(0.8)
        until = asyncio.get_running_loop().time()
        await asyncio.sleep(2 * records.TIMER_SECONDS)
        timers.cancel()
        assert record.had([HOST], LINKS, began_at, until)

    asyncio.run(test())
