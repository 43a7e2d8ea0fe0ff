"""Tests of what an upstream says of itself in its answers."""

from __future__ import annotations

import asyncio
import json
import typing

from tests.forwarding import place

A, B, C = place.HOSTS


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(test, 20.0))


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
