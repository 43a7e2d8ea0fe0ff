"""The feeds of a fleet over time: cuts, returns, starts, and their cost."""

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
    """A failure domain is cut off from the store and from all others.

    Within it all go on with what they know; what they missed they know
    within a bound of the end.
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


def test_watches_that_hear_nothing_are_found_out() -> None:
    """The watches of one domain's reader hear nothing while changes go on."""

    async def test() -> None:
        fleet = Fleet(36, 3)
        await fleet.start()
        fleet.store.silent_hosts.add(fleet.first_reader("d1"))
        for _ in range(5):
            assert await fleet.measure_propagation() < BOUND
            await asyncio.sleep(0.7)

    loops.run(test())


def test_store_that_is_away_is_left_in_peace() -> None:
    """The store is down for all, and then back.

    Each daemon that asks again and again is one more call that is paid for,
    and all that ask at the return are a flood.
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
        # A silent store holds each call for seconds, a refusing one doesn't.
        assert away <= 3 * _feeds.READERS_MAX * 10
        fleet.store.down = False
        begun = loop.time()
        assert await fleet.measure_propagation() < BOUND
        assert fleet.store.calls_since(begun).total() <= 60

    loops.run(test())


def test_refusing_store_is_asked_by_few() -> None:
    """The store answers 429 to everybody for ten seconds."""

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


def test_nothing_older_is_taken_back() -> None:
    """A daemon that is behind answers one that knows more."""

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


def test_entries_that_lapse_with_the_store_are_used_on() -> None:
    """The store was away, and entries that had lapsed come back with it.

    Only readers see it return; their followers must know, too, that an
    instance whose entry vanishes may live.
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


def test_vm_that_leaves_makes_nobody_read_all_anew() -> None:
    """A VM is replaced, which happens all day at 1,300 of them.

    Half of its failure domain then follows another daemon. What each knows
    counts there, too, so that none is sent the whole view (10 KB here).
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
    """195 daemons, a calm minute: only the readers ask the store."""

    async def test() -> None:
        fleet = Fleet(194, 6)
        await fleet.start()
        begun = asyncio.get_running_loop().time()
        asked = fleet.network.request_count
        await asyncio.sleep(20.0)
        assert len(fleet.store_readers()) == 6
        assert fleet.store.calls_since(begun).total() <= 6 * 5
        # One in a hold from each follower, and the readers' comparisons.
        per_second = (fleet.network.request_count - asked) / 20.0
        assert per_second < 194 / fleet_module.BOUND * 4 + 6 * 3

    loops.run(test())


def test_versions_side_by_side() -> None:
    """A release: every second daemon is of the version before.

    Those answer at once with all that they know and can't be waited at. Who
    would follow one reads the store, and asks nobody again and again.
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
    """Return a daemon's service without the field that asks to wait."""

    def served(exchange: httpio.Exchange) -> None:
        exchange.request.headers.pop(_feed_wire.HEADER_LOWER, None)
        serve(exchange)

    return served


def test_reader_that_only_seems_to_read_is_left() -> None:
    """A reader hangs, but goes on answering those who follow it.

    It tells them of no loss, so they would wait at it for ever.
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


def test_fault_of_our_own_ends_no_feed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Something in the store's answer makes the code raise, once."""
    take = _learning.take_reading
    raised: list[_state.Daemon] = []

    def faulty(daemon: _state.Daemon, reading: object) -> None:
        if len(raised) < 3 and daemon.view.content_revision > 0:
            raised.append(daemon)
            raise KeyError("a fault")
        take(daemon, typing.cast("forwarding.Reading", reading))

    async def test() -> None:
        fleet = Fleet(12, 1)
        await fleet.start()
        monkeypatch.setattr(_learning, "take_reading", faulty)
        assert (
            await fleet.measure_propagation() < BOUND + 3 * _sync.FAULT_SECONDS
        )
        assert len(raised) == 3

    loops.run(test())


def test_entries_that_all_lapse_make_no_flood() -> None:
    """The store was away for so long that all entries lapsed.

    With its return they are gone for a second or two. Daemons that took all
    others for gone read the store themselves, all at once.
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


def test_reader_that_starts_from_an_old_reading_is_not_asked_in_vain() -> None:
    """A reader restarts, and its first reading is three seconds old.

    Its view then goes less far than that of its followers, while its last
    change seems later than theirs. Until its next news, seconds later, each
    of them asked it again and again without a pause.
    """

    async def test() -> None:
        fleet = Fleet(12, 1)
        await fleet.start()
        # Changes that concern nobody move the store's revision only; the
        # reader has read the whole as it was in the middle of them.
        reader = fleet.daemons[fleet.first_reader("d0")]
        old = fleet.store.revision + 5
        fleet.store.revision += 20
        for daemon in fleet.daemons.values():
            daemon.view.revision = fleet.store.revision
        reader.view.content_revision = reader.view.revision = old
        asked = fleet.network.request_count
        await asyncio.sleep(3.0)
        assert fleet.network.request_count - asked < 12 * 3 * 4

    loops.run(test())
