"""Tests of instances that leave the body of a request unread for a while."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarding import place
from tests.forwarding import test_cut_answers
from tests.forwarding import test_path

A, B, _ = place.HOSTS
UNREAD_SECONDS = 2.5


async def _answer_late(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(UNREAD_SECONDS)
    writer.write(place.signed(got, b"whole"))


@pytest.mark.parametrize("host", [A, B])
@pytest.mark.parametrize(
    "body", [b"", test_cut_answers.UPLOAD], ids=["none", "long"]
)
def test_upload_that_waits_at_the_instance_is_answered(
    host: str, body: bytes
) -> None:
    """The kernel ended its connection while the instance read nothing."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/u/", "s", False, 4.0))
        upstream = test_cut_answers.EarlyUpstream(_answer_late)
        await upstream.open(B, cluster.ports[3])
        cluster.upstreams[B] = upstream
        cluster.put_entry(B, "s")
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        got = await cluster.call(host, "/u/", "POST", body)
        assert (got.status, got.body, len(upstream.got)) == (200, b"whole", 1)

    test_path.run(test())
