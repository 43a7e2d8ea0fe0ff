"""The store comes back from an older copy, and gives revisions out again."""

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
"""After the store's return, until changes must be known in time again."""


RETURN_PAUSE = 0.5
CALLS_SECONDS = 5.0
READERS_PER_DOMAIN = 3
"""Daemons of a failure domain that may call the store, once a second."""
MISSING_CHANGES = (1, 4, 12)
"""Changes that the copy lacks."""


def _cut(fleet: Fleet) -> None:
    fleet.store.reset_connections(fleet.hosts)


def _unanswered(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts)


def _unnoticed(fleet: Fleet) -> None:
    """Bring the store back before anybody has asked it."""


def _unnoticed_by_watches(fleet: Fleet) -> None:
    """Let watches wait on, for a revision that comes again."""
    fleet.store.keeps_watches_on_restore = True


ABSENCES = (_cut, _unanswered, _unnoticed, _unnoticed_by_watches)
Absence = typing.Callable[[Fleet], None]


async def _start_settled(fleet: Fleet) -> None:
    await fleet.start()
    await asyncio.sleep(2.0 * fleet.bound)


async def _bring_back_older(
    fleet: Fleet, lost: int, absence: Absence, away: float = 2.5
) -> None:
    """Take the store away, and bring a copy back without the last changes."""
    copy = fleet.store.back_up()
    for _ in range(lost):
        await fleet.measure_propagation()
    absence(fleet)
    await asyncio.sleep(away)
    missing = fleet.store.restore(copy)
    fleet.store.answer_all_hosts()
    fleet.store.rewrite(missing)


async def _start_restored(absence: Absence, lost: int) -> Fleet:
    """Return a fleet whose store came back older, and is stable again."""
    fleet = Fleet(16, 4, bound=BOUND)
    await _start_settled(fleet)
    await _bring_back_older(fleet, lost, absence)
    await asyncio.sleep(STABLE_SECONDS)
    return fleet


def _knows_era(fleet: Fleet, host: str) -> bool:
    return views.era_of(fleet.daemons[host].view.revision) == fleet.store.era


def _hosts_using(fleet: Fleet, key: str) -> list[str]:
    """Return the hosts of the daemons that would send work to an instance."""
    return [
        host
        for host, daemon in fleet.daemons.items()
        if key in {each.vm for each in views.targets(daemon.view, "s")}
    ]


@pytest.mark.parametrize("lost", MISSING_CHANGES)
@pytest.mark.parametrize("absence", ABSENCES)
def test_change_after_the_store_came_back_older_is_in_force_in_time(
    absence: Absence, lost: int
) -> None:
    """Changes got revisions that the views held already, and were lost."""

    async def test() -> None:
        fleet = await _start_restored(absence, lost)
        for _ in range(lost):
            assert await fleet.measure_propagation() < fleet.bound
            await asyncio.sleep(1.0)

    loops.run(test())


@pytest.mark.parametrize("lost", MISSING_CHANGES)
@pytest.mark.parametrize("absence", ABSENCES)
def test_instance_that_leaves_after_the_store_came_back_older(
    absence: Absence, lost: int
) -> None:
    """The instance got work until its entry was removed."""

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
def test_all_know_of_the_return_soon_and_few_ask(
    count: int, domains: int, bound: float, absence: Absence, returns: int
) -> None:
    """All read the store at once, or the last follower knew late."""

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
def test_large_fleets_go_on_from_an_older_copy_as_soon(
    count: int, domains: int, bound: float
) -> None:
    """Followers hear of it from readers that learn of it at other times."""

    async def test() -> None:
        fleet = Fleet(count, domains, bound=bound)
        await _start_settled(fleet)
        await _bring_back_older(fleet, 4, _unanswered)
        await asyncio.sleep(STABLE_SECONDS)
        assert await fleet.measure_propagation() < bound

    loops.run(test())


def test_domain_that_was_cut_off_meanwhile_goes_on_from_the_copy() -> None:
    """Its daemons kept the greater revision, and took nobody's word."""

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
def test_instance_that_has_left_is_not_used_again(
    absence: Absence, removed: bool
) -> None:
    """The copy listed it as ready until its leaving was written again."""

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
def test_daemon_that_starts_with_a_stale_reading_misses_nothing(
    seed: int,
) -> None:
    """Its first reading was of the time before the store came back older."""

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
