"""Test how a fleet blocks requests that crash their instances."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import typing

import pytest

from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _crashes
from tests.fleets import fleet as fleet_module
from tests.fleets import instances
from tests.fleets import loops

STABLE_SECONDS = 3.0
"""Time within which all daemons must know of the third crash."""
LATE_ARRIVALS_MAX = 3
"""Arrivals at instances that are allowed after that time."""
BROADCAST_SECONDS = 0.1
"""Time after which all daemons know of a crash if no link fails."""
BAD = b"/s/bad"
POPULAR = b"/s/popular"
CRASH_SECONDS = 0.04
BAD_PER_SECOND = 4.0
GOOD_PER_SECOND = 40.0


async def start_fleet(
    count: int,
    domains: int,
    seed: int = 1,
    attempts_max: int = 2,
    services: typing.Callable[[str], str] = lambda host: "s",
    idempotent: bool = True,
) -> tuple[fleet_module.Fleet, instances.Upstreams]:
    """Return a settled fleet and its instances."""
    fleet = fleet_module.Fleet(
        count,
        domains,
        seed=seed,
        bound=2.0,
        service_for_host=services,
        idempotent=idempotent,
        attempts_max=attempts_max,
    )
    upstreams = instances.Upstreams(fleet)
    upstreams.install()
    await fleet.start()
    return fleet, upstreams


async def send_at_rate(
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


def unique_targets() -> typing.Iterator[bytes]:
    """Yield targets without repeating any."""
    return (b"/s/good-%d" % number for number in itertools.count())


def late_arrivals(upstreams: instances.Upstreams, target: bytes) -> int:
    """Count the arrivals ``STABLE_SECONDS`` or more after the third crash."""
    times = upstreams.crash_times(target)
    if len(times) < 3:
        return 0
    return upstreams.arrival_count(target, times[2] + STABLE_SECONDS)


CRASH_REASONS = {"crashes_instances", "suspect_running"}
SERVED_SHARE = 0.98


def refused_on_suspicion(fleet: fleet_module.Fleet) -> int:
    """Count the requests that daemons refused because of crashes."""
    return sum(
        count
        for daemon in fleet.daemons.values()
        for (_, _, reason), count in daemon.counters.answers.items()
        if reason in CRASH_REASONS
    )


def share_served(statuses: list[int]) -> float:
    """Return the share of requests that were answered with success."""
    return statuses.count(200) / len(statuses)


def arrivals_before_crash_known(
    upstreams: instances.Upstreams, target: bytes, number: int
) -> int:
    """Count the arrivals before the given crash (from 1) was known."""
    known = upstreams.crash_times(target)[number - 1] + BROADCAST_SECONDS
    return sum(
        each.target == target and each.time < known
        for each in upstreams.arrivals
    )


@pytest.mark.parametrize(("count", "domains"), [(13, 1), (65, 5), (195, 3)])
def test_request_that_crashed_three_instances_is_blocked(
    count: int, domains: int
) -> None:
    """A repeated request would crash one instance after the other."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(count, domains)
        upstreams.crash_delays[BAD] = CRASH_SECONDS
        bad = send_at_rate(fleet, itertools.repeat(BAD), BAD_PER_SECOND, 12.0)
        good = send_at_rate(
            fleet, unique_targets(), GOOD_PER_SECOND, 12.0, seed=2
        )
        _, statuses = await asyncio.gather(bad, good)
        assert late_arrivals(upstreams, BAD) <= LATE_ARRIVALS_MAX
        assert upstreams.arrival_count(BAD) <= arrivals_before_crash_known(
            upstreams, BAD, 3
        )
        assert share_served(statuses) > SERVED_SHARE

    loops.run(test())


