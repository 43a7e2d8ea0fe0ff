"""A change is in force in time after the store was away, however long."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.decisions.feeds import _checks
from sassafrasstair.decisions.feeds import _feeds
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
SERIES = 4
SERIES_SECONDS = 0.06
"""Changes that were held back while the store was away come one by one."""
SIZES = ((13, 3, 2.0), (65, 3, 2.5), (195, 6, 3.0))
"""Daemons, failure domains, and the seconds within which a change must be
known."""


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
    """Start, and wait until all readers watch since the same moment."""
    await fleet.start()
    await fleet.measure_propagation()
    await asyncio.sleep(2.0 * fleet.bound)
    await fleet.measure_propagation()
    await asyncio.sleep(0.3 * fleet.bound)


async def _measure_after_absence(
    fleet: Fleet, seconds: float, kind: Absence = _silent
) -> float:
    """Return how long changes take right after an absence of the store."""
    await _start_with_aligned_watches(fleet)
    kind(fleet)
    await asyncio.sleep(seconds)
    fleet.store.answer_all_hosts()
    for _ in range(SERIES - 1):
        fleet.publish_policy()
        await asyncio.sleep(SERIES_SECONDS)
    return await fleet.measure_propagation()


@pytest.mark.parametrize("seconds", [0.0, 0.4, 1.2, 3.0, 5.1, 8.6, 25.0])
@pytest.mark.parametrize("kind", ABSENCES)
def test_change_after_an_absence_is_in_force_in_time(
    kind: Absence, seconds: float
) -> None:
    """Requests were handled by a policy that was replaced 2.6 s before.

    The store had given no answer for 8.6 s, and confirmed the changes that
    waited for it one after the other. Each reader had begun a watch while it
    was away, which nobody answered any more and which was waited for as long
    as one that just has no news: all readers were deaf for four seconds.

    Their log, 4 s after the store's return: store_call_failed verb=watch
    reason=timeout waited=6.9995 age=14.4999, then store_back.
    """

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        assert await _measure_after_absence(fleet, seconds, kind) < fleet.bound

    loops.run(test())


@pytest.mark.parametrize("seconds", [0.4, 3.0, 8.6])
@pytest.mark.parametrize(("count", "domains", "bound"), SIZES[1:])
def test_absence_is_over_for_large_fleets_as_soon(
    count: int, domains: int, bound: float, seconds: float
) -> None:
    """The same with more followers, which hear of it from their readers."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        assert await _measure_after_absence(fleet, seconds) < bound

    loops.run(test())


@pytest.mark.parametrize("kind", ABSENCES[2:])
@pytest.mark.parametrize(("count", "domains", "bound"), SIZES[:2])
def test_change_during_an_absence_reaches_who_hears_of_it(
    kind: Absence, count: int, domains: int, bound: float
) -> None:
    """The store turns some daemons away while it serves the others."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_with_aligned_watches(fleet)
        kind(fleet)
        for pause in (0.3, 1.0, 2.5, 6.0):
            await asyncio.sleep(pause)
            assert await fleet.measure_propagation() < bound

    loops.run(test())


@pytest.mark.parametrize("kind", ABSENCES[:2])
@pytest.mark.parametrize(("count", "domains", "bound"), SIZES)
def test_store_that_is_away_gets_few_calls(
    kind: Absence, count: int, domains: int, bound: float
) -> None:
    """All calls are paid for, and the store's rate is for all daemons.

    While it is away and at its return only three daemons of each failure
    domain call, each a check in its pause and a watch now and then.
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


def test_slow_store_is_not_taken_for_one_that_was_away() -> None:
    """Each answer takes longer than a check's pause.

    Taken for an absence, each late answer would end the watch under way,
    and no watch would ever be answered.
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


def test_revision_that_concerns_nobody_is_not_acted_on_for_long() -> None:
    """The store's counter moves with changes that no watch tells.

    Each check then tells of a greater revision. Asked anew each time, the
    store would get more calls than from daemons that only watch.
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


def test_entries_that_lapsed_are_known_again_in_time() -> None:
    """All entries lapse while the store is away, and come back with it.

    For as long as a daemon does not know of them it has nobody to send
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
def test_daemons_that_start_without_the_store_hear_of_its_return(
    seconds: float,
) -> None:
    """All daemons are restarted while the store is away."""

    async def test() -> None:
        fleet = Fleet(13, 3, bound=2.0)
        await _start_with_aligned_watches(fleet)
        fleet.store.stop_answering(fleet.hosts)
        for host in fleet.hosts:
            fleet.restart(host)
        await asyncio.sleep(seconds)
        fleet.store.answer_all_hosts()
        # A first reading that waits in vain is found out by its time limit.
        assert await fleet.measure_propagation() < 2.0 + fleet.bound

    loops.run(test())


@pytest.mark.parametrize("seed", range(1, 9))
def test_reader_that_alone_is_turned_away_hears_from_its_domain(
    seed: int,
) -> None:
    """Readers waited for daemons that are cut off before asking others."""

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
