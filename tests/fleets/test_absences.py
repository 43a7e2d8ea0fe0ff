"""Test that changes spread in time after outages of any length."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.feeds import _checks
from sassafrasstair.decisions.feeds import _feeds
from sassafrasstair.decisions import views
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
SERIES = 4
SERIES_SECONDS = 0.06
"""Pause between the changes that writers held back during an outage."""
SIZES = ((13, 3, 2.0), (65, 3, 2.5), (195, 6, 3.0))
"""Daemons, failure domains, and the seconds within which all daemons must
know a change."""


def _silent(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts)


def _reset(fleet: Fleet) -> None:
    fleet.store.reset_connections(fleet.hosts)


def _silent_for_half(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts[::2])


def _silent_for_the_first_domain(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts_in_domain("d0"))


def _silent_for_all_readers(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.store_readers())


ABSENCES = (
    _silent,
    _reset,
    _silent_for_half,
    _silent_for_the_first_domain,
    _silent_for_all_readers,
)
Absence = typing.Callable[[Fleet], None]


async def _start_with_aligned_watches(fleet: Fleet) -> None:
    """Start the fleet; let all readers begin a watch at the same moment."""
    await fleet.start()
    await fleet.measure_propagation()
    await asyncio.sleep(2.0 * fleet.bound)
    await fleet.measure_propagation()
    await asyncio.sleep(0.3 * fleet.bound)


async def _measure_after_absence(
    fleet: Fleet, seconds: float, absence: Absence = _silent
) -> float:
    """Return the propagation time of changes right after an outage."""
    await _start_with_aligned_watches(fleet)
    absence(fleet)
    await asyncio.sleep(seconds)
    fleet.store.answer_all_hosts()
    for _ in range(SERIES - 1):
        fleet.publish_policy()
        await asyncio.sleep(SERIES_SECONDS)
    return await fleet.measure_propagation()


@pytest.mark.parametrize("seconds", [0.0, 0.4, 1.2, 3.0, 5.1, 8.6, 25.0])
@pytest.mark.parametrize("kind", ABSENCES)
def test_change_after_an_outage_spreads_in_time(
    kind: Absence, seconds: float
) -> None:
    """Watches begun during an outage must not delay changes after it.

    The store never answers such a watch, even once it is back. A reader
    that waited for it as long as for a watch without changes learned of no
    change for four seconds: after an outage of 8.6 s, requests were handled
    by a policy that had been replaced 2.6 s before.

    The log of such a reader, 4 s after the store's return:
    store_call_failed verb=watch reason=timeout waited=6.9995 age=14.4999,
    then store_back.
    """

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        assert await _measure_after_absence(fleet, seconds, kind) < fleet.bound

    loops.run(test())


@pytest.mark.parametrize("seconds", [0.4, 3.0, 8.6])
@pytest.mark.parametrize(("count", "domains", "bound"), SIZES[1:])
def test_change_after_an_outage_spreads_in_time_in_large_fleets(
    count: int, domains: int, bound: float, seconds: float
) -> None:
    """Many followers must learn of the changes from their readers in time."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        assert await _measure_after_absence(fleet, seconds) < bound

    loops.run(test())


