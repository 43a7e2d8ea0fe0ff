"""Tests of how a daemon gets policy and instances from store and peers."""

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
    """A daemon starts while the store is unreachable and has no peers.

    With a 404, clients would not try again; a 503 says when to do so.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.source.away.add(A)
        cluster.policy(1, place.route("/s/", "s"))
        await cluster.daemon(A, "front")
        got = await cluster.call(A, "/s/")
        assert got.status == 503
        assert float(got.fields[b"retry-after"]) > 0

    test_path.run(test())


def test_daemon_cut_off_from_the_store_gets_changes_from_peers() -> None:
    """The store refuses one machine while it serves the others.

    A new policy and the state of a leaving instance must still reach that
    machine's daemon, through its peers.
    """

    async def test() -> None:
        cluster = await test_path._world()
        await cluster.upstream(C, "s")
        await cluster.daemon(C, "s")
        await cluster.wait_until_known(A, B, C)
        cluster.source.away.add(A)
        cluster.put_entry(B, "s", views.InstanceState.LEAVING)
        cluster.policy(4, place.route("/t/", "s"))
        await asyncio.wait_for(cluster.wait_until_known(A), 2.0)
        assert (await cluster.call(A, "/t/")).status == 200
        assert len(cluster.upstreams[B].got) == 0

    test_path.run(test())


def test_daemons_without_the_store_serve_on_and_deny_nothing() -> None:
    """A route that they do not know may be new: clients should come back."""

    async def test() -> None:
        cluster = await test_path._world()
        assert (await cluster.call(A, "/new/")).status == 404
        cluster.source.away = {A, B}
        cluster.source.changed.set()
        # They have lost the store for a second, and then for some time more.
        statuses: list[int] = []
        while len(statuses) < 10:
            await asyncio.sleep(0.1)
            assert (await cluster.call(A, "/s/", "POST")).status == 200
            unknown = await cluster.call(A, "/new/")
            if unknown.status != 404:
                statuses.append(unknown.status)
                assert float(unknown.fields[b"retry-after"]) > 0
        assert statuses == [503] * 10

    test_path.run(test())


def test_many_changes_cost_few_calls_to_the_store() -> None:
    """Many changes in quick succession must share a few watches.

    While all instances are cold, each updates its entry again and again. If
    each change ended the watch of each daemon, the calls to the store, which
    are charged, would multiply.
    """

    async def test() -> None:
        cluster = await test_path._world()
        before = cluster.source.watches
        for version in range(4, 44):
            cluster.policy(version, place.route("/s/", "s"))
            await asyncio.sleep(0.02)
        await cluster.wait_until_known(A, B)
        assert cluster.source.watches - before <= 10
        assert (await cluster.call(A, "/s/")).status == 200

    test_path.run(test())


def test_daemon_that_starts_without_the_store_polls_a_seed() -> None:
    async def test() -> None:
        cluster = await test_path._world()
        cluster.source.away.add(C)
        port = cluster.ports[1]
        cluster.seeds = (forwarding.Address(B, port),)
        await cluster.daemon(C, "front")
        await asyncio.wait_for(cluster.wait_until_known(C), 2.0)
        assert (await cluster.call(C, "/s/")).status == 200

    test_path.run(test())


def test_replaced_instance_gets_one_request() -> None:
    """An instance has restarted and its new entry is not known yet.

    Its answer to a request for the old id says that it is another instance.
    If daemons ignored that, each request to it would be refused until the old
    entry expires.
    """

    async def test() -> None:
        cluster = await test_path._world(test_path.other_instance)
        await cluster.daemon(C, "front")
        await cluster.wait_until_known(C)
        for host in (A, A, C, C):
            assert (await cluster.call(host, "/s/")).status == 503
        assert len(cluster.upstreams[B].got) == 1
        cluster.upstreams[B].script = place.answer
        cluster.put_instance("i-new", B, "s")
        await cluster.wait_until_known(A, B, C)
        assert (await cluster.call(A, "/s/")).status == 200

    test_path.run(test())


def test_unusable_item_is_logged_once_per_revision() -> None:
    """Another writer leaves an unusable entry, which each read returns.

    On-call engineers need one log line and the count in the metrics, not a
    line per read.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        daemon = (await cluster.daemon(A, "front")).daemon
        for revision in (7, 7, 8):
            item = forwarding.RefusedItem("servers/x", revision, "state")
            _learning.log_refused_items(daemon, [item])
        unreadable = forwarding.RefusedItem("", 0, "not_an_object")
        _learning.log_refused_items(daemon, [unreadable, unreadable])
        assert daemon.counters.refused_items == {
            "state": 2,
            "not_an_object": 2,
        }
        daemon.journal.flush_lines()
        lines = b"".join(cluster.lines)
        assert lines.count(b'"item_refused"') == 4
        assert b'"key": "servers/x"' in lines

    test_path.run(test())


def test_each_failed_call_to_the_store_is_logged() -> None:
    """When a change is late, the log must show which calls have failed.

    The event for a lost store is written only for the first failed call.
    """

    async def test() -> None:
        cluster = await test_path._world()
        cluster.source.away.update((A, B))
        cluster.policy(4, place.route("/s/", "s"))
        await asyncio.sleep(1.5)
        cluster.source.away.clear()
        await asyncio.wait_for(cluster.wait_until_known(A, B), 5.0)
        for daemon in cluster.daemons.values():
            daemon.daemon.journal.flush_lines()
        lines = [
            json.loads(line) for line in b"".join(cluster.lines).splitlines()
        ]
        failed = [
            entry for entry in lines if entry["event"] == "store_call_failed"
        ]
        assert len(failed) >= 2
        verbs = {entry["verb"] for entry in failed}
        assert verbs <= {"read", "watch", "check"}
        assert all(entry["waited"] >= 0.0 for entry in failed)
        back = [entry for entry in lines if entry["event"] == "store_back"]
        assert back
        assert all(entry["away"] > 0.0 for entry in back)

    test_path.run(test())


def test_operators_see_which_daemon_is_followed() -> None:
    """An outdated view makes requests fail; this shows why it is outdated."""

    async def test() -> None:
        cluster = await test_path._world()
        await cluster.upstream(C, "s")
        await cluster.daemon(C, "s")
        await cluster.wait_until_known(A, B, C)
        await asyncio.sleep(1.0)
        statuses = [await _feed_of(cluster, host) for host in (A, B, C)]
        parents = [status["parent"] for status in statuses]
        assert parents.count("store") == 1
        assert set(parents) - {"store"} <= {B, C}
        for status in statuses:
            assert status["revision"] == cluster.source.revision
            assert status["view_age"] < 2.0
            assert status["store_lost"] is None
            assert status["lost"] == []

    test_path.run(test())


async def _feed_of(cluster: place.Cluster, host: str) -> dict[str, typing.Any]:
    reader, writer = await asyncio.open_connection(host, cluster.ports[2])
    writer.write(b"GET /feed HTTP/1.1\r\nHost: x\r\n\r\n")
    got = await place.read_answer(reader, 0.0)
    writer.close()
    assert got.status == 200
    found: dict[str, typing.Any] = json.loads(got.body)
    return found
