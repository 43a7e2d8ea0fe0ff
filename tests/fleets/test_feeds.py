"""Test the feeds of a fleet in partitions, outages and restarts."""

from __future__ import annotations

import asyncio
import typing

from sassafrasstair.decisions.feeds import _feeds
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _sync
from tests.fleets import fleet as fleet_module
from tests.fleets import loops
from tests.fleets import networks

if typing.TYPE_CHECKING:
    import pytest

    from sassafrasstair import forwarding
    from sassafrasstair import httpio

Fleet = fleet_module.Fleet
BOUND = fleet_module.BOUND


def test_domain_that_is_cut_off_catches_up_at_once() -> None:
    """A failure domain is partitioned from the store and all other domains.

    Its daemons keep the policy that they have, and must know what they
    missed within the bound after the partition heals.
    """

    async def test() -> None:
        fleet = Fleet(36, 3)
        await fleet.start()
        domain = fleet.hosts_in_domain("d0")
        fleet.partition(domain)
        fleet.store.silent_hosts |= domain
        assert await fleet.measure_propagation(domain) < BOUND
        await asyncio.sleep(12.0)
        assert set(fleet.hosts_behind()) == domain
        fleet.network.blocked_links.clear()
        fleet.store.silent_hosts.clear()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while fleet.hosts_behind():
            await asyncio.sleep(0.01)
        assert loop.time() - begun < BOUND

    loops.run(test())


def test_stalled_watches_are_detected() -> None:
    """The store stops answering one domain's reader while changes go on."""

    async def test() -> None:
        fleet = Fleet(36, 3)
        await fleet.start()
        fleet.store.silent_hosts.add(fleet.first_reader("d1"))
        for _ in range(5):
            assert await fleet.measure_propagation() < BOUND
            await asyncio.sleep(0.7)

    loops.run(test())


def test_unavailable_store_gets_few_calls() -> None:
    """The store is down for all daemons, and then returns.

    Each retry is a call that is paid for, and calls by all daemons at the
    store's return would overload it.
    """

    async def test() -> None:
        fleet = Fleet(96, 3)
        await fleet.start()
        fleet.store.down = True
        await asyncio.sleep(_feeds.WATCH_SECONDS + 4.0)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(10.0)
        away = fleet.store.calls_since(begun).total()
        # Calls to a silent store take seconds to time out; refusals do not.
        assert away <= 3 * _feeds.READERS_MAX * 10
        fleet.store.down = False
        begun = loop.time()
        assert await fleet.measure_propagation() < BOUND
        assert fleet.store.calls_since(begun).total() <= 60

    loops.run(test())


def test_refusing_store_gets_few_calls() -> None:
    """The store answers 429 to all daemons for ten seconds."""

    async def test() -> None:
        fleet = Fleet(96, 3)
        await fleet.start()
        fleet.store.refused_hosts |= set(fleet.hosts)
        await asyncio.sleep(_feeds.WATCH_SECONDS + 4.0)
        begun = asyncio.get_running_loop().time()
        await asyncio.sleep(10.0)
        calls = fleet.store.calls_since(begun).total()
        assert calls <= 3 * _feeds.READERS_MAX * 10 * 2
        fleet.store.refused_hosts.clear()
        assert await fleet.measure_propagation() < BOUND

    loops.run(test())


def test_no_daemon_adopts_an_older_policy() -> None:
    """A daemon with an older policy answers daemons with a newer one."""

    async def test() -> None:
        fleet = Fleet(12, 3)
        await fleet.start()
        reader = fleet.first_reader("d0")
        hosts = fleet.hosts_in_domain("d0") - {reader}
        fleet.store.silent_hosts.add(reader)
        fleet.network.frozen_hosts.add(reader)
        await fleet.measure_propagation({reader})
        fleet.network.frozen_hosts.clear()
        seen = {host: 0 for host in hosts}
        for _ in range(200):
            await asyncio.sleep(0.02)
            for host in hosts:
                version = fleet_module.policy_version_of(fleet.daemons[host])
                assert version >= seen[host]
                seen[host] = version
        assert not fleet.hosts_behind()

    loops.run(test())


def test_entries_that_lapse_in_an_outage_stay_in_use() -> None:
    """An entry lapses during an outage of the store.

    Only readers see the store return. Their followers, too, must learn that
    the instance of the missing entry may still be running.
    """

    async def test() -> None:
        fleet = Fleet(12, 3)
        await fleet.start()
        fleet.store.refused_hosts |= set(fleet.hosts)
        await asyncio.sleep(_feeds.WATCH_SECONDS + 2.0)
        gone = fleet.hosts[-1]
        fleet.store.remove(f"i-{gone}")
        fleet.store.refused_hosts.clear()
        trusted: dict[str, bool] = {}
        for _ in range(200):
            await asyncio.sleep(0.02)
            for host, daemon in fleet.daemons.items():
                lapsed = daemon.view.lapsed.get(f"i-{gone}")
                if lapsed is not None:
                    trusted[host] = lapsed.may_have_expired
        assert trusted == dict.fromkeys(fleet.hosts, True)

    loops.run(test())


