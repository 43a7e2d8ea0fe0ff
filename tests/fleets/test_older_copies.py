"""Test restores of the store from a backup, which reuse revisions."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.decisions import views
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
BOUND = 2.0
STABLE_SECONDS = 3.0
"""Time after a restore until changes must spread in time again."""


RETURN_PAUSE = 0.5
CALLS_SECONDS = 5.0
READERS_PER_DOMAIN = 3
"""Daemons per failure domain that may call the store once a second."""
MISSING_CHANGES = (1, 4, 12)
"""Numbers of changes that the backup lacks."""


def _cut(fleet: Fleet) -> None:
    fleet.store.reset_connections(fleet.hosts)


def _unanswered(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts)


def _unnoticed(fleet: Fleet) -> None:
    """Restore the backup without an outage before it."""


def _unnoticed_by_watches(fleet: Fleet) -> None:
    """Keep watches open across the restore, from a revision that is reused."""
    fleet.store.keeps_watches_on_restore = True


ABSENCES = (_cut, _unanswered, _unnoticed, _unnoticed_by_watches)
Absence = typing.Callable[[Fleet], None]


async def _start_settled(fleet: Fleet) -> None:
    await fleet.start()
    await asyncio.sleep(2.0 * fleet.bound)


async def _bring_back_older(
    fleet: Fleet, lost: int, absence: Absence, away: float = 2.5
) -> None:
    """Take the store down, and restore a backup without the last changes."""
    copy = fleet.store.back_up()
    for _ in range(lost):
        await fleet.measure_propagation()
    absence(fleet)
    await asyncio.sleep(away)
    missing = fleet.store.restore(copy)
    fleet.store.answer_all_hosts()
    fleet.store.rewrite(missing)


async def _start_restored(absence: Absence, lost: int) -> Fleet:
    """Return a fleet that has settled after a restore of its store."""
    fleet = Fleet(16, 4, bound=BOUND)
    await _start_settled(fleet)
    await _bring_back_older(fleet, lost, absence)
    await asyncio.sleep(STABLE_SECONDS)
    return fleet


def _knows_era(fleet: Fleet, host: str) -> bool:
    return views.era_of(fleet.daemons[host].view.revision) == fleet.store.era


def _hosts_using(fleet: Fleet, key: str) -> list[str]:
    """Return the hosts whose daemons would send requests to an instance."""
    return [
        host
        for host, daemon in fleet.daemons.items()
        if key in {each.vm for each in views.targets(daemon.view, "s")}
    ]


@pytest.mark.parametrize("lost", MISSING_CHANGES)
@pytest.mark.parametrize("absence", ABSENCES)
def test_change_after_a_restore_spreads_in_time(
    absence: Absence, lost: int
) -> None:
    """New changes reuse revisions that the views have already seen.

    Daemons that compared revisions alone would ignore these changes.
    """

    async def test() -> None:
        fleet = await _start_restored(absence, lost)
        for _ in range(lost):
            assert await fleet.measure_propagation() < fleet.bound
            await asyncio.sleep(1.0)

    loops.run(test())


@pytest.mark.parametrize("lost", MISSING_CHANGES)
@pytest.mark.parametrize("absence", ABSENCES)
def test_instance_that_leaves_after_a_restore_gets_no_requests(
    absence: Absence, lost: int
) -> None:
    """Daemons that miss the change send requests until the entry is gone."""

    async def test() -> None:
        fleet = await _start_restored(absence, lost)
        leaver = fleet.hosts[-1]
        fleet.write_instance(leaver, views.InstanceState.LEAVING)
        await asyncio.sleep(fleet.bound)
        assert not _hosts_using(fleet, f"i-{leaver}")

    loops.run(test())


@pytest.mark.parametrize("returns", [1, 2])
@pytest.mark.parametrize("absence", ABSENCES)
@pytest.mark.parametrize(
    ("count", "domains", "bound"), [(13, 3, 2.0), (69, 4, 2.5)]
)
def test_all_daemons_learn_of_a_restore_soon_with_few_calls(
    count: int, domains: int, bound: float, absence: Absence, returns: int
) -> None:
    """Guard against daemons that all read at once, and late followers."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_settled(fleet)
        loop = asyncio.get_running_loop()
        copy = fleet.store.back_up()
        await fleet.measure_propagation()
        await _bring_back_older(fleet, 4, absence)
        begun = loop.time()
        if returns > 1:
            await asyncio.sleep(RETURN_PAUSE)
            fleet.store.rewrite(fleet.store.restore(copy))
        late = loop.time() + bound
        while not all(_knows_era(fleet, host) for host in fleet.daemons):
            assert loop.time() < late
            await asyncio.sleep(0.01)
        await asyncio.sleep(begun + CALLS_SECONDS - loop.time())
        calls = fleet.store.calls_since(begun).total()
        assert calls <= READERS_PER_DOMAIN * domains * CALLS_SECONDS

    loops.run(test())


