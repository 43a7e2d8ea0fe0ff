"""Test that daemons refuse a revoked key in time, despite faults."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _customers as customers_module
from tests.fleets import fleet as fleet_module
from tests.fleets import loops

Fleet = fleet_module.Fleet
REVOCATION = 5.0
PROPAGATION = 2.5
KEY = policies.digest_key(b"k")
OTHER_KEY = policies.digest_key(b"other")
ADDED_KEY = policies.digest_key(b"added")
REWRITE_SECONDS = 1.8
"""From a restore until the writes that the backup lacks are there again."""
MIN_SERVING_SHARE = 0.6
"""Share of the bound for which a daemon without the store must serve."""


def _fleet(count: int = 24) -> Fleet:
    return Fleet(
        count,
        4,
        bound=PROPAGATION,
        customers=_customers(KEY, OTHER_KEY),
        revocation_bound=REVOCATION,
    )


def _customers(*keys: bytes) -> tuple[policies.Customer, ...]:
    return (policies.Customer("c1", keys),)


def _accepts(fleet: Fleet, host: str, key: bytes = KEY) -> bool:
    """Return whether a daemon would accept a request with a key now."""
    daemon = fleet.daemons[host]
    table = daemon.view.table
    if table is None or key not in (table.customers_by_key_digest or {}):
        return False
    return _confirmations.is_fresh(daemon, daemon.clock.monotonic())


def _denies(fleet: Fleet, host: str, key: bytes) -> bool:
    """Return whether a daemon would answer a key with 401 now."""
    daemon = fleet.daemons[host]
    table = daemon.view.table
    if table is None or key in (table.customers_by_key_digest or {}):
        return False
    now = daemon.clock.monotonic()
    return not customers_module.may_be_outdated(daemon, now)


async def _start_settled(fleet: Fleet) -> None:
    await fleet.start()
    await asyncio.sleep(4.0)


def _revoke(fleet: Fleet) -> float:
    fleet.customers = _customers(OTHER_KEY)
    fleet.publish_policy()
    return asyncio.get_running_loop().time()


def _all_silent(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts)


def _third_silent(fleet: Fleet) -> None:
    fleet.store.stop_answering(fleet.hosts[::3])


def _readers_reset(fleet: Fleet) -> None:
    fleet.store.reset_connections(fleet.store_readers())


def _domain_cut(fleet: Fleet) -> None:
    domain = fleet.hosts_in_domain("d1")
    fleet.partition(domain)
    fleet.store.stop_answering(domain)


def _domain_cut_from_peers(fleet: Fleet) -> None:
    fleet.partition(fleet.hosts_in_domain("d1"))


def _watches_stall(fleet: Fleet) -> None:
    fleet.store.watches_stalled = True


def _reader_alone(fleet: Fleet) -> None:
    reader = fleet.first_reader("d2")
    fleet.partition({reader})
    fleet.store.stop_answering({reader})


FAULTS = (
    _all_silent,
    _third_silent,
    _readers_reset,
    _domain_cut,
    _domain_cut_from_peers,
    _watches_stall,
    _reader_alone,
)
Fault = typing.Callable[[Fleet], None]


@pytest.mark.parametrize("pause", [0.0, 0.7, 2.0, 4.0])
@pytest.mark.parametrize("fault", FAULTS)
def test_revoked_key_is_refused_in_time(fault: Fault, pause: float) -> None:
    """A daemon that misses the revocation must not go on accepting the key."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        fault(fleet)
        await asyncio.sleep(pause)
        revoked = _revoke(fleet)
        loop = asyncio.get_running_loop()
        while loop.time() < revoked + 3.0 * REVOCATION:
            await asyncio.sleep(0.05)
            if loop.time() > revoked + REVOCATION:
                assert not [h for h in fleet.daemons if _accepts(fleet, h)]

    loops.run(test())


@pytest.mark.parametrize("count", [24, 96])
def test_valid_key_is_always_accepted_without_faults(count: int) -> None:
    """Without faults, no daemon may take its policy for unconfirmed."""

    async def test() -> None:
        fleet = _fleet(count)
        await _start_settled(fleet)
        for _ in range(300):
            await asyncio.sleep(0.05)
            assert all(_accepts(fleet, host) for host in fleet.daemons)

    loops.run(test())