@pytest.mark.parametrize("crash_seconds", [0.001, 0.08, 0.4])
@pytest.mark.parametrize("per_second", [1.0, 40.0])
def test_only_requests_sent_before_the_third_crash_was_known_crash(
    crash_seconds: float, per_second: float
) -> None:
    """The request is rare or frequent, and crashes instances soon or late."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(65, 5)
        upstreams.crash_delays[BAD] = crash_seconds
        bad = send_at_rate(fleet, itertools.repeat(BAD), per_second, 10.0)
        good = send_at_rate(
            fleet, unique_targets(), GOOD_PER_SECOND, 10.0, seed=2
        )
        _, statuses = await asyncio.gather(bad, good)
        assert upstreams.arrival_count(BAD) <= arrivals_before_crash_known(
            upstreams, BAD, 3
        )
        assert share_served(statuses) > SERVED_SHARE

    loops.run(test())


@pytest.mark.parametrize("proxy_host", ["", "10.9.0.1"])
@pytest.mark.parametrize(("count", "domains"), [(13, 1), (36, 3)])
def test_each_daemon_learns_of_each_crash(
    count: int, domains: int, proxy_host: str
) -> None:
    """A daemon counted as updated once any at its proxy's address was."""

    async def test() -> None:
        fleet, _ = await start_fleet(count, domains)
        fleet.network.proxy_host = proxy_host
        await asyncio.sleep(STABLE_SECONDS)
        for number, host in enumerate(fleet.hosts):
            run = crashes.Run(number, 0.1)
            report = crashes.Report((host, 1), 0.0, (run,), 0, 0)
            _crashes.receive_reports(fleet.daemons[host], [report], host)
            await asyncio.sleep(BROADCAST_SECONDS)
            behind = [
                other
                for other, daemon in fleet.daemons.items()
                if len(daemon.crash_ledger.crashes) != number + 1
            ]
            assert behind == []

    loops.run(test())


@pytest.mark.parametrize("is_listed", [True, False])
def test_daemon_that_follows_none_learns_of_crashes(is_listed: bool) -> None:
    """Readers of the store learned of crashes only from earlier readers.

    One daemon reads the store as it has been cut off from the others, or as
    it comes first in its failure domain without an entry.
    """

    async def test() -> None:
        fleet = fleet_module.Fleet(13, 1)
        await fleet.start()
        if is_listed:
            host = max(
                fleet.hosts,
                key=lambda each: len(fleet.daemons[each].feed.earlier_hosts),
            )
            fleet.partition({host})
            while not feeds.reads_store(fleet.daemons[host].feed):
                await asyncio.sleep(0.1)
            fleet.network.blocked_links.clear()
        else:
            host = next(
                added
                for added in (f"10.0.0.{number}" for number in range(14, 255))
                if feeds.reader_hosts([*fleet.hosts, added])[0] == added
            )
            fleet.restart(host)
            await asyncio.sleep(STABLE_SECONDS)
        daemon, other = fleet.daemons[host], fleet.hosts[5]
        report = crashes.Report(("i", 1), 0.0, (crashes.Run(1, 0.1),), 0, 0)
        _crashes.receive_reports(fleet.daemons[other], [report], other)
        await asyncio.sleep(STABLE_SECONDS)
        assert feeds.reads_store(daemon.feed)
        assert len(daemon.crash_ledger.crashes) == 1

    loops.run(test())


def test_crashing_request_that_may_run_only_once_is_blocked() -> None:
    """Clients repeat a request with a body, which daemons never retry."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(13, 1, idempotent=False)
        upstreams.crash_delays[BAD] = CRASH_SECONDS
        statuses = []
        for number in range(40):
            host = fleet.hosts[number % 13]
            statuses.append(await instances.call(fleet, host, BAD, b"body"))
            await asyncio.sleep(0.25)
        assert upstreams.arrival_count(BAD) == 3
        assert statuses.count(502) == 3
        assert statuses.count(503) == 37

    loops.run(test())


def test_several_crashing_requests_are_told_apart() -> None:
    """Five requests in turn crash instances that run a popular one too."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(65, 5)
        bad = [BAD + b"-%d" % number for number in range(5)]
        upstreams.crash_delays.update(dict.fromkeys(bad, CRASH_SECONDS))
        sent = send_at_rate(fleet, itertools.cycle(bad), 10.0, 12.0)
        popular = send_at_rate(
            fleet, itertools.repeat(POPULAR), 20.0, 12.0, seed=3
        )
        good = send_at_rate(
            fleet, unique_targets(), GOOD_PER_SECOND, 12.0, seed=2
        )
        _, of_popular, of_good = await asyncio.gather(sent, popular, good)
        for target in bad:
            assert upstreams.arrival_count(
                target
            ) <= arrivals_before_crash_known(upstreams, target, 3)
        assert share_served(of_popular) > SERVED_SHARE
        assert share_served(of_good) > SERVED_SHARE

    loops.run(test())


