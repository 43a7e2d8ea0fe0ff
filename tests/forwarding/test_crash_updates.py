"""Tests of which messages between daemons carry crash records."""

from __future__ import annotations

import asyncio
import typing

from sassafrasstair.decisions import crashes
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from tests.forwarding import place

A, B, _ = place.HOSTS
PING = _wire.PING_PATH.decode()
HOLD_SECONDS = 8.0
RECORDS_KEY = _crash_wire.HEADER_LOWER


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(test, 20.0))


async def _start_daemon() -> tuple[place.Cluster, _state.Daemon]:
    cluster = place.Cluster()
    cluster.policy(1, place.route("/s/", "s"))
    daemon = (await cluster.daemon(A, "front")).daemon
    await cluster.wait_until_known(A)
    return cluster, daemon


def _record_crash(daemon: _state.Daemon, instance: str) -> None:
    run = crashes.Run(len(daemon.crash_ledger.crashes) + 1, 0.1)
    report = crashes.Report((instance, 1), 0.0, (run,), 0, 0)
    _crashes.receive_reports(daemon, [report], B)


def _digest_field(digest: int) -> bytes:
    return b"%s: %s\r\n" % (_crash_wire.HEADER, _crash_wire.encode(digest))


def _reported(answer: place.Answer) -> list[str]:
    """Return the instances whose crashes an answer reports."""
    _, reports = _crash_wire.decode(answer.fields[RECORDS_KEY])
    return [report.key[0] for report in reports]


def test_probe_takes_no_records_from_the_next_message() -> None:
    """A probe's sender ignores records; they were not sent again for 0.5 s."""

    async def test() -> None:
        cluster, daemon = await _start_daemon()
        behind = _digest_field(0)
        await cluster.send_to_peer_port(A, PING, behind)
        _record_crash(daemon, "i-1")
        probed = await cluster.send_to_peer_port(A, PING, b"")
        assert probed.status == 200
        pinged = await cluster.send_to_peer_port(A, PING, behind)
        assert _reported(pinged) == ["i-1"]

    run(test())


async def _poll(cluster: place.Cluster, digest: int) -> place.Answer:
    """Poll as a daemon whose records have a digest."""
    view = cluster.daemons[A].daemon.view
    path = f"{_feed_wire.VIEW_PATH.decode()}?after={view.revision}"
    fields = b"%s: %.1f\r\n%s: vm.1\r\n" % (
        _feed_wire.HEADER,
        HOLD_SECONDS,
        _feed_wire.SENDER_HEADER,
    )
    return await cluster.send_to_peer_port(
        A, path, fields + _digest_field(digest)
    )


async def _wait_until_broadcast(daemon: _state.Daemon) -> None:
    while daemon.crash_sent_version < daemon.crash_ledger.version:
        await asyncio.sleep(0.01)


def test_new_record_is_sent_right_after_a_full_update() -> None:
    """The pause before a repeated update held back records never sent."""

    async def test() -> None:
        cluster, daemon = await _start_daemon()
        _record_crash(daemon, "i-1")
        assert _reported(await _poll(cluster, 0)) == ["i-1"]
        digest = daemon.crash_ledger.digest
        _record_crash(daemon, "i-2")
        await _wait_until_broadcast(daemon)
        answer = await _poll(cluster, digest)
        assert _reported(answer) == ["i-2"]
        assert answer.seconds < _crash_updates.UPDATE_PAUSE_SECONDS

    run(test())


def test_lost_update_is_repeated_after_the_pause() -> None:
    """The poll after a lost answer was held for its whole hold time."""

    async def test() -> None:
        cluster, daemon = await _start_daemon()
        _record_crash(daemon, "i-1")
        await _wait_until_broadcast(daemon)
        for _ in range(2):
            answer = await _poll(cluster, 0)
            assert _reported(answer) == ["i-1"]
            assert answer.seconds < HOLD_SECONDS / 2

    run(test())
