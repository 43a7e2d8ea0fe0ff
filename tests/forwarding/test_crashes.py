"""Instances that crash, and the requests that ran there."""

from __future__ import annotations

import asyncio
import json
import typing

from tests.forwarding import place

A, B, C = place.HOSTS


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in a loop of its own, with an end in any case."""
    asyncio.run(asyncio.wait_for(test, 20.0))


def events(world: place.Cluster, name: str) -> list[dict[str, typing.Any]]:
    """Return the lines of one event."""
    for running in world.daemons.values():
        running.daemon.journal.flush_lines()
    lines = b"".join(world.lines).splitlines()
    found = [json.loads(line) for line in lines]
    return [line for line in found if line["event"] == name]


async def _world(idempotent: bool = True) -> place.Cluster:
    """Return a client's VM A, and instances of ``s`` on B and C."""
    world = place.Cluster()
    world.policy(3, place.route("/s/", "s", idempotent))
    await world.upstream(B, "s")
    await world.upstream(C, "s")
    await world.daemon(A, "front")
    await world.daemon(B, "s")
    await world.daemon(C, "s")
    await world.wait_until_known(A, B, C)
    return world


def crash_on(world: place.Cluster, path: str, seconds: float = 0.03) -> None:
    """Let each instance crash that runs a request for the path."""

    def script_of(upstream: place.Upstream) -> place.Script:
        async def script(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(seconds)
            if got.line.split(b" ")[1] == path.encode():
                upstream.crash()
            else:
                await place.answer(got, writer)

        return script

    for upstream in world.upstreams.values():
        upstream.script = script_of(upstream)


def test_crash_is_logged_with_what_ran_there_named_by_content() -> None:
    """One request, sent twice under two ids, crashes both instances."""

    async def test() -> None:
        world = await _world(idempotent=False)
        crash_on(world, "/s/bad")
        for _ in range(2):
            got = await world.call(A, "/s/bad", "POST", b"body")
            assert got.status == 502
        lines = events(world, "instance_crashed")
        named = [line["requests"].split(":")[0] for line in lines]
        assert len(named) == 2
        assert named[0] == named[1]
        ended = events(world, "run_ended")
        assert [line["reason"] for line in ended] == ["upstream_crashed"] * 2

    run(test())


def test_broken_connection_is_no_crash() -> None:
    """The upstream drops one connection and takes the next."""

    async def test() -> None:
        world = await _world(idempotent=False)

        async def lose(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.abort()

        for upstream in world.upstreams.values():
            upstream.script = lose
        assert (await world.call(A, "/s/x", "POST", b"body")).status == 502
        assert events(world, "instance_crashed") == []
        (ended,) = events(world, "run_ended")
        assert ended["reason"] == "upstream_lost"

    run(test())
