"""Tests of admission by cost through real daemons."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarding import place

A, B, C = place.HOSTS
REQUESTS = 30
SERVICE_SECONDS = 0.05


async def _work(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(SERVICE_SECONDS)
    await place.answer(got, writer)


async def _ask(by_cost: bool) -> place.Cluster:
    """Ask an instance of ``s`` on B through A; it has few slots."""
    cluster = place.Cluster()
    cluster.admits_by_cost = by_cost
    cluster.policy(3, place.route("/s/", "s"))
    await cluster.upstream(B, "s", _work)
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.wait_until_known(A, B)
    for _ in range(4):
        calls = [cluster.call(A, "/s/x") for _ in range(REQUESTS)]
        await asyncio.gather(*calls)
    return cluster


@pytest.mark.parametrize("by_cost", [False, True])
def test_costs_are_learned_only_where_the_settings_ask_for_it(
    by_cost: bool,
) -> None:
    """Guards against daemons that admit otherwise without being told to."""
    cluster = asyncio.run(asyncio.wait_for(_ask(by_cost), 30.0))
    allowances = cluster.daemons[A].daemon.allowances
    assert bool(allowances.kinds) is by_cost
    assert ("s" in allowances.rooms) is by_cost
    if by_cost:
        (by_service,) = allowances.slot_seconds.values()
        assert by_service["s"] > 0.5 * SERVICE_SECONDS
