"""Test that a fleet heeds what instances say of themselves."""

from __future__ import annotations

import asyncio
import itertools
import math
import random

import pytest

from tests.fleets import fleet as fleet_module
from tests.fleets import instances
from tests.fleets import loops
from tests.fleets import test_crashes

LIMIT = 10.0
SECONDS = 12.0
PER_SECOND = 240.0
"""Six times ``LIMIT`` for each of the four instances of ``s``."""
SERVED_SHARE = 0.95
FAIR_SHARE = 0.5
"""Of an equal share: what an instance gets again once its limit is gone."""


def _service_of(host: str) -> str:
    """Return ``s`` for the first two instances of each failure domain."""
    return "s" if host.split(".")[3] in ("1", "2") else "front"


async def _start() -> tuple[
    fleet_module.Fleet, instances.Upstreams, list[str]
]:
    """Return a fleet of 12 VMs in two domains, and the hosts of ``s``."""
    fleet, upstreams = await test_crashes.start_fleet(
        12, 2, services=_service_of
    )
    return (
        fleet,
        upstreams,
        [host for host in fleet.hosts if _service_of(host) == "s"],
    )


async def _send(
    upstreams: instances.Upstreams,
    seconds: float,
    per_second: float = PER_SECOND,
) -> float:
    """Send requests at all daemons; return the share that was served."""
    loop = asyncio.get_running_loop()
    rng = random.Random(7)
    fleet = upstreams.fleet
    until = loop.time() + seconds
    numbers = itertools.count()
    sent = []
    while loop.time() < until:
        host = rng.choice(sorted(fleet.daemons))
        target = b"/s/good-%d" % next(numbers)
        sent.append(upstreams.call(host, target))
        await asyncio.sleep(rng.expovariate(per_second))
    statuses = list(await asyncio.gather(*sent))
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize("limit", [0.0, LIMIT, 40.0])
@pytest.mark.parametrize("limited", [1, 4])
def test_instance_gets_no_more_than_the_rate_that_it_names(
    limit: float, limited: int
) -> None:
    """One or all instances of a service name a limit below their share."""

    async def test() -> None:
        _, upstreams, hosts = await _start()
        for host in hosts[:limited]:
            upstreams.set_rate_limit(host, limit)
        served = await _send(upstreams, SECONDS)
        assert upstreams.oracle.broken() == []
        if limited == 1:
            assert served > SERVED_SHARE

    loops.run(test())


def test_restarted_daemon_heeds_the_limit_of_its_instance() -> None:
    """Only the callee's daemon restarts; its entrances know the limit."""

    async def test() -> None:
        fleet, upstreams, hosts = await _start()
        upstreams.service_seconds = 1.0
        for host in hosts:
            upstreams.set_rate_limit(host, 2.0)
        sending = asyncio.ensure_future(_send(upstreams, 2.0 * SECONDS, 60.0))
        await asyncio.sleep(6.0)
        for host in hosts[:2]:
            fleet.kill(host)
            upstreams.oracle.excuse(host)
            await asyncio.sleep(0.5)
            fleet.restart(host)
            await asyncio.sleep(4.0)
        await sending
        assert upstreams.oracle.broken() == []

    loops.run(test())


def test_limit_that_is_dropped_ends_at_once() -> None:
    """A limit is named, raised, lowered, and dropped after some seconds."""

    async def test() -> None:
        _, upstreams, hosts = await _start()
        sending = asyncio.ensure_future(_send(upstreams, 4.0 * SECONDS))
        for limit in (20.0, 40.0, 5.0, 0.0, math.inf, 10.0):
            for host in hosts:
                upstreams.set_rate_limit(host, limit)
            await asyncio.sleep(6.0)
        for host in hosts:
            upstreams.set_rate_limit(host, math.inf)
        await asyncio.sleep(3.0)
        since = asyncio.get_running_loop().time()
        served = await _send(upstreams, 3.0)
        assert upstreams.oracle.broken() == []
        assert served > SERVED_SHARE
        arrived = [each for each in upstreams.arrivals if each.time >= since]
        for host in hosts:
            got = sum(each.host == host for each in arrived)
            assert got > FAIR_SHARE * len(arrived) / len(hosts)
        await sending

    loops.run(test())


def test_instance_that_says_it_leaves_gets_no_more_requests() -> None:
    """No entry of the store says that the instance leaves."""

    async def test() -> None:
        _, upstreams, hosts = await _start()
        upstreams.leaving.add(hosts[0])
        served = await _send(upstreams, 6.0)
        assert upstreams.oracle.broken() == []
        assert served > SERVED_SHARE

    loops.run(test())


def test_entry_written_anew_does_not_recall_a_leaving_instance() -> None:
    """The entry of an instance that said it leaves lapses and comes back."""

    async def test() -> None:
        fleet, upstreams, hosts = await _start()
        upstreams.leaving.add(hosts[0])
        sending = asyncio.ensure_future(_send(upstreams, 10.0))
        await asyncio.sleep(3.0)
        fleet.store.remove(f"i-{hosts[0]}")
        await asyncio.sleep(3.0)
        fleet.write_instance(hosts[0])
        await sending
        assert upstreams.oracle.broken() == []

    loops.run(test())


def test_refusal_tells_entrances_that_the_instance_leaves() -> None:
    """It refuses everything, so that no answer of it is ever passed on."""

    async def test() -> None:
        fleet, upstreams, hosts = await _start()
        upstreams.leaving.add(hosts[0])
        upstreams.refusing.add(hosts[0])
        served = await _send(upstreams, 6.0)
        assert served > SERVED_SHARE
        arrived = [each.host for each in upstreams.arrivals]
        assert 0 < arrived.count(hosts[0]) <= 2 * len(fleet.hosts)

    loops.run(test())


def test_frozen_daemon_heeds_the_limit_when_it_wakes() -> None:
    """Requests have piled up for it meanwhile."""

    async def test() -> None:
        fleet, upstreams, hosts = await _start()
        for host in hosts:
            upstreams.set_rate_limit(host, LIMIT)
        sending = asyncio.ensure_future(_send(upstreams, 16.0))
        await asyncio.sleep(4.0)
        fleet.network.frozen_hosts.add(hosts[0])
        await asyncio.sleep(4.0)
        fleet.network.frozen_hosts.discard(hosts[0])
        await sending
        assert upstreams.oracle.broken() == []

    loops.run(test())


def test_entrances_shed_when_all_instances_are_limited() -> None:
    """Most of what is too much is refused before it costs a hop."""

    async def test() -> None:
        _, upstreams, hosts = await _start()
        for host in hosts:
            upstreams.set_rate_limit(host, 20.0)
        await _send(upstreams, 6.0)
        totals: dict[str, int] = {}
        for daemon in upstreams.fleet.daemons.values():
            for (_, _, reason), count in daemon.counters.answers.items():
                totals[reason] = totals.get(reason, 0) + count
        assert totals["shed_at_entrance"] > 3 * totals["queue_delay"]

    loops.run(test())