@pytest.mark.parametrize("kind", ABSENCES[2:])
@pytest.mark.parametrize(("count", "domains", "bound"), SIZES[:2])
def test_change_during_a_partial_outage_spreads_in_time(
    kind: Absence, count: int, domains: int, bound: float
) -> None:
    """The store does not answer some daemons while it serves the others."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_with_aligned_watches(fleet)
        kind(fleet)
        for pause in (0.3, 1.0, 2.5, 6.0):
            await asyncio.sleep(pause)
            assert await fleet.measure_propagation() < bound

    loops.run(test())


def _cut_off_first_hosts(fleet: Fleet, count: int) -> set[str]:
    """Cut the first hosts of each failure domain off from the store."""
    cut: set[str] = set()
    for domain in fleet.regions:
        hosts = fleet.hosts_in_domain(domain)
        cut |= set(feeds.first_hosts(hosts, count))
    fleet.store.stop_answering(cut)
    return cut


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize(
    ("count", "domains", "bound", "cut_count", "pause"),
    [
        (18, 2, 2.0, 3, 0.0),
        (18, 2, 2.0, 3, 4.0),
        (18, 2, 2.0, 8, 4.0),
        (65, 3, 2.5, 3, 0.0),
        (65, 3, 2.5, 7, 5.0),
        (65, 3, 2.5, 15, 20.0),
        (195, 6, 3.0, 3, 0.0),
    ],
)
def test_change_reaches_followers_of_daemons_that_are_cut_off(
    count: int,
    domains: int,
    bound: float,
    cut_count: int,
    pause: float,
    seed: int,
) -> None:
    """Followers whose parents have all lost the store miss its changes."""

    async def test() -> None:
        fleet = Fleet(count, domains, seed=seed, bound=bound)
        await _start_with_aligned_watches(fleet)
        cut = _cut_off_first_hosts(fleet, cut_count)
        await asyncio.sleep(pause)
        assert await fleet.measure_propagation(cut) < bound
        leaving = next(host for host in fleet.hosts if host not in cut)
        fleet.write_instance(leaving, views.InstanceState.LEAVING)
        await asyncio.sleep(bound)
        for host in set(fleet.hosts) - cut:
            known = fleet.daemons[host].view.instances[f"i-{leaving}"]
            assert known.state is views.InstanceState.LEAVING

    loops.run(test())


def test_change_at_the_moment_of_a_wide_cut_spreads_in_time() -> None:
    """Later followers learn too late that their parents lost the store."""

    async def test() -> None:
        fleet = Fleet(65, 3, seed=2, bound=2.5)
        await _start_with_aligned_watches(fleet)
        cut = _cut_off_first_hosts(fleet, 7)
        assert await fleet.measure_propagation(cut) < fleet.bound

    loops.run(test())


@pytest.mark.parametrize(("count", "domains", "bound"), SIZES)
def test_stand_ins_follow_again_after_a_partial_outage(
    count: int, domains: int, bound: float
) -> None:
    """Stand-ins that read on would multiply the calls of each change."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_with_aligned_watches(fleet)
        _cut_off_first_hosts(fleet, 3)
        await asyncio.sleep(12.0)
        fleet.store.answer_all_hosts()
        # A watch may be open at the end, and be followed by another one.
        await asyncio.sleep(2.0 * (_feeds.BACKUP_WATCH_SECONDS + bound))
        assert len(fleet.store_readers()) == domains

    loops.run(test())


@pytest.mark.parametrize("kind", ABSENCES[:2])
@pytest.mark.parametrize(("count", "domains", "bound"), SIZES)
def test_unavailable_store_gets_few_calls(
    kind: Absence, count: int, domains: int, bound: float
) -> None:
    """Calls are paid for, and all daemons share the store's rate limit.

    During an outage and after it, only three daemons of each failure domain
    call the store: one check per interval each, and an occasional watch.
    """

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_with_aligned_watches(fleet)
        kind(fleet)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(20.0)
        calls = fleet.store.calls_since(begun)
        pause = _checks.INTERVAL_JITTER_MIN * _check_interval(fleet)
        callers = domains * _feeds.READERS_MAX
        assert calls["check"] <= callers * 20.0 / pause
        begun = loop.time()
        fleet.store.answer_all_hosts()
        await asyncio.sleep(2.0)
        calls = fleet.store.calls_since(begun)
        assert calls["watch"] + calls["read"] <= 3 * callers
        assert calls["check"] <= callers * 4.0 / pause

    loops.run(test())


def _check_interval(fleet: Fleet) -> float:
    return next(iter(fleet.daemons.values())).feed.timing.check_interval


