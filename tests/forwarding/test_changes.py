"""Tests of requests that are read or run while their limits change."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _daemon
from tests.forwarding import place
from tests.forwarding import test_path

if typing.TYPE_CHECKING:
    from collections import abc

A, B, C = place.HOSTS
BODY = b"12345678"
SETTLE_SECONDS = 0.3
ADDED_ROUTES = 40
LATE_REQUESTS = 10
ROUTE = place.route("/s/", "s", False, 4.0)
OTHER = place.route("/o/", "s", False, 4.0)


class Instance:
    """An instance on B that runs one request at a time, until ``go``."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def serve(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await self.go.wait()
        writer.write(place.signed(got, b"whole"))


def _put(
    cluster: place.Cluster,
    *routes: policies.Route,
    limits: policies.ClientLimits = place.LIMITS,
) -> None:
    cluster.source.put("policy", policies.Policy(4, routes, limits))


def _shorten_timeout(cluster: place.Cluster) -> None:
    _put(cluster, place.route("/s/", "s", False, 0.3))


def _lengthen_timeout(cluster: place.Cluster) -> None:
    _put(cluster, place.route("/s/", "s", False, 30.0))


def _remove_route(cluster: place.Cluster) -> None:
    _put(cluster, OTHER)


def _move_route(cluster: place.Cluster) -> None:
    _put(cluster, place.route("/s/", "t", False, 4.0))


def _shrink_body(cluster: place.Cluster) -> None:
    _put(cluster, ROUTE, limits=policies.ClientLimits(4096, 4, 2.0, 10.0))


def _shorten_idle(cluster: place.Cluster) -> None:
    _put(cluster, ROUTE, limits=policies.ClientLimits(4096, 100, 0.1, 0.2))


def _move_upstream(cluster: place.Cluster) -> None:
    cluster.ports = [*cluster.ports[:3], 1]
    _reload(cluster)


def _shorten_grace(cluster: place.Cluster) -> None:
    cluster.grace = 1.0
    _reload(cluster)


def _shrink_memory(cluster: place.Cluster) -> None:
    cluster.memory_bytes = 8
    _reload(cluster)


def _reload(cluster: place.Cluster) -> None:
    for running in cluster.daemons.values():
        _daemon._reload(running)


async def _ends(change: abc.Callable[[place.Cluster], None]) -> list[int]:
    """Return the status of a request that runs, waits or is half read."""
    cluster = place.Cluster()
    cluster.policy(3, ROUTE)
    instance = Instance()
    await cluster.upstream(B, "s", instance.serve, slots=1)
    await cluster.upstream(C, "t")
    for host, service in ((A, "front"), (B, "s"), (C, "t")):
        await cluster.daemon(host, service)
    await cluster.wait_until_known(A, B, C)
    daemon = cluster.daemons[B].daemon
    calls = []
    for count in (1, 2):
        call = cluster.call(A, "/s/", "POST", BODY)
        calls.append(asyncio.ensure_future(call))
        while len(daemon.executions) < count:
            await asyncio.sleep(0.01)
    reader, writer = await asyncio.open_connection(A, cluster.ports[0])
    _, head = cluster.request("/s/", "POST", len(BODY))
    writer.write(head + BODY[:4])
    await asyncio.sleep(0.05)
    change(cluster)
    await cluster.wait_until_known(A, B, C)
    await asyncio.sleep(SETTLE_SECONDS)
    instance.go.set()
    writer.write(BODY[4:])
    half = await place.read_answer(reader, 0.0)
    writer.close()
    return [(await call).status for call in calls] + [half.status]


@pytest.mark.parametrize(
    ("change", "statuses"),
    [
        (_shorten_timeout, [200, 200, 503]),
        (_lengthen_timeout, [200, 200, 200]),
        (_remove_route, [200, 200, 404]),
        (_move_route, [200, 200, 200]),
        (_shrink_body, [200, 200, 413]),
        (_shorten_idle, [200, 200, 200]),
        (_move_upstream, [200, 503, 503]),
        (_shorten_grace, [200, 200, 200]),
        (_shrink_memory, [200, 200, 503]),
    ],
)
def test_change_loses_no_request_that_was_read(
    change: abc.Callable[[place.Cluster], None], statuses: list[int]
) -> None:
    """A request ended early, since a limit changed while it ran or waited.

    One that is half read follows the limits at the time at which it has been
    read. One that waits for an upstream that is gone by then has not run.
    """

    async def test() -> None:
        assert await _ends(change) == statuses

    test_path.run(test())


