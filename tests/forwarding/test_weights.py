"""Tests of routes whose requests are divided among services by weight."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import pytest

from sassafrasstair.decisions import policies
from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
REQUESTS = 100
SHARE_ERROR_MAX = 0.2


async def _wait_long(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(1.0)
    writer.write(place.signed(got, b"whole"))


@pytest.mark.parametrize("weight", [0.2, 0.5, 0.8])
@pytest.mark.parametrize(
    ("script", "idempotent"),
    [
        pytest.param(None, True, id="no_instance"),
        pytest.param(test_path.refuse, True, id="refuses"),
        pytest.param(test_path.lose, True, id="loses"),
        pytest.param(_wait_long, False, id="is_full"),
    ],
)
def test_what_one_service_cannot_serve_does_not_go_to_another(
    script: place.Script | None, idempotent: bool, weight: float
) -> None:
    """The other service would get more than its operator gave it."""

    async def test() -> None:
        cluster = place.Cluster()
        shares = policies.Share("s", weight), policies.Share("t", 1.0 - weight)
        route = place.route("/s/", "s", idempotent, objective=0.2)
        cluster.policy(3, dataclasses.replace(route, shares=shares))
        await cluster.upstream(B, "s", slots=REQUESTS)
        if script is not None:
            await cluster.upstream(C, "t", script, slots=1)
        for host, service in ((A, "front"), (B, "s"), (C, "t")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        calls = [cluster.call(A, "/s/", "POST") for _ in range(REQUESTS)]
        statuses = collections.Counter(
            got.status for got in await asyncio.gather(*calls)
        )
        received = len(cluster.upstreams[B].got)
        assert abs(received / REQUESTS - weight) < SHARE_ERROR_MAX
        assert set(statuses) <= {200, 502, 503}
        assert received <= statuses[200]

    test_path.run(test())