def test_replaced_vm_causes_no_full_readings() -> None:
    """A VM is replaced, which happens all day in a fleet of 1,300 VMs.

    Half of its failure domain then follows another daemon. Followers go on
    from the revision that they have, so that the new parent need not send
    any of them the whole view (10 KB here).
    """

    async def test() -> None:
        fleet = Fleet(96, 3)
        await fleet.start()
        reader = fleet.first_reader("d0")
        sent = fleet.network.body_bytes
        fleet.store.remove(f"i-{reader}")
        fleet.kill(reader)
        await asyncio.sleep(_feeds.VANISHED_HOST_SECONDS + BOUND)
        await fleet.measure_propagation()
        await asyncio.sleep(BOUND)
        moved = sum(
            daemon.feed.parent_since > 8.0 for daemon in fleet.daemons.values()
        )
        assert moved > 10
        assert fleet.network.body_bytes - sent < 60_000

    loops.run(test())


def test_calm_fleet_makes_few_calls() -> None:
    """Without changes, only the readers of a large fleet call the store."""

    async def test() -> None:
        fleet = Fleet(194, 6)
        await fleet.start()
        begun = asyncio.get_running_loop().time()
        asked = fleet.network.request_count
        await asyncio.sleep(20.0)
        assert len(fleet.store_readers()) == 6
        assert fleet.store.calls_since(begun).total() <= 6 * 5
        # Held polls of the followers, and the readers' comparisons.
        per_second = (fleet.network.request_count - asked) / 20.0
        assert per_second < 194 / fleet_module.BOUND * 4 + 6 * 3

    loops.run(test())


def test_mixed_releases_spread_changes_in_time() -> None:
    """Every second daemon runs the release before held polls.

    Such a daemon answers each request at once with its whole view and can
    not hold a poll. Daemons that would follow it read the store instead of
    polling it without a pause.
    """

    async def test() -> None:
        fleet = Fleet(36, 3)
        await fleet.start()
        for host in fleet.hosts[::2]:
            fleet.network.handlers[host] = _without_poll_header(
                fleet.network.handlers[host]
            )
        asked = fleet.network.request_count
        for _ in range(4):
            assert await fleet.measure_propagation() < BOUND
            await asyncio.sleep(2.0)
        assert fleet.network.request_count - asked < 36 * 8 * 4

    loops.run(test())


def _without_poll_header(serve: networks.Handler) -> networks.Handler:
    """Return a handler that ignores the header asking to hold a poll."""

    def handle(exchange: httpio.Exchange) -> None:
        exchange.request.headers.pop(_feed_wire.HEADER_LOWER, None)
        serve(exchange)

    return handle


def test_reader_whose_feed_hangs_is_abandoned() -> None:
    """A reader's feed hangs while the reader still answers its followers.

    It does not report that it lost the store, so without a limit on its
    age they would follow it for ever.
    """

    async def test() -> None:
        fleet = Fleet(12, 1)
        await fleet.start()
        reader = fleet.first_reader("d0")
        fleet.tasks[reader][0].cancel()
        await asyncio.sleep(0.1)
        limit = _feeds.PEER_AGE_SECONDS_MAX + BOUND
        assert await fleet.measure_propagation({reader}) < limit

    loops.run(test())


def test_unexpected_exception_ends_no_feed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Handling an answer of the store raises an unexpected exception."""
    take_reading = _learning.take_reading
    raised: list[_state.Daemon] = []

    def faulty(daemon: _state.Daemon, reading: object) -> None:
        if len(raised) < 3 and daemon.view.content_revision > 0:
            raised.append(daemon)
            raise KeyError("a fault")
        take_reading(daemon, typing.cast("forwarding.Reading", reading))

    async def test() -> None:
        fleet = Fleet(12, 1)
        await fleet.start()
        monkeypatch.setattr(_learning, "take_reading", faulty)
        assert (
            await fleet.measure_propagation() < BOUND + 3 * _sync.FAULT_SECONDS
        )
        assert len(raised) == 3

    loops.run(test())


def test_lapse_of_all_entries_causes_few_calls() -> None:
    """All entries lapse during a long outage of the store.

    After its return the entries are missing for a second or two. Daemons
    that then took all others for gone would all read the store at once.
    """

    async def test() -> None:
        fleet = Fleet(96, 3)
        await fleet.start()
        fleet.store.down = True
        await asyncio.sleep(_feeds.WATCH_SECONDS + 4.0)
        for host in fleet.hosts:
            fleet.store.remove(f"i-{host}")
        fleet.store.down = False
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number, host in enumerate(fleet.hosts):
            loop.call_later(1.0 + number / 100, fleet.write_instance, host)
        await asyncio.sleep(4.0)
        assert not fleet.hosts_behind()
        assert len(fleet.store_readers()) <= 3 * _feeds.READERS_MAX
        assert fleet.store.calls_since(begun).total() <= 60

    loops.run(test())


def test_reader_with_a_stale_reading_is_not_polled_without_pause() -> None:
    """A restarted reader's first reading is three seconds old.

    Its revision is then lower than that of its followers, while its last
    change seems later than theirs. Until its next change, seconds later,
    each follower would poll it again without a pause.
    """

    async def test() -> None:
        fleet = Fleet(12, 1)
        await fleet.start()
        # Changes to other keys raise only the store's revision. The reader's
        # full reading dates from between these changes.
        reader = fleet.daemons[fleet.first_reader("d0")]
        stale_revision = fleet.store.revision + 5
        fleet.store.revision += 20
        for daemon in fleet.daemons.values():
            daemon.view.revision = fleet.store.revision
        reader.view.content_revision = reader.view.revision = stale_revision
        asked = fleet.network.request_count
        await asyncio.sleep(3.0)
        assert fleet.network.request_count - asked < 12 * 3 * 4

    loops.run(test())