def test_slow_store_is_not_taken_for_an_outage() -> None:
    """Each answer takes longer than the interval between checks.

    If each late answer were taken for the end of an outage, it would end
    the open watch, and no watch would ever be answered.
    """

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        await _start_with_aligned_watches(fleet)
        fleet.store.answer_seconds = 1.5
        for _ in range(3):
            await asyncio.sleep(4.0)
            assert (
                await fleet.measure_propagation()
                < fleet.bound + fleet.store.answer_seconds
            )
        begun = asyncio.get_running_loop().time()
        await asyncio.sleep(10.0)
        calls = fleet.store.calls_since(begun)
        assert calls["watch"] <= len(fleet.store_readers()) * 10

    loops.run(test())


def test_revisions_of_other_keys_cause_few_watches() -> None:
    """The store's revision grows with changes that no watch returns.

    Each check then returns a greater revision. A new watch for each of them
    would cost more calls than daemons make that only watch.
    """

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        await _start_with_aligned_watches(fleet)
        begun = asyncio.get_running_loop().time()
        for _ in range(80):
            fleet.store.revision += 1
            await asyncio.sleep(0.5)
        calls = fleet.store.calls_since(begun)
        assert calls["watch"] <= 3 * 40 / 5
        assert await fleet.measure_propagation() < fleet.bound

    loops.run(test())


def test_lapsed_entries_that_return_are_known_in_time() -> None:
    """All entries lapse during an outage and are written anew after it.

    Until a daemon knows of the new entries, it has no instance to send
    requests to.
    """

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        await _start_with_aligned_watches(fleet)
        fleet.store.stop_answering(fleet.hosts)
        await asyncio.sleep(6.0)
        for host in fleet.hosts:
            fleet.store.remove(f"i-{host}")
        await asyncio.sleep(2.0)
        fleet.store.answer_all_hosts()
        for host in fleet.hosts:
            await asyncio.sleep(2.0 / len(fleet.hosts))
            fleet.write_instance(host)
        await asyncio.sleep(fleet.bound)
        for daemon in fleet.daemons.values():
            assert len(daemon.view.instances) == len(fleet.hosts)

    loops.run(test())


@pytest.mark.parametrize("seconds", [0.5, 4.0, 9.0])
def test_daemons_that_start_in_an_outage_notice_its_end(
    seconds: float,
) -> None:
    """All daemons restart during an outage of the store."""

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        await _start_with_aligned_watches(fleet)
        fleet.store.stop_answering(fleet.hosts)
        for host in fleet.hosts:
            fleet.restart(host)
        await asyncio.sleep(seconds)
        fleet.store.answer_all_hosts()
        # A first reading that gets no answer ends only by its time limit.
        assert await fleet.measure_propagation() < 2.0 + fleet.bound

    loops.run(test())


@pytest.mark.parametrize("seed", range(1, 9))
def test_reader_without_the_store_learns_from_its_domain(
    seed: int,
) -> None:
    """The store does not answer one reader of a partitioned domain.

    The reader must not wait for unreachable daemons before it asks others.
    """

    async def test() -> None:
        fleet = Fleet(36, 3, seed=seed, bound=2.0)
        await _start_with_aligned_watches(fleet)
        domain = fleet.hosts_in_domain("d0")
        reader = fleet.first_reader("d0")
        fleet.partition(domain)
        fleet.store.stop_answering(fleet.hosts)
        await asyncio.sleep(8.6)
        fleet.store.answer_all_hosts()
        fleet.store.stop_answering({reader})
        for pause in (0.0, 1.0, 3.0):
            await asyncio.sleep(pause)
            assert await fleet.measure_propagation() < fleet.bound

    loops.run(test())


@pytest.mark.parametrize("count", [2, 3])
def test_policy_reaches_a_reader_by_a_daemon_that_read_it_when_it_started(
    count: int,
) -> None:
    """The starting daemon took the store's event of the policy for no change.

    It had its first ordered state from the reader, which lacked the policy
    and got all later changes from it, but never that policy.
    """

    async def test() -> None:
        fleet = Fleet(count, 1, bound=2.0)
        await fleet.start()
        reader, starting = feeds.first_hosts(fleet.hosts, 2)
        fleet.store.stop_answering({reader})
        fleet.publish_policy()
        fleet.restart(starting)
        await asyncio.sleep(fleet.bound)
        assert not fleet.hosts_behind()

    loops.run(test())
