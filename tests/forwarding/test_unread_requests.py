"""Requests that an instance's daemon has not read whole have not run."""

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
