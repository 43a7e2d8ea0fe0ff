"""Requests that an instance's daemon can't read have not run."""

from __future__ import annotations

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, _ = place.HOSTS
SMALL_MEMORY = 1_000_000
BODY = b"x" * 400_000


@pytest.mark.parametrize("idempotent", [False, True])
def test_request_without_memory_at_its_peer_is_refused(
    idempotent: bool,
) -> None:
    """The refusal told nothing, and counted as a request that may have run."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/u/", "s", idempotent))
        await cluster.upstream(B, "s")
        await cluster.daemon(A, "front")
        cluster.memory_bytes = SMALL_MEMORY
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        got = await cluster.call(A, "/u/", "POST", BODY)
        assert (got.status, cluster.upstreams[B].got) == (503, [])

    test_path.run(test())


def test_request_with_fields_that_its_peer_cannot_decode_is_refused() -> None:
    """An instance's id with a space is one: fields are separated by them."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/u/", "s", False))
        cluster.put_instance("an id", B, "s")
        upstream = place.Upstream(place.answer)
        await upstream.open(B, cluster.ports[3])
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        got = await cluster.call(A, "/u/", "POST")
        assert (got.status, upstream.got) == (503, [])

    test_path.run(test())
