"""Test that daemons agree on an allocator, whichever of them are away."""

from __future__ import annotations

import asyncio
import random

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import quotas
from sassafrasstair.forwarding import _shares
from sassafrasstair.forwarding import _tokens
from tests.fleets import demands
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
NAME = "c1"
RATE = 40.0
SERVED_LEAST = 0.95
SETTLE = 4.0
AGREE = 6.0
"""Seconds within which the daemons must agree again."""


def _fleet(count: int, domains: int, seed: int = 1) -> Fleet:
    return Fleet(
        count,
        domains,
        seed=seed,
        bound=2.5,
        customers=(demands.customer(NAME, RATE, RATE),),
        quota_rules=demands.RULES,
    )


async def _served_after(demand: demands.Demand, seconds: float) -> float:
    """Return the part of the requests that is served after some seconds."""
    await demand.run(seconds)
    since = asyncio.get_running_loop().time()
    await demand.run(10.0)
    return demand.admitted_rate(since) / demand.sent_rate(since)


@pytest.mark.parametrize("domains", [1, 4])
def test_domain_whose_electors_ended_serves_its_customers(
    domains: int,
) -> None:
    """Daemons without requests would not take the place of electors."""

    async def test() -> None:
        fleet = _fleet(12 * domains, domains)
        demand = demands.Demand(fleet, NAME)
        hosts = feeds.first_hosts(fleet.hosts_in_domain("d0"), 12)
        demand.spread(0.6 * RATE, hosts[-1:])
        await fleet.start()
        await demand.run(SETTLE)
        for host in hosts[: quotas.ELECTORS_MAX]:
            fleet.kill(host)
        assert await _served_after(demand, AGREE) >= SERVED_LEAST
        assert demand.most() <= demands.bound(RATE, RATE)

    loops.run(test())


@pytest.mark.parametrize("seed", range(4))
def test_daemons_agree_on_one_allocator_after_a_start(seed: int) -> None:
    """Daemons that start together chose allocators that did not meet.

    Shares could not move to the domain with all the requests.
    """

    async def test() -> None:
        fleet = _fleet(24, 4, seed)
        demand = demands.Demand(fleet, NAME, rng=random.Random(seed))
        demand.spread(0.6 * RATE, sorted(fleet.hosts_in_domain("d0")))
        await fleet.start()
        assert await _served_after(demand, SETTLE) >= SERVED_LEAST

    loops.run(test())


@pytest.mark.parametrize("seed", range(4))
def test_halves_of_all_domains_agree_again(seed: int) -> None:
    """Each half of a split fleet would keep its own allocators for good."""

    async def test() -> None:
        fleet = _fleet(24, 4, seed)
        demand = demands.Demand(fleet, NAME, rng=random.Random(seed))
        demand.spread(5.0 * RATE, fleet.hosts)
        await fleet.start()
        await demand.run(SETTLE)
        fleet.partition(set(fleet.hosts[::2]))
        await demand.run(8.0)
        fleet.network.blocked_links.clear()
        demand.spread(0.6 * RATE, sorted(fleet.hosts_in_domain("d0")))
        assert await _served_after(demand, AGREE) >= SERVED_LEAST
        assert demand.most() <= demands.bound(RATE, RATE)

    loops.run(test())


def test_allocator_that_nobody_asks_names_the_one_in_use() -> None:
    """Two allocators would go on with updates to others that nobody asks.

    Neither would learn the claims of the other, and no share could move.
    """

    async def test() -> None:
        fleet = _fleet(24, 4)
        demand = demands.Demand(fleet, NAME)
        demand.spread(0.6 * RATE, sorted(fleet.hosts_in_domain("d0")))
        await fleet.start()
        await demand.run(SETTLE)
        now = asyncio.get_running_loop().time()
        used: dict[str, _tokens.Allocation] = {}
        unused: dict[str, str] = {}
        for host, daemon in fleet.daemons.items():
            domain = daemon.settings.failure_domain
            if daemon.allocation is None:
                unused[domain] = host
                continue
            if not daemon.allocation.allocator.shares.adopting:
                used[domain] = daemon.allocation
        for host in unused.values():
            _shares.activate(fleet.daemons[host], now)
        for domain, allocation in used.items():
            allocation.peer_allocators = {
                other: unused[other] for other in unused if other != domain
            }
        demand.spread(0.6 * RATE, sorted(fleet.hosts_in_domain("d1")))
        assert await _served_after(demand, AGREE) >= SERVED_LEAST

    loops.run(test())
