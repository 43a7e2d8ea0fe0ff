"""Test that quotas hold while daemons are paused, slow or half cut off."""

from __future__ import annotations

import random
import typing

import pytest

from sassafrasstair.decisions import feeds
from tests.fleets import demands
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
NAME = "c1"
RATE = 40.0
SETTLE = 4.0
PAUSES = (0.5, 4.0)
DELAYS = (0.05, 0.13, 0.3)
"""Added by each host on the way of a message, in seconds. An answer over two
hosts with the greater ones comes after its asker has given up."""


def _pause(fleet: Fleet, rng: random.Random) -> None:
    for host in rng.sample(fleet.hosts, rng.randint(1, 3)):
        fleet.pause(host, rng.uniform(*PAUSES))


def _slow_down(fleet: Fleet, rng: random.Random) -> None:
    for host in rng.sample(fleet.hosts, rng.randint(1, len(fleet.hosts))):
        fleet.network.extra_seconds[host] = rng.choice(DELAYS)


def _lose_answers(fleet: Fleet, rng: random.Random) -> None:
    silent = rng.choice(fleet.hosts)
    for host in rng.sample(fleet.hosts, 3):
        fleet.network.blocked_links.add((silent, host))


def _cut_off(fleet: Fleet, rng: random.Random) -> None:
    fleet.partition(set(rng.sample(fleet.hosts, 3)))


def _heal(fleet: Fleet, rng: random.Random) -> None:
    fleet.network.blocked_links.clear()
    fleet.network.extra_seconds.clear()


def _restart(fleet: Fleet, rng: random.Random) -> None:
    for host in rng.sample(fleet.hosts, 2):
        fleet.restart(host)


FAULTS: tuple[typing.Callable[[Fleet, random.Random], None], ...] = (
    _pause,
    _pause,
    _slow_down,
    _lose_answers,
    _cut_off,
    _heal,
    _restart,
)


def _fleet(count: int, domains: int, seed: int) -> Fleet:
    return Fleet(
        count,
        domains,
        seed=seed,
        bound=2.5,
        customers=(demands.customer(NAME, RATE, RATE),),
        quota_rules=demands.RULES,
    )


async def _play(seed: int, count: int = 6, domains: int = 1) -> demands.Demand:
    rng = random.Random(seed)
    fleet = _fleet(count, domains, seed)
    demand = demands.Demand(fleet, NAME, rng=random.Random(seed))
    demand.spread(5.0 * RATE, fleet.hosts)
    await fleet.start()
    await demand.run(SETTLE)
    for _ in range(rng.randint(3, 8)):
        rng.choice(FAULTS)(fleet, rng)
        hosts = rng.choice((fleet.hosts, rng.sample(fleet.hosts, 2)))
        demand.spread(5.0 * RATE, hosts)
        await demand.run(rng.choice((0.3, 1.0, 2.5)))
    await demand.run(3.0)
    return demand


@pytest.mark.parametrize("seed", range(16))
def test_quota_holds_whichever_daemons_are_late(seed: int) -> None:
    """Two allocators must not both hand out the whole limit."""

    async def test() -> None:
        demand = await _play(seed)
        assert demand.most() <= demands.bound(RATE, RATE)

    loops.run(test())


@pytest.mark.parametrize("seed", range(16))
def test_quota_holds_in_domains_that_are_split(seed: int) -> None:
    """A daemon that its domain has replaced must not hand out the share."""

    async def test() -> None:
        demand = await _play(seed, 12, 4)
        assert demand.most() <= demands.bound(RATE, RATE)

    loops.run(test())


@pytest.mark.parametrize("count", [1, 2])
def test_split_domain_hands_out_its_share_once(count: int) -> None:
    """An allocator that is cut off goes on beside the one that replaced it.

    ``count`` daemons of its domain are cut off with all others, and one of
    them is the allocator.
    """

    async def test() -> None:
        fleet = _fleet(12, 4, 1)
        demand = demands.Demand(fleet, NAME, rng=random.Random(1))
        demand.spread(5.0 * RATE, fleet.hosts)
        await fleet.start()
        await demand.run(SETTLE)
        hosts = feeds.reader_hosts(fleet.hosts_in_domain("d0"))
        demand.spread(5.0 * RATE, hosts)
        await demand.run(6.0)
        fleet.partition(set(hosts[:count]))
        await demand.run(14.0)
        assert demand.most() <= demands.bound(RATE, RATE)

    loops.run(test())
