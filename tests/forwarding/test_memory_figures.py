"""Tests of what a daemon's metrics tell of its memory."""

from __future__ import annotations

import asyncio

import pytest

from sassafrasstair import httpio
from tests.forwarding import place
from tests.forwarding import test_path
from tests import loopback

A, *_ = place.HOSTS
MEMORY_BYTES = 20_000_000


async def read_figures(cluster: place.Cluster, host: str) -> dict[str, float]:
    """Return the metrics without labels of a daemon, by name."""
    reader, writer = await asyncio.open_connection(host, cluster.ports[2])
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await place.read_answer(reader, 0.0)
    writer.close()
    found = {}
    for line in answer.body.decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name.startswith("sassafrasstair_") and "{" not in name:
            found[name.removeprefix("sassafrasstair_")] = float(value)
    return found


@pytest.mark.parametrize("number", [0, 1], ids=["metrics", "seeding"])
def test_connection_to_a_further_address_does_not_stay(number: int) -> None:
    """Half a head stayed in memory for as long as its client wanted."""

    async def test() -> None:
        cluster = place.Cluster()
        metrics, seeding = loopback.free_ports(2, place.HOSTS)
        cluster.extra_ports = metrics, seeding
        running = await cluster.daemon(A, "front")
        for listener in running.listeners:
            listener.limits = httpio.Limits(head_seconds=0.2)
        port = cluster.extra_ports[number]
        reader, writer = await asyncio.open_connection(A, port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: ")
        line = await asyncio.wait_for(reader.readline(), 2.0)
        assert line.startswith(b"HTTP/1.1 408 ")
        writer.close()

    test_path.run(test())


def test_metrics_tell_what_is_held_from_what_is_accounted_for() -> None:
    """An operator could not tell why a process ended for its memory."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.memory_bytes = MEMORY_BYTES
        await cluster.daemon(A, "front")
        found = await read_figures(cluster, A)
        assert found["memory_limit_bytes"] == MEMORY_BYTES
        assert found["resident_bytes"] > 0
        assert found["response_bytes_held"] == 0
        assert found["unread_bytes_held"] == 0
        assert found["body_bytes_held"] == 0

    test_path.run(test())