def test_crashing_call_of_an_instance_is_blocked() -> None:
    """A nested call by an instance crashes the instance that it calls."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(26, 2, services=_front_or_deep)
        upstreams.crash_delays[b"/deep/bad"] = CRASH_SECONDS
        upstreams.nested_calls[b"/front/bad"] = b"/deep/bad"
        front = itertools.repeat(b"/front/bad")
        bad = send_at_rate(fleet, front, BAD_PER_SECOND, 10.0)
        good = (b"/deep/good-%d" % number for number in itertools.count())
        sent = send_at_rate(fleet, good, GOOD_PER_SECOND, 10.0, seed=2)
        _, statuses = await asyncio.gather(bad, sent)
        arrived = upstreams.arrival_count(b"/deep/bad")
        assert (
            3
            <= arrived
            <= arrivals_before_crash_known(upstreams, b"/deep/bad", 3)
        )
        assert upstreams.crash_times(b"/front/bad") == []
        assert share_served(statuses) > SERVED_SHARE

    loops.run(test())


def _front_or_deep(host: str) -> str:
    return "front" if int(host.split(".")[3]) <= 4 else "deep"


@pytest.mark.parametrize("pause", [0.2, 0.6])
def test_restarted_daemons_learn_of_blocked_requests(pause: float) -> None:
    """All daemons restart, one by one, while a crashing request repeats."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(26, 2)
        upstreams.crash_delays[BAD] = CRASH_SECONDS

        async def restart_all() -> None:
            for host in fleet.hosts:
                await asyncio.sleep(pause)
                fleet.restart(host)

        bad = send_at_rate(fleet, itertools.repeat(BAD), BAD_PER_SECOND, 18.0)
        await asyncio.gather(bad, restart_all())
        assert late_arrivals(upstreams, BAD) == 0

    loops.run(test())


@pytest.mark.parametrize("domain", ["d0", "d1", "d2"])
def test_partitioned_domain_learns_of_blocked_requests(domain: str) -> None:
    """A request crashes three instances outside of a partitioned domain.

    Once the partition heals, the domain must block the request, too.
    """

    async def test() -> None:
        fleet, upstreams = await start_fleet(36, 3)
        upstreams.crash_delays[BAD] = CRASH_SECONDS
        inside = fleet.hosts_in_domain(domain)
        fleet.partition(inside)
        await asyncio.sleep(1.0)
        outside = sorted(set(fleet.hosts) - inside)
        for number in range(12):
            await instances.call(fleet, outside[number % 24], BAD)
            await asyncio.sleep(0.25)
        assert upstreams.arrival_count(BAD) <= arrivals_before_crash_known(
            upstreams, BAD, 3
        )
        fleet.network.blocked_links.clear()
        await asyncio.sleep(STABLE_SECONDS)
        before = upstreams.arrival_count(BAD)
        for host in sorted(inside):
            assert await instances.call(fleet, host, BAD) == 503
        assert upstreams.arrival_count(BAD) == before

    loops.run(test())


