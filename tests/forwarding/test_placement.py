"""Tests of placement by reported service times, through real daemons."""

from __future__ import annotations

import asyncio
import json

from sassafrasstair.forwarding import _work_wire
from tests.forwarding import place

A, B, C = place.HOSTS
REQUESTS = 8


async def _refuse(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )


async def _cluster(
    script: place.Script, by_objective: bool = True
) -> place.Cluster:
    """Start a client's VM A, and an instance of ``s`` on B."""
    cluster = place.Cluster()
    cluster.places_by_objective = by_objective
    cluster.policy(3, place.route("/s/", "s"))
    await cluster.upstream(B, "s", script)
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.wait_until_known(A, B)
    return cluster


async def _learn() -> None:
    cluster = await _cluster(place.answer)
    for _ in range(REQUESTS):
        assert (await cluster.call(A, "/s/x")).status == 200
    peer = cluster.daemons[A].daemon.routes.peers[f"i-{B}"]
    (route_time,) = peer.route_times.values()
    assert 0.0 < route_time.seconds < 1.0
    answer = await cluster.call(A, "/s/x")
    assert _work_wire.WORK_HEADER_LOWER not in answer.fields


def test_entrance_learns_the_time_of_a_route_from_answers() -> None:
    """The report reaches the entrance, and is not passed on to the client."""
    asyncio.run(asyncio.wait_for(_learn(), 20.0))


async def _off() -> None:
    cluster = await _cluster(place.answer, by_objective=False)
    for _ in range(REQUESTS):
        assert (await cluster.call(A, "/s/x")).status == 200
    peer = cluster.daemons[A].daemon.routes.peers[f"i-{B}"]
    assert peer.route_times == {}


def test_nothing_is_learned_unless_the_settings_ask_for_it() -> None:
    """Guards against daemons that place otherwise without being told to."""
    asyncio.run(asyncio.wait_for(_off(), 20.0))


async def _fail() -> None:
    cluster = await _cluster(_refuse)
    await cluster.call(A, "/s/x", deadline_ms=500)
    for running in cluster.daemons.values():
        running.daemon.journal.flush_lines()
    events = map(json.loads, b"".join(cluster.lines).splitlines())
    ended = [each for each in events if each["event"] == "attempt_ended"]
    assert ended
    assert all(0.0 <= each["expected"] < 0.1 for each in ended)


def test_failed_attempt_tells_what_was_expected_of_it() -> None:
    asyncio.run(asyncio.wait_for(_fail(), 20.0))
