"""Tests of a daemon that stood still, and runs again."""

from __future__ import annotations

import asyncio
import os
import time
import typing

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.forwarding import _daemon
from tests.forwarding import place

A, B, _ = place.HOSTS
IDLE_SECONDS = 0.6


def _miss_events_once(loop: asyncio.AbstractEventLoop) -> None:
    """Let the next pass of the loop see timers only.

    So does the first one after a process has been stopped and continued.
    """
    selector = typing.cast("typing.Any", loop)._selector
    select = selector.select

    def miss(timeout: float | None = None) -> list[object]:
        selector.select = select
        return []

    selector.select = miss


@pytest.mark.parametrize("seconds", [0.8, 1.5])
def test_request_that_waits_unread_is_not_closed_with_its_idle_connection(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection had been idle for too long by the time it was read."""
    limits = policies.ClientLimits(4096, 1_000_000, 2.0, IDLE_SECONDS)
    monkeypatch.setattr(place, "LIMITS", limits)
    monkeypatch.setattr(_daemon, "SWEEP_TICKS", 1)

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(1, place.route("/s/", "s", timeout=5.0))
        await cluster.upstream(B, "s")
        for host, service in ((A, "front"), (B, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B)
        reader, writer = await asyncio.open_connection(A, cluster.ports[0])
        _, head = cluster.request("/s/")
        writer.write(head)
        assert (await place.read_answer(reader, 0.0)).status == 200
        _, head = cluster.request("/s/")
        os.write(writer.transport.get_extra_info("socket").fileno(), head)
        time.sleep(seconds)
        _miss_events_once(asyncio.get_running_loop())
        assert (await place.read_answer(reader, 0.0)).status == 200
        writer.close()

    asyncio.run(test())