def test_instance_that_left_gets_nothing_from_its_queue() -> None:
    """A request was passed on after the drain time, and the instance ended."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s", False, 20.0))
        instance = Instance()
        await cluster.upstream(B, "s", instance.serve, slots=1)
        for host, service in ((A, "front"), (B, "s"), (C, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        calls = [
            asyncio.ensure_future(cluster.call(A, "/s/", "POST", BODY, 20_000))
            for _ in range(3)
        ]
        daemon = cluster.daemons[B].daemon
        while len(daemon.executions) < len(calls):
            await asyncio.sleep(0.01)
        await cluster.upstream(C, "s")
        cluster.put_entry(B, "s", views.InstanceState.LEAVING, slots=1)
        await cluster.wait_until_known(A, B, C)
        await asyncio.sleep(daemon.settings.bounds.drain_seconds + 0.2)
        instance.go.set()
        assert [(await call).status for call in calls] == [200, 200, 200]
        assert len(cluster.upstreams[B].got) == 1
        assert len(cluster.upstreams[C].got) == 2

    test_path.run(test())


def test_instance_whose_entry_vanished_gets_nothing_after_the_drain_time() -> (
    None
):
    """It is the only one of its service, so it is used a while longer.

    A request that was sent last waited for its slot beyond the drain time.
    """

    async def test() -> None:
        cluster = place.Cluster()
        route = place.route("/s/", "s", False, 6.0, objective=4.0)
        cluster.policy(3, route)
        instance = Instance()
        await cluster.upstream(B, "s", instance.serve, slots=1)
        for host, service in ((A, "front"), (B, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B)
        daemon = cluster.daemons[B].daemon
        cluster.source.remove(f"i-{B}")
        await cluster.wait_until_known(A, B)
        gone_at = asyncio.get_running_loop().time()
        calls = []
        for count in (1, 2):
            call = cluster.call(A, "/s/", "POST", BODY, 6000)
            calls.append(asyncio.ensure_future(call))
            while len(daemon.executions) < count:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.2 / count)
        drain = daemon.settings.bounds.drain_seconds
        elapsed = asyncio.get_running_loop().time() - gone_at
        await asyncio.sleep(drain + 0.2 - elapsed)
        instance.go.set()
        assert [(await call).status for call in calls] == [200, 503]
        assert len(cluster.upstreams[B].got) == 1

    test_path.run(test())


@pytest.mark.parametrize("by_cost", [False, True])
def test_routes_that_are_added_are_served_as_the_first(by_cost: bool) -> None:
    """Nothing is known of their load, and they are many."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.admits_by_cost = by_cost
        first = place.route("/s/", "s", True, 4.0)
        added = [
            place.route(f"/added-{number}/", "s", True, 4.0)
            for number in range(ADDED_ROUTES)
        ]
        cluster.policy(3, first)
        await cluster.upstream(B, "s")
        for host, service in ((A, "front"), (B, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B)
        for _ in range(ADDED_ROUTES):
            assert (await cluster.call(A, "/s/")).status == 200
        cluster.policy(4, first, *added)
        await cluster.wait_until_known(A, B)
        for route in added:
            assert (await cluster.call(A, route.prefix)).status == 200

    test_path.run(test())


def _leave(cluster: place.Cluster) -> None:
    cluster.put_entry(B, "s", views.InstanceState.LEAVING)


def _vanish(cluster: place.Cluster) -> None:
    cluster.source.remove(f"i-{B}")


def _freeze_view(view: views.View, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a daemon go on with the instances that it knows now."""
    instances = dict(view.instances)
    known = views.targets(view, "s")
    by_id, targets = views.instance_by_id, views.targets
    monkeypatch.setattr(
        views,
        "instance_by_id",
        lambda of, key: instances.get(key) if of is view else by_id(of, key),
    )
    monkeypatch.setattr(
        views,
        "targets",
        lambda of, service: known if of is view else targets(of, service),
    )


@pytest.mark.parametrize("end", [_leave, _vanish])
def test_instance_that_left_gets_nothing_from_an_entrance_that_is_behind(
    end: abc.Callable[[place.Cluster], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The change is late at one daemon, and known at the instance's."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/s/", "s"))
        for host, service in ((A, "front"), (B, "s"), (C, "s")):
            if service == "s":
                await cluster.upstream(host, service)
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        while not cluster.upstreams[B].got:
            assert (await cluster.call(A, "/s/")).status == 200
        behind = cluster.daemons[A].daemon.view
        _freeze_view(behind, monkeypatch)
        end(cluster)
        await cluster.wait_until_known(B)
        drain = cluster.daemons[B].daemon.settings.bounds.drain_seconds
        await asyncio.sleep(drain + 0.2)
        reached = len(cluster.upstreams[B].got)
        for _ in range(LATE_REQUESTS):
            assert (await cluster.call(A, "/s/")).status == 200
        assert len(cluster.upstreams[B].got) == reached

    test_path.run(test())
