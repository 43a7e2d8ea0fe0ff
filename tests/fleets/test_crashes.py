"""Requests that crash each instance that runs them, in a whole fleet."""

from __future__ import annotations

import asyncio
import itertools
import random
import typing

import pytest

from tests.fleets import fleet as fleet_module
from tests.fleets import instances
from tests.fleets import loops

STABLE_SECONDS = 3.0
"""After which all daemons have to know of the third crash."""
LATE_MAX = 3
"""Arrivals at instances that are allowed later than that."""
BAD = b"/s/bad"
CRASH_SECONDS = 0.04
BAD_PER_SECOND = 4.0
GOOD_PER_SECOND = 40.0


async def start(
    count: int, domains: int, seed: int = 1, attempts_max: int = 2
) -> tuple[fleet_module.Fleet, instances.Plant]:
    """Return a fleet that is calm, with its instances."""
    fleet = fleet_module.Fleet(
        count, domains, seed=seed, bound=2.0, attempts_max=attempts_max
    )
    plant = instances.Plant(fleet)
    plant.build()
    await fleet.start()
    return fleet, plant


async def send_often(
    fleet: fleet_module.Fleet,
    targets: typing.Iterator[bytes],
    per_second: float,
    seconds: float,
    seed: int = 1,
) -> list[int]:
    """Send requests to daemons drawn at random; return their statuses."""
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    until = loop.time() + seconds
    sent = []
    while loop.time() < until:
        host = rng.choice(sorted(fleet.daemons))
        sent.append(instances.call(fleet, host, next(targets)))
        await asyncio.sleep(rng.expovariate(per_second))
    return list(await asyncio.gather(*sent))


def unique() -> typing.Iterator[bytes]:
    """Yield targets that never come again."""
    return (b"/s/good-%d" % number for number in itertools.count())


def late(plant: instances.Plant, target: bytes) -> int:
    """Return the arrivals that come too long after the third crash."""
    times = plant.crash_times(target)
    if len(times) < 3:
        return 0
    return plant.arrived(target, times[2] + STABLE_SECONDS)


@pytest.mark.parametrize(("count", "domains"), [(13, 1), (65, 5), (195, 3)])
def test_request_that_crashed_three_instances_is_kept_from_the_others(
    count: int, domains: int
) -> None:
    """One request takes down instance after instance while it comes."""

    async def test() -> None:
        fleet, plant = await start(count, domains)
        plant.crashing[BAD] = CRASH_SECONDS
        bad = send_often(fleet, itertools.repeat(BAD), BAD_PER_SECOND, 12.0)
        good = send_often(fleet, unique(), GOOD_PER_SECOND, 12.0, seed=2)
        await asyncio.gather(bad, good)
        assert late(plant, BAD) <= LATE_MAX

    loops.run(test())
