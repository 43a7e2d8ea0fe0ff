"""Test that quotas hold across all daemons, and are served in full."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import feeds
from tests.fleets import demands
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
NAME = "c1"
SERVED_LEAST = 0.95
SERVED_LEAST_IN_CUT = 0.85
SETTLE = 4.0
REQUESTS = 150.0


def _fleet(
    rate: float, burst: float, count: int = 24, domains: int = 4
) -> Fleet:
    return Fleet(
        count,
        domains,
        bound=2.5,
        customers=(demands.customer(NAME, rate, burst),),
        quota_rules=demands.RULES,
    )


def _limit(fleet: Fleet, rate: float, burst: float) -> None:
    fleet.customers = (demands.customer(NAME, rate, burst),)
    fleet.publish_policy()


async def _settled(fleet: Fleet, demand: demands.Demand) -> float:
    """Start the fleet and its traffic; return the time when it has settled."""
    await fleet.start()
    await demand.run(SETTLE)
    return asyncio.get_running_loop().time()


Place = typing.Callable[[Fleet], list[str]]


def _everywhere(fleet: Fleet) -> list[str]:
    return fleet.hosts


def _one_domain(fleet: Fleet) -> list[str]:
    return sorted(fleet.hosts_in_domain("d1"))


def _one_daemon(fleet: Fleet) -> list[str]:
    return fleet.hosts[7:8]


def _two_daemons(fleet: Fleet) -> list[str]:
    return [fleet.hosts[1], fleet.hosts[-1]]


PLACES = (_everywhere, _one_domain, _one_daemon, _two_daemons)


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate", [2.0, 20.0, 200.0])
def test_customer_within_its_limit_is_served(
    rate: float, place: Place
) -> None:
    """Requests within a quota are admitted at whichever daemon they arrive."""

    async def test() -> None:
        fleet = _fleet(rate, rate)
        demand = demands.Demand(fleet, NAME)
        demand.spread(rate / 1.6, place(fleet))
        since = await _settled(fleet, demand)
        await demand.run(REQUESTS / rate + 10.0)
        asked = demand.sent_rate(since)
        assert demand.admitted_rate(since) >= SERVED_LEAST * min(rate, asked)

    loops.run(test())


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate", [2.0, 20.0, 200.0])
def test_customer_above_its_limit_gets_exactly_its_limit(
    rate: float, place: Place
) -> None:
    """A customer that sends far more than usual must not exceed its quota."""

    async def test() -> None:
        fleet = _fleet(rate, rate)
        demand = demands.Demand(fleet, NAME)
        demand.spread(rate / 1.6, place(fleet))
        await _settled(fleet, demand)
        demand.spread(7.5 * rate / 1.6, place(fleet))
        since = asyncio.get_running_loop().time()
        await demand.run(12.0)
        assert demand.admitted_rate(since) >= SERVED_LEAST * rate
        assert demand.most() <= demands.bound(rate, rate)

    loops.run(test())


def test_quota_holds_while_traffic_moves_each_second() -> None:
    """Daemons that traffic left and reached must not both spend the quota."""

    async def test() -> None:
        fleet = _fleet(50.0, 50.0)
        demand = demands.Demand(fleet, NAME)
        demand.spread(30.0, fleet.hosts)
        await _settled(fleet, demand)
        for step in range(16):
            demand.spread(200.0, [fleet.hosts[(7 * step) % 24]])
            await demand.run(1.0)
        assert demand.most() <= demands.bound(50.0, 50.0)

    loops.run(test())


def test_restarted_daemons_get_no_new_burst() -> None:
    """Half of the daemons restart at once and lose their state."""

    async def test() -> None:
        fleet = _fleet(50.0, 100.0)
        demand = demands.Demand(fleet, NAME)
        demand.spread(300.0, fleet.hosts)
        await _settled(fleet, demand)
        for _ in range(3):
            for host in fleet.hosts[::2]:
                fleet.restart(host)
            await demand.run(2.5)
        assert demand.most() <= demands.bound(50.0, 100.0)

    loops.run(test())


def test_customer_is_served_soon_after_half_of_the_daemons_stop() -> None:
    """Without the allocators among them, no daemon hands out tokens."""

    async def test() -> None:
        fleet = _fleet(50.0, 50.0)
        demand = demands.Demand(fleet, NAME)
        demand.spread(30.0, fleet.hosts[1::2])
        await _settled(fleet, demand)
        for host in fleet.hosts[::2]:
            fleet.kill(host)
        await demand.run(4.0)
        since = asyncio.get_running_loop().time()
        await demand.run(8.0)
        asked = demand.sent_rate(since)
        assert demand.admitted_rate(since) >= SERVED_LEAST * asked

    loops.run(test())


@pytest.mark.parametrize("rate", [20.0, 100.0])
def test_partitioned_domain_serves_its_part_of_the_quota(
    rate: float,
) -> None:
    """No side of a partition may hand out the whole quota, or none of it."""

    async def test() -> None:
        fleet = _fleet(rate, rate)
        demand = demands.Demand(fleet, NAME)
        demand.spread(rate / 1.6, fleet.hosts)
        await _settled(fleet, demand)
        fleet.partition(fleet.hosts_in_domain("d2"))
        since = asyncio.get_running_loop().time()
        await demand.run(15.0)
        asked = demand.sent_rate(since)
        assert demand.admitted_rate(since) >= SERVED_LEAST_IN_CUT * asked
        demand.spread(7.5 * rate, fleet.hosts)
        await demand.run(15.0)
        assert demand.most() <= demands.bound(rate, rate)

    loops.run(test())


def test_lower_limit_takes_effect_soon() -> None:
    """Shares of the former limit must not be spent after it is lowered."""

    async def test() -> None:
        fleet = _fleet(100.0, 100.0)
        demand = demands.Demand(fleet, NAME)
        demand.spread(60.0, fleet.hosts)
        await _settled(fleet, demand)
        _limit(fleet, 10.0, 10.0)
        await demand.run(2.5)
        since = asyncio.get_running_loop().time()
        await demand.run(12.0)
        assert demand.most(since) <= demands.bound(10.0, 10.0)
        assert demand.admitted_rate(since) >= SERVED_LEAST * 10.0
        _limit(fleet, 100.0, 100.0)
        await demand.run(3.0)
        since = asyncio.get_running_loop().time()
        await demand.run(8.0)
        assert demand.admitted_rate(since) >= SERVED_LEAST * demand.sent_rate(
            since
        )

    loops.run(test())


@dataclasses.dataclass(frozen=True)
class Event:
    """A fault or change, and for how long traffic goes on after it."""

    kind: str
    place: int
    seconds: float


_EVENTS = strategies.lists(
    strategies.builds(
        Event,
        strategies.sampled_from(
            ["cut", "split", "heal", "kill", "move", "spread", "limit"]
        ),
        strategies.integers(0, 3),
        strategies.sampled_from([0.3, 1.0, 2.5]),
    ),
    min_size=2,
    max_size=8,
)


@hypothesis.settings(
    max_examples=12, deadline=None, derandomize=True, database=None
)
@hypothesis.given(events=_EVENTS, seed=strategies.integers(0, 9))
def test_quota_holds_in_every_window_whatever_happens(
    events: list[Event], seed: int
) -> None:
    """Cuts, kills, moves and changed limits let more run than is allowed."""

    async def test() -> None:
        rate = 40.0
        fleet = _fleet(rate, rate, count=12)
        fleet.seed = seed
        demand = demands.Demand(fleet, NAME, rng=random.Random(seed))
        demand.spread(5.0 * rate, fleet.hosts)
        await _settled(fleet, demand)
        for event in events:
            _happen(fleet, demand, event, rate)
            await demand.run(event.seconds)
        await demand.run(3.0)
        assert demand.most() <= demands.bound(rate, rate)

    loops.run(test())


def _happen(
    fleet: Fleet, demand: demands.Demand, event: Event, rate: float
) -> None:
    domain = fleet.hosts_in_domain(f"d{event.place}")
    if event.kind == "cut":
        fleet.partition(domain)
    elif event.kind == "split":
        fleet.partition(
            domain | fleet.hosts_in_domain(f"d{(event.place + 1) % 4}")
        )
    elif event.kind == "heal":
        fleet.network.blocked_links.clear()
    elif event.kind == "kill":
        for host in fleet.hosts[event.place :: 3]:
            fleet.restart(host)
    elif event.kind == "move":
        demand.spread(5.0 * rate, sorted(domain))
    elif event.kind == "spread":
        demand.spread(5.0 * rate, fleet.hosts)
    else:
        _limit(fleet, rate / (event.place + 1), rate / (event.place + 1))


def _slow_links(fleet: Fleet, hosts: list[str]) -> None:
    """Make answers arrive after the allocator's callers gave up."""
    for host in hosts:
        fleet.network.extra_seconds[host] = 0.13


