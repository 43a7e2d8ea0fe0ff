"""Tests of what an upstream says of itself in its answers."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import typing

import pytest

from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _wire
from tests.forwarding import place
from tests import notices

if typing.TYPE_CHECKING:
    from sassafrasstair import httpio

A, B, C = place.HOSTS
REQUESTS = 10
LOOPBACK_SOURCE = "127.0.0.1"
"""Where connections between the cluster's daemons come from."""


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(test, 20.0))


def events(cluster: place.Cluster, name: str) -> list[dict[str, object]]:
    """Return the lines of an event in the cluster's log."""
    for running in cluster.daemons.values():
        running.daemon.journal.flush_lines()
    lines = b"".join(cluster.lines).splitlines()
    found = [json.loads(line) for line in lines]
    return [each for each in found if each.get("event") == name]


def saying(fields: httpio.Fields) -> place.Script:
    """Return the script of an instance that adds fields to its answers."""

    async def say(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        lines = b"".join(b"%s: %s\r\n" % field for field in fields)
        whole = place.signed(got, b"whole")
        writer.write(whole.replace(b"X-Signature", lines + b"X-Signature"))

    return say


async def start(
    script: place.Script, spare: place.Script = place.answer
) -> place.Cluster:
    """Return a cluster of an entrance A and two instances, on B and C."""
    cluster = place.Cluster()
    cluster.policy(3, place.route("/s/", "s"))
    await cluster.upstream(B, "s", script)
    await cluster.upstream(C, "s", spare)
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.daemon(C, "s")
    await cluster.wait_until_known(A, B, C)
    return cluster


async def call_until_reached(cluster: place.Cluster, host: str) -> None:
    """Send requests at A until the instance on ``host`` has answered one."""
    while not cluster.upstreams[host].got:
        assert (await cluster.call(A, "/s/")).status == 200


@pytest.mark.parametrize(
    "fields",
    [
        *notices.leaving_fields(b"X-Leaving").values(),
        [(b"X-Limit", b"many"), (b"X-Leaving", b"1")],
        [(b"X-Limit", b"40 "), (b"X-Limit", b"30"), (b"X-Leaving", b"1")],
    ],
    ids=[
        *notices.leaving_fields(b"X-Leaving"),
        "beside_an_unreadable_limit",
        "beside_two_limits",
    ],
)
def test_leaving_is_heeded_however_the_header_is_written(
    fields: httpio.Fields,
) -> None:
    """Requests went on to an instance whose header was not understood."""

    async def test() -> None:
        cluster = await start(saying(fields))
        await call_until_reached(cluster, B)
        reached = len(cluster.upstreams[B].got)
        for _ in range(REQUESTS):
            assert (await cluster.call(A, "/s/")).status == 200
        assert len(cluster.upstreams[B].got) == reached

    run(test())


def test_instance_that_left_gets_nothing_from_a_heedless_entrance() -> None:
    """An entrance of an earlier version doesn't know the header."""

    async def test() -> None:
        cluster = await start(saying([(b"X-Leaving", b"1")]))
        entrance = cluster.daemons[A].daemon
        entrance.header_keys = dataclasses.replace(
            entrance.header_keys, leaving=b"x-unknown"
        )
        await call_until_reached(cluster, B)
        callee = cluster.daemons[B].daemon
        for guard in callee.guards.values():
            guard.said_to_leave_at -= callee.settings.bounds.drain_seconds
        reached = len(cluster.upstreams[B].got)
        for _ in range(REQUESTS):
            assert (await cluster.call(A, "/s/")).status == 200
        assert len(cluster.upstreams[B].got) == reached

    run(test())


def test_restarted_instance_is_not_taken_for_the_run_that_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its own daemon learned of the restart later than the entrance."""
    fields = [(b"X-Leaving", b"1")]

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        await cluster.upstream(B, "s", saying(fields))
        cluster.put_instance("i", B, "s", born=1)
        cluster.source.remove(f"i-{B}")
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        assert (await cluster.call(A, "/s/")).status == 200
        callee = cluster.daemons[B].daemon
        for guard in callee.guards.values():
            guard.said_to_leave_at -= callee.settings.bounds.drain_seconds
        fields.clear()
        behind = callee.view.revision
        cluster.source.away.add(B)
        monkeypatch.setattr(_learning, "take_delta", lambda *told: False)
        cluster.put_instance("i", B, "s", born=2)
        await cluster.wait_until_known(A)
        assert callee.view.revision == behind
        for _ in range(REQUESTS):
            assert (await cluster.call(A, "/s/")).status == 200
        assert callee.view.revision == behind

    run(test())


@pytest.mark.parametrize("value", [b"yes", b"", b"10", b"x" * 300])
def test_leaving_that_cannot_be_read_is_logged(value: bytes) -> None:
    """Nothing else shows why requests still reach such an instance."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        await cluster.upstream(B, "s", saying([(b"X-Leaving", value)]))
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        assert (await cluster.call(A, "/s/")).status == 200
        found = events(cluster, "notice_malformed")
        assert {each["reason"] for each in found} == {"upstream", B}
        for each in found:
            assert "leaving" in str(each["error"])
            assert len(str(each["error"])) < 100

    run(test())


def test_requests_after_leaving_name_their_entrance() -> None:
    """The instance's own daemon sees which entrance does not heed it."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        await cluster.upstream(B, "s", saying([(b"X-Leaving", b"1")]))
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.daemon(C, "front")
        await cluster.wait_until_known(A, B)
        await cluster.wait_until_known(C, B)
        assert (await cluster.call(A, "/s/")).status == 200
        guards = cluster.daemons[B].daemon.guards.values()
        drain = cluster.daemons[B].daemon.settings.bounds.drain_seconds
        for guard in guards:
            guard.said_to_leave_at -= drain
        assert events(cluster, "request_after_leaving") == []
        await cluster.call(C, "/s/")
        (found,) = events(cluster, "request_after_leaving")
        assert found["reason"] == LOOPBACK_SOURCE
        assert drain <= typing.cast("float", found["said_before"]) < 2 * drain

    run(test())


def test_each_change_of_a_notice_is_logged_once() -> None:
    """On-call must see from when on an instance named which limit."""
    fields = [b"X-Limit: 5\r\n", b"X-Limit: 5\r\n", b"", b"X-Leaving: 1\r\n"]

    async def say(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        whole = place.signed(got, b"whole")
        writer.write(whole.replace(b"X-Signature", fields[0] + b"X-Signature"))
        fields.pop(0)

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        await cluster.upstream(B, "s", say)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        while fields:
            assert (await cluster.call(B, "/s/")).status == 200
        cluster.daemons[B].daemon.journal.flush_lines()
        lines = [
            json.loads(line)
            for line in b"".join(cluster.lines).splitlines()
            if b"instance_rate_limit" in line or b"says_leaving" in line
        ]
        told = [
            (line["event"], line.get("per_second"), line.get("before"))
            for line in lines
        ]
        assert told == [
            ("instance_rate_limit", 5.0, "none"),
            ("instance_rate_limit", "none", 5.0),
            ("instance_says_leaving", None, None),
        ]

    run(test())


def test_notice_of_a_daemon_that_cannot_be_read_loses_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The whole message was refused, and the request taken for lost."""
    unreadable = [(_wire.RATE_LIMIT_HEADER, b"many")]
    monkeypatch.setattr(_wire, "notice_fields", lambda notice: unreadable)

    async def refuse(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        whole = place.signed(got, b"", b"503 Busy")
        writer.write(whole.replace(b"X-Signature", b"X-Not-Run"))

    async def test() -> None:
        cluster = await start(refuse)
        cluster.policy(4, place.route("/s/", "s", idempotent=False))
        await cluster.wait_until_known(A, B, C)
        for _ in range(REQUESTS):
            assert (await cluster.call(A, "/s/", "POST")).status == 200
        assert cluster.upstreams[B].got
        assert events(cluster, "peer_malformed")

    run(test())