@pytest.mark.parametrize(
    ("count", "domains", "bound"), [(65, 3, 2.5), (195, 6, 3.0)]
)
def test_change_after_a_restore_spreads_in_time_in_large_fleets(
    count: int, domains: int, bound: float
) -> None:
    """Readers notice the restore, and tell followers, at different times."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_settled(fleet)
        await _bring_back_older(fleet, 4, _unanswered)
        await asyncio.sleep(STABLE_SECONDS)
        assert await fleet.measure_propagation() < bound

    loops.run(test())


def test_domain_partitioned_in_a_restore_adopts_the_backup() -> None:
    """The domain's daemons keep a greater revision of the earlier era.

    They must not ignore what peers report of the new era.
    """

    async def test() -> None:
        fleet = Fleet(16, 4, bound=BOUND)
        await _start_settled(fleet)
        domain = fleet.hosts_in_domain("d1")
        copy = fleet.store.back_up()
        await fleet.measure_propagation()
        fleet.partition(domain)
        fleet.store.stop_answering(domain)
        await asyncio.sleep(1.0)
        fleet.store.rewrite(fleet.store.restore(copy))
        await fleet.measure_propagation(domain)
        await asyncio.sleep(10.0)
        fleet.network.blocked_links.clear()
        await asyncio.sleep(STABLE_SECONDS)
        assert await fleet.measure_propagation() < fleet.bound

    loops.run(test())


@pytest.mark.parametrize("absence", ABSENCES)
@pytest.mark.parametrize("removed", [False, True])
def test_instance_that_left_before_a_restore_is_not_used_again(
    absence: Absence, removed: bool
) -> None:
    """The backup lists the instance as ready until the change is rewritten."""

    async def test() -> None:
        fleet = Fleet(16, 4, bound=BOUND)
        await _start_settled(fleet)
        leaver = fleet.hosts[-1]
        copy = fleet.store.back_up()
        fleet.write_instance(leaver, views.InstanceState.LEAVING)
        if removed:
            fleet.store.remove(f"i-{leaver}")
        await asyncio.sleep(fleet.bound)
        absence(fleet)
        await asyncio.sleep(1.0)
        missing = fleet.store.restore(copy)
        fleet.store.answer_all_hosts()
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert not _hosts_using(fleet, f"i-{leaver}")
        fleet.store.rewrite(missing)
        await asyncio.sleep(fleet.bound)
        assert not _hosts_using(fleet, f"i-{leaver}")

    loops.run(test())


@pytest.mark.parametrize("seed", range(4))
def test_daemon_that_starts_with_a_stale_reading_misses_no_change(
    seed: int,
) -> None:
    """The daemon's first reading dates from before the restore."""

    async def test() -> None:
        fleet = Fleet(16, 4, seed=seed, bound=BOUND)
        await _start_settled(fleet)
        copy = fleet.store.back_up()
        for _ in range(12):
            await fleet.measure_propagation()
        fleet.store.stale_backup = fleet.store.back_up()
        fleet.store.rewrite(fleet.store.restore(copy))
        await asyncio.sleep(1.0)
        for host in fleet.hosts[::3]:
            fleet.restart(host)
        await asyncio.sleep(STABLE_SECONDS)
        for _ in range(12):
            assert await fleet.measure_propagation() < fleet.bound
            await asyncio.sleep(0.3)

    loops.run(test())