@pytest.mark.parametrize("fault", [_third_silent, _readers_reset])
def test_valid_key_is_accepted_while_some_daemons_reach_the_store(
    fault: Fault,
) -> None:
    """Daemons without the store must not refuse all customers.

    Their peers can still confirm the policy to them.
    """

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        fault(fleet)
        for _ in range(200):
            await asyncio.sleep(0.05)
            assert all(_accepts(fleet, host) for host in fleet.daemons)

    loops.run(test())


def test_valid_key_is_accepted_for_a_while_without_the_store() -> None:
    """Customers must not be refused sooner than revocation requires."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        _all_silent(fleet)
        begun = asyncio.get_running_loop().time()
        share = 0.0
        while asyncio.get_running_loop().time() < begun + 2.0:
            await asyncio.sleep(0.05)
            found = [_accepts(fleet, host) for host in fleet.daemons]
            share = sum(found) / len(found)
            assert share == 1.0
        await asyncio.sleep(2.0 * REVOCATION)
        assert not any(_accepts(fleet, host) for host in fleet.daemons)
        fleet.store.answer_all_hosts()
        await asyncio.sleep(2.5)
        assert all(_accepts(fleet, host) for host in fleet.daemons)

    loops.run(test())


def test_restarted_daemon_waits_for_a_confirmation() -> None:
    """A restarted daemon may have read stale data with a revoked key."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        host = sorted(fleet.hosts_in_domain("d1"))[0]
        fleet.partition({host})
        fleet.restart(host)
        for _ in range(100):
            await asyncio.sleep(0.02)
            daemon = fleet.daemons[host]
            if daemon.feed.parent is None:
                assert not _accepts(fleet, host)
        assert _accepts(fleet, host)

    loops.run(test())


def test_confirmations_cost_few_calls() -> None:
    """Calls are paid for, and all readers share the store's rate limit."""

    async def test() -> None:
        fleet = _fleet(96)
        await _start_settled(fleet)
        begun = asyncio.get_running_loop().time()
        await asyncio.sleep(20.0)
        calls = fleet.store.calls_since(begun)
        assert calls["check_latest"] <= 4 * 20.0
        assert calls["policy"] == 0

    loops.run(test())


@pytest.mark.parametrize("away", [1.0, 2.5, 4.0])
def test_restored_backup_does_not_confirm_a_revoked_key(
    away: float,
) -> None:
    """The backup holds the policy from before the revocation.

    A confirmation of that policy must not let daemons accept the key.
    """

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        fleet.store.reset_connections(fleet.hosts)
        copy = fleet.store.back_up()
        revoked = _revoke(fleet)
        await asyncio.sleep(away)
        missing = fleet.store.restore(copy)
        fleet.store.answer_all_hosts()
        loop = asyncio.get_running_loop()
        rewrite = loop.call_later(
            REWRITE_SECONDS, fleet.store.rewrite, missing
        )
        while loop.time() < revoked + 3.0 * REVOCATION:
            await asyncio.sleep(0.05)
            if loop.time() > revoked + REVOCATION:
                assert not [h for h in fleet.daemons if _accepts(fleet, h)]
        assert rewrite.when() < loop.time()
        assert all(_accepts(fleet, h, OTHER_KEY) for h in fleet.daemons)

    loops.run(test())


