"""What a daemon knows of policy and instances, from store and peers."""

from __future__ import annotations

import asyncio
import json
import typing

from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.forwarding import _learning
from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS


def test_daemon_without_a_policy_answers_503() -> None:
    """A daemon starts while the store is away and nobody else is known.

    A 404 would tell the client never to come back; 503 says when.
    """

    async def test() -> None:
        world = place.Cluster()
        world.source.away.add(A)
        world.policy(1, place.route("/s/", "s"))
        await world.daemon(A, "front")
        got = await world.call(A, "/s/")
        assert got.status == 503
        assert float(got.fields[b"retry-after"]) > 0

    test_path.run(test())


def test_daemon_cut_off_from_the_store_gets_changes_from_peers() -> None:
    """The store turns one machine away while it serves the others.

    A new policy and an instance that leaves are in force there all the
    same, since its peers tell it.
    """

    async def test() -> None:
        world = await test_path._world()
        await world.upstream(C, "s")
        await world.daemon(C, "s")
        await world.wait_until_known(A, B, C)
        world.source.away.add(A)
        world.put_entry(B, "s", views.InstanceState.LEAVING)
        world.policy(4, place.route("/t/", "s"))
        await asyncio.wait_for(world.wait_until_known(A), 2.0)
        assert (await world.call(A, "/t/")).status == 200
        assert len(world.upstreams[B].got) == 0

    test_path.run(test())


def test_many_changes_cost_few_calls_to_the_store() -> None:
    """All instances are cold and each changes its entry again and again.

    Each change ended each daemon's watch, and the calls to the store, which
    are counted and paid for, multiplied.
    """

    async def test() -> None:
        world = await test_path._world()
        before = world.source.watches
        for version in range(4, 44):
            world.policy(version, place.route("/s/", "s"))
            await asyncio.sleep(0.02)
        await world.wait_until_known(A, B)
        assert world.source.watches - before <= 10
        assert (await world.call(A, "/s/")).status == 200

    test_path.run(test())


def test_daemon_that_starts_without_the_store_polls_a_seed() -> None:
    async def test() -> None:
        world = await test_path._world()
        world.source.away.add(C)
        port = world.ports[1]
        world.seeds = (forwarding.Address(B, port),)
        await world.daemon(C, "front")
        await asyncio.wait_for(world.wait_until_known(C), 2.0)
        assert (await world.call(C, "/s/")).status == 200

    test_path.run(test())


def test_replaced_instance_gets_one_request() -> None:
    """An instance has restarted and its new entry is not known yet.

    Its answer to the old id says that it is another one. Each request that
    went there still would be refused, until the old entry lapses.
    """

    async def test() -> None:
        world = await test_path._world(test_path.other_instance)
        await world.daemon(C, "front")
        await world.wait_until_known(C)
        for host in (A, A, C, C):
            assert (await world.call(host, "/s/")).status == 503
        assert len(world.upstreams[B].got) == 1
        world.upstreams[B].script = place.answer
        world.put_instance("i-new", B, "s")
        await world.wait_until_known(A, B, C)
        assert (await world.call(A, "/s/")).status == 200

    test_path.run(test())


def test_unusable_item_is_logged_once_per_revision() -> None:
    """Another writer leaves a bad entry, which comes with each reading.

    On-call engineers need the line once and the count in the metrics, not a
    line with each reading.
    """

    async def test() -> None:
        world = place.Cluster()
        world.policy(3, place.route("/s/", "s"))
        daemon = (await world.daemon(A, "front")).daemon
        for revision in (7, 7, 8):
            refusal = forwarding.RefusedItem("servers/x", revision, "state")
            _learning.log_refused_items(daemon, [refusal])
        unread = forwarding.RefusedItem("", 0, "not_an_object")
        _learning.log_refused_items(daemon, [unread, unread])
        assert daemon.counters.refused_items == {
            "state": 2,
            "not_an_object": 2,
        }
        daemon.journal.flush_lines()
        lines = b"".join(world.lines)
        assert lines.count(b'"item_refused"') == 4
        assert b'"key": "servers/x"' in lines

    test_path.run(test())


def test_each_failed_call_to_the_store_is_logged() -> None:
    """A change was late, and nobody could say at which call a reader waited.

    The line for a lost store is written for the first failed call alone.
    """

    async def test() -> None:
        world = await test_path._world()
        world.source.away.update((A, B))
        world.policy(4, place.route("/s/", "s"))
        await asyncio.sleep(1.5)
        world.source.away.clear()
        await asyncio.wait_for(world.wait_until_known(A, B), 5.0)
        for daemon in world.daemons.values():
            daemon.daemon.journal.flush_lines()
        lines = [
            json.loads(line) for line in b"".join(world.lines).splitlines()
        ]
        failed = [one for one in lines if one["event"] == "store_call_failed"]
        assert len(failed) >= 2
        verbs = {one["verb"] for one in failed}
        assert verbs <= {"read", "watch", "check"}
        assert all(one["waited"] >= 0.0 for one in failed)
        back = [one for one in lines if one["event"] == "store_back"]
        assert back
        assert all(one["away"] > 0.0 for one in back)

    test_path.run(test())


def test_operators_see_which_daemon_is_followed() -> None:
    """A request failed by an old view; why was the daemon behind."""

    async def test() -> None:
        world = await test_path._world()
        await world.upstream(C, "s")
        await world.daemon(C, "s")
        await world.wait_until_known(A, B, C)
        await asyncio.sleep(1.0)
        told = [await _feed_of(world, host) for host in (A, B, C)]
        parents = [each["parent"] for each in told]
        assert parents.count("store") == 1
        assert set(parents) - {"store"} <= {B, C}
        for each in told:
            assert each["revision"] == world.source.revision
            assert each["view_age"] < 2.0
            assert each["store_lost"] is None
            assert each["lost"] == []

    test_path.run(test())


async def _feed_of(world: place.Cluster, host: str) -> dict[str, typing.Any]:
    reader, writer = await asyncio.open_connection(host, world.ports[2])
    writer.write(b"GET /feed HTTP/1.1\r\nHost: x\r\n\r\n")
    got = await place._read_answer(reader, 0.0)
    writer.close()
    assert got.status == 200
    found: dict[str, typing.Any] = json.loads(got.body)
    return found