def _pause_first(fleet: Fleet, hosts: list[str]) -> None:
    """Pause the allocator for longer than its callers wait."""
    first, *_ = feeds.reader_hosts(hosts)
    fleet.pause(first, 2.5)


def _pause_by_turns(fleet: Fleet, hosts: list[str]) -> None:
    loop = asyncio.get_running_loop()
    for turn, host in enumerate(hosts):
        loop.call_later(1.1 * turn, fleet.pause, host, 1.0)


def _lose_answers_of_first(fleet: Fleet, hosts: list[str]) -> None:
    """Lose the answers of an allocator that requests still reach."""
    first, *_ = feeds.reader_hosts(hosts)
    for host in hosts[::2]:
        fleet.network.blocked_links.add((first, host))


@pytest.mark.parametrize("domains", [1, 4])
@pytest.mark.parametrize(
    "disturb",
    [_slow_links, _pause_first, _pause_by_turns, _lose_answers_of_first],
)
def test_daemons_that_miss_their_allocator_share_one_limit(
    disturb: typing.Callable[[Fleet, list[str]], None], domains: int
) -> None:
    """Each daemon without an answer in time handed out the whole limit."""

    async def test() -> None:
        rate = 40.0
        fleet = _fleet(rate, rate, 6 * domains, domains)
        demand = demands.Demand(fleet, NAME)
        demand.spread(6.0 * rate, fleet.hosts)
        await _settled(fleet, demand)
        disturb(fleet, sorted(fleet.hosts_in_domain("d0")))
        await demand.run(15.0)
        assert demand.most() <= demands.bound(rate, rate)

    loops.run(test())


