"""Daemons learn the depth of services and limit their repeats by it."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.decisions import requests
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from tests.forwarding import place

A, B, C = place.HOSTS
OTHER_REQUESTS = 100


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""

    async def bounded() -> None:
        await asyncio.wait_for(test, 20.0)

    asyncio.run(bounded())


async def refuse(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )


async def _world(script: place.Script = place.answer) -> place.Cluster:
    """Start a client's VM A, and instances of ``s`` on B and C."""
    cluster = place.Cluster()
    cluster.policy(3, place.route("/s/", "s", True, 2.0))
    for host in (B, C):
        await cluster.upstream(host, "s", script)
    await cluster.daemon(A, "front")
    for host in (B, C):
        await cluster.daemon(host, "s")
    await cluster.wait_until_known(A, B, C)
    return cluster


def _daemon(cluster: place.Cluster, host: str) -> _state.Daemon:
    return cluster.daemons[host].daemon


def _log(cluster: place.Cluster) -> bytes:
    for running in cluster.daemons.values():
        running.daemon.journal.flush_lines()
    return b"".join(cluster.lines)


def _complete_runs(daemon: _state.Daemon) -> None:
    """Let the upstream have completed requests without a call for a while."""
    began = daemon.clock.monotonic() - 10.0
    for step in range(OTHER_REQUESTS):
        requests.note_run(daemon.depths, began + 0.01 * step)


def test_caller_learns_that_a_service_makes_no_calls() -> None:
    """Its next request says that it divides the budget by depth."""

    async def test() -> None:
        cluster = await _world()
        for host in (B, C):
            _complete_runs(_daemon(cluster, host))
        for _ in range(20):
            await cluster.call(A, "/s/a")
        caller = _daemon(cluster, A)
        now = caller.clock.monotonic()
        hop = requests.find_hop(caller.depths, "s", 10.0, now)
        assert hop == requests.Hop(0, True)
        told_at = [
            _daemon(cluster, host).depths.unshared_at for host in (B, C)
        ]
        for _ in range(20):
            await cluster.call(A, "/s/a")
        assert told_at == [
            _daemon(cluster, host).depths.unshared_at for host in (B, C)
        ]

    run(test())


def test_depth_is_learned_through_a_service_in_the_middle() -> None:
    """The instance on B calls ``t`` on C for each request of the client.

    C's daemon takes the route for internal after 20 calls.
    """

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(
            3,
            place.route("/s/", "s", True, 2.0),
            place.route("/t/", "t", True, 2.0),
        )

        async def call_on(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await cluster.call(B, "/t/a")
            await place.answer(got, writer)

        await cluster.upstream(B, "s", call_on)
        await cluster.upstream(C, "t")
        for host, service in ((A, "front"), (B, "s"), (C, "t")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        _complete_runs(_daemon(cluster, C))
        for _ in range(30):
            assert (await cluster.call(A, "/s/a")).status == 200
        middle, caller = _daemon(cluster, B), _daemon(cluster, A)
        now = caller.clock.monotonic()
        assert requests.own_depth(middle.depths, 10.0, now) == 1
        assert requests.depth_of(middle.depths, "t", 10.0, now) == 0
        assert requests.depth_of(caller.depths, "s", 10.0, now) == 1
        assert requests.own_calls(middle.depths, 10.0, now) == 1
        hop = requests.find_hop(caller.depths, "s", 10.0, now)
        assert hop == requests.Hop(1, True, 1)

    run(test())


def test_fields_of_repeats_do_not_reach_upstreams_or_clients() -> None:
    """A client that sends the field is not taken for a daemon."""

    async def test() -> None:
        cluster = await _world()
        for host in (B, C):
            _complete_runs(_daemon(cluster, host))
        for _ in range(10):
            got = await cluster.call(
                A, "/s/a", headers=b"Sassafras-Repeats: depth\r\n"
            )
            assert not any(
                name.startswith(b"sassafras") for name in got.fields
            )
        seen = [
            name
            for host in (B, C)
            for request in cluster.upstreams[host].got
            for name in request.fields
        ]
        assert not any(name.startswith(b"sassafras") for name in seen)

    run(test())


def test_daemon_without_reports_limits_repeats_as_before() -> None:
    """Instances whose daemons don't know their depth yet refuse requests."""

    async def test() -> None:
        cluster = await _world(refuse)
        for _ in range(5):
            await cluster.call(A, "/s/a")
        caller = _daemon(cluster, A)
        window = caller.retry_windows["s"]
        assert window.hop == requests.UNKNOWN_HOP
        assert window.slack == pytest.approx(0.2 * 400.0 / 3)
        assert b"attempt_ended" in _log(cluster)
        assert b"repeats_limited" not in _log(cluster)

    run(test())


def test_allowed_and_denied_repeats_are_counted() -> None:
    """Both instances refuse all requests, and the budget has one repeat."""

    async def test() -> None:
        cluster = await _world(refuse)
        await cluster.call(A, "/s/a")
        caller = _daemon(cluster, A)
        caller.retry_windows["s"].slack = 1.0
        await cluster.call(A, "/s/a")
        assert sorted(caller.counters.repeats.values()) == [1, 1]
        page = _counters.render(caller.counters, {}).decode()
        assert 'sassafrasstair_repeats_total{how="allowed",' in page
        assert 'sassafrasstair_repeats_total{how="denied",' in page
        assert b"over_budget" in _log(cluster)

    run(test())


def test_repeat_series_are_bounded() -> None:
    """A policy with many importances must not create as many series."""
    counters = _counters.new_counters()
    for importance in range(200):
        _counters.count_repeat(counters, importance, "denied")
    assert len(counters.repeats) <= 2 * _counters.IMPORTANCES_MAX + 1
    assert counters.repeats["other", "denied"] > 100


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"depth", True), (None, False), (b"", False), (b"share", False)],
)
def test_unknown_value_is_that_of_another_version(
    value: bytes | None, expected: bool
) -> None:
    assert _wire.decode_repeats(value) is expected


@pytest.mark.parametrize("shares", [True, False])
def test_decoding_reverses_encoding(shares: bool) -> None:
    fields = dict(_wire.repeats_fields(shares))
    assert _wire.decode_repeats(fields.get(_wire.REPEATS_HEADER)) is shares