@pytest.mark.parametrize("later", [0.0, 0.02, 0.5, 1.0, 1.5])
def test_reader_that_starts_after_a_restore_denies_no_valid_key(
    later: float,
) -> None:
    """It knows of no restore, and the backup lacks the key's policy."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        copy = fleet.store.back_up()
        fleet.customers = _customers(KEY, OTHER_KEY, ADDED_KEY)
        fleet.publish_policy()
        loop = asyncio.get_running_loop()
        added = loop.time()
        await asyncio.sleep(PROPAGATION)
        reader = fleet.first_reader("d1")
        missing = fleet.store.restore(copy)
        loop.call_later(REWRITE_SECONDS, fleet.store.rewrite, missing)
        loop.call_later(later, fleet.restart, reader)
        while loop.time() < added + 10.0:
            await asyncio.sleep(0.02)
            denied = [h for h in fleet.daemons if _denies(fleet, h, ADDED_KEY)]
            assert not denied
            if loop.time() > added + 8.0:
                unknown = policies.digest_key(b"unknown")
                assert all(_denies(fleet, h, unknown) for h in fleet.daemons)

    loops.run(test())


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("others_later", [0.0, 1.0])
def test_confirmation_of_a_backup_reaches_no_daemon_before_the_restore(
    others_later: float, seed: int
) -> None:
    """A reader that had just started confirmed the backup to its peers.

    The backup lacks a policy that was written while no daemon reached the
    store, so all of them have the version that the reader confirms.
    """

    async def test() -> None:
        fleet = _fleet()
        fleet.seed = seed
        await _start_settled(fleet)
        fleet.store.reset_connections(fleet.hosts)
        copy = fleet.store.back_up()
        fleet.customers = _customers(KEY, OTHER_KEY, ADDED_KEY)
        fleet.publish_policy()
        loop = asyncio.get_running_loop()
        added = loop.time()
        await asyncio.sleep(PROPAGATION)
        reader = feeds.reader_hosts(fleet.hosts_in_domain("d1"))[0]
        fleet.restart(reader)
        missing = fleet.store.restore(copy)
        loop.call_later(REWRITE_SECONDS, fleet.store.rewrite, missing)
        fleet.store.refused_hosts.discard(reader)
        loop.call_later(others_later, fleet.store.answer_all_hosts)
        while loop.time() < added + 9.0:
            await asyncio.sleep(0.02)
            denied = [h for h in fleet.daemons if _denies(fleet, h, ADDED_KEY)]
            assert not denied

    loops.run(test())


def test_reader_that_starts_after_a_restore_refuses_a_revoked_key() -> None:
    """It knows of no restore, and the backup still has the revoked key."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        copy = fleet.store.back_up()
        revoked = _revoke(fleet)
        await asyncio.sleep(REVOCATION - 0.5)
        reader = fleet.first_reader("d1")
        missing = fleet.store.restore(copy)
        loop = asyncio.get_running_loop()
        loop.call_later(REWRITE_SECONDS, fleet.store.rewrite, missing)
        loop.call_later(0.02, fleet.restart, reader)
        await asyncio.sleep(revoked + REVOCATION - loop.time())
        while loop.time() < revoked + 2.0 * REVOCATION:
            await asyncio.sleep(0.02)
            assert not [h for h in fleet.daemons if _accepts(fleet, h)]

    loops.run(test())


def _readers(fleet: Fleet) -> list[str]:
    return fleet.store_readers()


def _domain(fleet: Fleet) -> list[str]:
    return sorted(fleet.hosts_in_domain("d1"))


def _follower(fleet: Fleet) -> list[str]:
    return [h for h in fleet.hosts if h not in fleet.store_readers()][:1]


STARTS = (_readers, _domain, _follower)
Starts = typing.Callable[[Fleet], list[str]]


@pytest.mark.parametrize("later", [0.02, 0.5, 1.5])
@pytest.mark.parametrize("starts", STARTS)
def test_daemons_that_start_after_a_restore_refuse_a_revoked_key(
    starts: Starts, later: float
) -> None:
    """Peers that start as well do not know of the revocation either."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        copy = fleet.store.back_up()
        revoked = _revoke(fleet)
        await asyncio.sleep(REVOCATION - 0.5)
        missing = fleet.store.restore(copy)
        loop = asyncio.get_running_loop()
        loop.call_later(REWRITE_SECONDS, fleet.store.rewrite, missing)
        for host in starts(fleet):
            loop.call_later(later, fleet.restart, host)
        await asyncio.sleep(revoked + REVOCATION - loop.time())
        while loop.time() < revoked + 2.0 * REVOCATION:
            await asyncio.sleep(0.02)
            assert not [h for h in fleet.daemons if _accepts(fleet, h)]
        assert all(_accepts(fleet, h, OTHER_KEY) for h in fleet.daemons)

    loops.run(test())


@pytest.mark.parametrize("starts", STARTS)
def test_start_accepts_a_valid_key_at_once(starts: Starts) -> None:
    """A daemon must not wait for its peers longer than they take."""

    async def test() -> None:
        fleet = _fleet()
        await _start_settled(fleet)
        hosts = starts(fleet)
        for host in hosts:
            fleet.restart(host)
        await asyncio.sleep(0.2)
        assert all(_accepts(fleet, host) for host in hosts)

    loops.run(test())