@pytest.mark.parametrize("place", PLACES)
def test_single_domain_serves_the_whole_limit(place: Place) -> None:
    """Daemons without requests must vote as well, for the same allocator."""

    async def test() -> None:
        rate = 20.0
        fleet = _fleet(rate, rate, 12, 1)
        demand = demands.Demand(fleet, NAME)
        hosts = place(fleet) or fleet.hosts[:4]
        demand.spread(3.0 * rate, hosts)
        since = await _settled(fleet, demand)
        await demand.run(12.0)
        assert demand.admitted_rate(since) >= SERVED_LEAST * rate
        assert demand.most() <= demands.bound(rate, rate)

    loops.run(test())


@pytest.mark.parametrize("disturb", [_slow_links, _pause_first])
def test_single_domain_serves_the_whole_limit_again(
    disturb: typing.Callable[[Fleet, list[str]], None],
) -> None:
    """Daemons that chose different allocators must agree on one again."""

    async def test() -> None:
        rate = 20.0
        fleet = _fleet(rate, rate, 6, 1)
        demand = demands.Demand(fleet, NAME)
        demand.spread(3.0 * rate, fleet.hosts[2:3])
        await _settled(fleet, demand)
        disturb(fleet, fleet.hosts)
        await demand.run(6.0)
        fleet.network.extra_seconds.clear()
        await demand.run(4.0)
        since = asyncio.get_running_loop().time()
        await demand.run(10.0)
        assert demand.admitted_rate(since) >= SERVED_LEAST * rate
        assert demand.most() <= demands.bound(rate, rate)

    loops.run(test())