def test_each_side_of_a_partition_blocks_the_request() -> None:
    """A crashing request arrives on both sides of a partition at once."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(36, 3)
        upstreams.crash_delays[BAD] = CRASH_SECONDS
        inside = fleet.hosts_in_domain("d1")
        fleet.partition(inside)
        await asyncio.sleep(1.0)
        await send_at_rate(fleet, itertools.repeat(BAD), 8.0, 8.0)
        crashed = [each.host in inside for each in upstreams.crashes]
        assert crashed.count(True) <= 4
        assert crashed.count(False) <= 4

    loops.run(test())


@dataclasses.dataclass(frozen=True)
class CrashSeries:
    """Crashes that no request causes, of ``count`` instances at a time.

    There are ``times`` of them, with ``pause`` seconds in between.
    """

    count: int
    times: int
    pause: float


CRASH_SERIES = (
    CrashSeries(1, 20, 0.5),
    CrashSeries(1, 40, 0.05),
    CrashSeries(3, 10, 0.3),
    CrashSeries(4, 10, 0.2),
    CrashSeries(13, 4, 2.5),
    CrashSeries(12, 8, 0.7),
)


@pytest.mark.parametrize("series", CRASH_SERIES)
@pytest.mark.parametrize("seconds", [0.03, 0.4])
def test_popular_request_is_not_blamed_for_unrelated_crashes(
    series: CrashSeries, seconds: float
) -> None:
    """Each instance that crashes is running popular requests."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(13, 1)
        upstreams.service_seconds = seconds
        rng = random.Random(7)

        async def crash_often() -> None:
            await asyncio.sleep(2.0)
            for _ in range(series.times):
                for host in rng.sample(fleet.hosts, series.count):
                    if not upstreams.instances[host].down:
                        upstreams.instances[host].crash()
                await asyncio.sleep(series.pause)
            await asyncio.sleep(instances.AWAY_SECONDS)

        popular = itertools.cycle([POPULAR, POPULAR + b"-2"])
        sent = send_at_rate(fleet, popular, 40.0, 14.0)
        good = send_at_rate(fleet, unique_targets(), 20.0, 14.0, seed=2)
        await asyncio.gather(sent, good, crash_often())
        assert refused_on_suspicion(fleet) == 0
        statuses = await send_at_rate(fleet, popular, 40.0, 3.0)
        assert share_served(statuses) == 1.0

    loops.run(test())


def test_popular_request_is_served_next_to_a_crashing_one() -> None:
    """Each instance that crashes is running both requests."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(13, 1)
        popular = itertools.repeat(POPULAR)
        await send_at_rate(fleet, popular, 60.0, 2.0)
        upstreams.crash_delays[BAD] = CRASH_SECONDS
        bad = send_at_rate(fleet, itertools.repeat(BAD), BAD_PER_SECOND, 10.0)
        sent = send_at_rate(fleet, popular, 60.0, 10.0, seed=2)
        _, statuses = await asyncio.gather(bad, sent)
        assert upstreams.arrival_count(BAD) <= arrivals_before_crash_known(
            upstreams, BAD, 3
        )
        assert share_served(statuses) > SERVED_SHARE

    loops.run(test())


def test_popular_request_that_starts_to_crash_is_blocked() -> None:
    """A request that instances have completed crashes a new release."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(13, 1)
        popular = itertools.repeat(POPULAR)
        await send_at_rate(fleet, popular, 20.0, 4.0)
        upstreams.crash_delays[POPULAR] = CRASH_SECONDS
        await send_at_rate(fleet, popular, 20.0, 12.0)
        assert late_arrivals(upstreams, POPULAR) == 0

    loops.run(test())


def test_blocked_request_is_retried_and_served_once_it_is_fixed() -> None:
    """A later release no longer crashes on the request."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(13, 1)
        upstreams.crash_delays[BAD] = CRASH_SECONDS
        bad = itertools.repeat(BAD)
        await send_at_rate(fleet, bad, BAD_PER_SECOND, 5.0)
        assert upstreams.arrival_count(BAD) == 3
        await send_at_rate(fleet, bad, BAD_PER_SECOND, 150.0)
        assert 4 <= upstreams.arrival_count(BAD) <= 5
        del upstreams.crash_delays[BAD]
        await send_at_rate(fleet, bad, BAD_PER_SECOND, 500.0)
        statuses = await send_at_rate(fleet, bad, BAD_PER_SECOND, 5.0)
        assert share_served(statuses) == 1.0

    loops.run(test())


def test_memory_for_many_crashing_requests_is_bounded() -> None:
    """Hundreds of different requests each crash their instances."""

    async def test() -> None:
        fleet, upstreams = await start_fleet(13, 1)
        bad = [BAD + b"-%d" % number for number in range(400)]
        upstreams.crash_delays.update(dict.fromkeys(bad, CRASH_SECONDS))
        await send_at_rate(fleet, itertools.cycle(bad), 60.0, 20.0)
        for daemon in fleet.daemons.values():
            ledger = daemon.crash_ledger
            assert len(ledger.crashes) <= 256
            assert ledger.run_count <= 1_200
            reports = crashes.reports_since(ledger, daemon.clock.monotonic())
            value = _crash_wire.encode(ledger.digest, reports)
            assert len(value) < 60_000

    loops.run(test())
