"""Requests for a service some of whose entries name addresses of nobody."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
ODD_ENTRIES = 30
REQUESTS = 20
TIMEOUT = 8.0
"""Time enough to try all entries, on a busy machine too."""


async def _world() -> place.Cluster:
    """Start two sound instances, on A and on B."""
    cluster = place.Cluster()
    cluster.policy(
        3,
        place.route("/s/", "s", True, TIMEOUT),
        place.route("/u/", "s", False, TIMEOUT),
    )
    for host in (A, B):
        await cluster.upstream(host, "s")
        await cluster.daemon(host, "s")
    await cluster.daemon(C, "front")
    await cluster.wait_until_known(A, B, C)
    return cluster


@pytest.mark.parametrize("path", ["/s/", "/u/"])
@pytest.mark.parametrize("host", [A, C], ids=["instance", "client"])
def test_requests_find_the_sound_instances_among_odd_entries(
    host: str, path: str
) -> None:
    """Requests got 503 at once, though nothing of them had been sent.

    Another writer's entries name addresses where no daemon listens.
    """

    async def test() -> None:
        cluster = await _world()
        for number in range(ODD_ENTRIES):
            cluster.put_instance(f"i-odd-{number}", f"127.0.1.{number}", "s")
        await cluster.wait_until_known(host)
        answers = await asyncio.gather(
            *(cluster.call(host, path) for _ in range(REQUESTS))
        )
        assert {answer.status for answer in answers} == {200}
        got = [len(cluster.upstreams[each].got) for each in (A, B)]
        assert sum(got) == REQUESTS

    test_path.run(test())
