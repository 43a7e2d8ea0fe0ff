"""Tests of what a stopping daemon starts for requests of other daemons."""

from __future__ import annotations

import asyncio

from tests.forwarding import place
from tests.forwarding import test_path

A, B, _ = place.HOSTS
GRACE = 2.0
OBJECTIVE = 4.0


def test_run_that_cannot_be_expected_to_end_is_refused() -> None:
    """A route without answers counted as quick, and its run was cut."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = GRACE
        route = place.route("/s/", "s", False, 5.0, objective=OBJECTIVE)
        cluster.policy(3, route)
        await cluster.upstream(A, "s", test_path.hang)
        await cluster.daemon(A, "s")
        await cluster.daemon(B, "front")
        await cluster.wait_until_known(A, B)
        stopped = asyncio.ensure_future(cluster.stop(A))
        await asyncio.sleep(0.1)
        answer = await cluster.call(B, "/s/", "POST")
        assert (answer.status, cluster.upstreams[A].got) == (503, [])
        await stopped

    test_path.run(test())
