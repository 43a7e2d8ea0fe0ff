"""An instance that starts again under the id that it had."""

from __future__ import annotations

import asyncio
import time
import typing

import pytest

from sassafrasstair.decisions import views
from tests.forwarding import place

A, B, C = place.HOSTS
AGO_MS = 60_000


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in a loop of its own, with an end in any case."""
    asyncio.run(asyncio.wait_for(test, 20.0))


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


async def _hang(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(60.0)


async def _world(idempotent: bool) -> place.Cluster:
    """Return a client's VM A, and an instance of one slot on B that hangs."""
    world = place.Cluster()
    world.policy(3, place.route("/s/", "s", idempotent, timeout=3.0))
    await world.upstream(B, "s", _hang, slots=1)
    world.put_instance(f"i-{B}", B, "s", slots=1, born=_now_ms() - AGO_MS)
    await world.daemon(A, "front")
    await world.daemon(B, "s")
    await world.daemon(C, "s")
    await world.wait_until_known(A, B, C)
    return world


async def _restart(world: place.Cluster) -> None:
    """Start B's instance again, and one on C that answers."""
    await world.upstream(C, "s")
    await world.wait_until_known(A, B, C)
    world.upstreams[B].script = place.answer
    world.put_instance(f"i-{B}", B, "s", slots=1, born=_now_ms())
    await world.wait_until_known(A, B, C)


@pytest.mark.parametrize(
    ("idempotent", "statuses"), [(True, [200, 200]), (False, [200, 502])]
)
def test_restart_under_the_same_id_ends_what_the_run_before_held(
    idempotent: bool, statuses: list[int]
) -> None:
    """An instance falls silent and starts again under its id.

    What had been handed to it waited for its deadline, and what waited for
    a slot behind it too. The first is lost: it goes elsewhere only if it
    may run twice. The second has not run and goes elsewhere.
    """

    async def test() -> None:
        world = await _world(idempotent)
        calls = [
            asyncio.ensure_future(world.call(A, "/s/", "POST"))
            for _ in range(2)
        ]
        while len(world.daemons[B].daemon.executions) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        await _restart(world)
        answers = await asyncio.gather(*calls)
        assert sorted(answer.status for answer in answers) == statuses
        assert all(answer.seconds < 2.0 for answer in answers)

    run(test())


def test_guard_and_entrance_know_nothing_of_the_run_before() -> None:
    """A run had become slow and its slots few; it ended, and starts anew.

    The next run under the id was judged by what the one before had shown.
    """

    async def test() -> None:
        world = await _world(True)
        instance = f"i-{B}"
        call = asyncio.ensure_future(world.call(A, "/s/"))
        while not world.daemons[B].daemon.executions:
            await asyncio.sleep(0.01)
        (before,) = world.daemons[B].daemon.guards.values()
        peers = world.daemons[A].daemon.routes.peers
        peers[instance].ejected = True
        peers[instance].service_seconds = 9.0
        await asyncio.sleep(0.3)
        await _restart(world)
        assert (await call).status == 200
        assert not peers[instance].ejected
        assert peers[instance].service_seconds < 1.0
        assert peers[instance].in_flight == 0
        answers = [await world.call(B, "/s/") for _ in range(20)]
        assert {answer.status for answer in answers} == {200}
        guards = world.daemons[B].daemon.guards
        assert before in guards.values()
        assert not before.running
        assert len(guards) == 2

    run(test())


@pytest.mark.parametrize("told_late", [False, True])
def test_start_that_is_told_first_now_is_no_restart(told_late: bool) -> None:
    """An entry changes, or tells its start where it had told none before.

    Taken for a restart, all that runs there would be given up.
    """

    async def test() -> None:
        world = await _world(True)
        key = f"i-{B}"
        born = views.born_at(world.daemons[A].daemon.view, key)
        if told_late:
            key = "untold"
            world.put_instance(key, B, "s", slots=1)
            await world.wait_until_known(A, B, C)
        call = asyncio.ensure_future(world.call(A, "/s/"))
        while not world.daemons[B].daemon.executions:
            await asyncio.sleep(0.01)
        guards = dict(world.daemons[B].daemon.guards)
        world.put_instance(key, B, "s", slots=2, born=born)
        await world.wait_until_known(A, B, C)
        await asyncio.sleep(0.2)
        assert len(world.daemons[B].daemon.executions) == 1
        assert not any(guard.leaving for guard in guards.values())
        call.cancel()

    run(test())
