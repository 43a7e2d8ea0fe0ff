"""Tests of API keys, customers and quotas on the path of a request."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import pytest

from sassafrasstair.decisions import policies
from tests.forwarding import place as place_module

Cluster = place_module.Cluster
ONE, OTHER, _ = place_module.HOSTS
KEY, OTHER_KEY = b"key-of-one", b"key-of-two"
CUSTOMERS = (
    policies.Customer("one", (policies.digest_key(KEY),)),
    policies.Customer("two", (policies.digest_key(OTHER_KEY),)),
)
CLOSED = place_module.route("/s/", "s")
OPEN = dataclasses.replace(
    place_module.route("/open/", "s"), anonymous=True, name="open"
)


def _field(name: bytes, value: bytes) -> bytes:
    return b"%s: %s\r\n" % (name, value)


def _key(value: bytes) -> bytes:
    return _field(b"X-Key", value)


async def _start_cluster(
    service_here: str = "s",
    customers: tuple[policies.Customer, ...] = CUSTOMERS,
    revocation: float | None = None,
) -> tuple[Cluster, place_module.Upstream]:
    """Start a cluster with an instance of ``s``.

    It runs on the first host if ``service_here`` is ``s``. Otherwise it runs
    on the other host, to which the first daemon forwards requests.
    """
    cluster = Cluster()
    cluster.customers, cluster.revocation_seconds = customers, revocation
    cluster.policy(1, CLOSED, OPEN)
    there = ONE if service_here == "s" else OTHER
    upstream = await cluster.upstream(there, "s")
    for host, service in ((ONE, service_here), (OTHER, "s")):
        await cluster.daemon(host, service)
    await cluster.wait_until_known(ONE, OTHER)
    return cluster, upstream


FORGED = _field(b"X-Customer", b"two")


@pytest.mark.parametrize("service_here", ["s", "t"])
@pytest.mark.parametrize(
    ("path", "headers", "status", "customer"),
    [
        ("/s/a", _key(KEY), 200, b"one"),
        ("/s/a", _key(OTHER_KEY), 200, b"two"),
        ("/s/a", _key(KEY) + FORGED, 200, b"one"),
        ("/s/a", FORGED + _key(KEY), 200, b"one"),
        ("/s/a", _key(KEY) + _key(OTHER_KEY), 200, b"one"),
        ("/s/a", _key(b"no-such-key"), 401, None),
        ("/s/a", b"", 401, None),
        ("/s/a", FORGED, 401, None),
        ("/open/a", b"", 200, None),
        ("/open/a", FORGED, 200, None),
        ("/open/a", _key(b"no-such-key"), 200, None),
        ("/open/a", _key(KEY) + FORGED, 200, b"one"),
    ],
)
def test_instance_learns_the_customer_and_never_the_key(
    service_here: str,
    path: str,
    headers: bytes,
    status: int,
    customer: bytes | None,
) -> None:
    """No client may pose as another customer, and no key may leak."""

    async def test() -> None:
        cluster, upstream = await _start_cluster(service_here)
        answer = await cluster.call(ONE, path, headers=headers)
        assert answer.status == status
        assert len(upstream.got) == (status == 200)
        for got in upstream.got:
            assert got.fields.get(b"x-customer") == customer
            assert b"x-key" not in got.fields
            assert not any(b"sassafras" in name for name in got.fields)
        assert KEY not in b"".join(cluster.lines)

    asyncio.run(test())


ASK = b"0 i-%s open 5.0 1.0 1.0" % ONE.encode()


@pytest.mark.parametrize(
    ("key", "customer"),
    [
        (None, None),
        (policies.digest_key(KEY).hex().encode(), b"one"),
        (b"one", None),
        (policies.digest_key(b"no-such-key").hex().encode(), None),
    ],
)
def test_forwarded_requests_need_a_known_key_digest(
    key: bytes | None, customer: bytes | None
) -> None:
    """A client that mimics a daemon can't run requests as any customer."""

    async def test() -> None:
        cluster, upstream = await _start_cluster()
        headers = _field(b"Sassafras-Ask", ASK) + FORGED
        if key is not None:
            headers += _field(b"Sassafras-Key", key)
        await cluster.send_to_peer_port(ONE, "/open/a", headers)
        for got in upstream.got:
            assert got.fields.get(b"x-customer") == customer
        assert len(upstream.got) == (key is None or customer is not None)

    asyncio.run(test())


def test_forwarded_request_without_a_key_runs_only_on_open_routes() -> None:
    """A client that mimics a daemon can't run requests without a key."""

    async def test() -> None:
        cluster, upstream = await _start_cluster()
        ask = ASK.replace(b" open ", b" s ")
        await cluster.send_to_peer_port(
            ONE, "/s/a", _field(b"Sassafras-Ask", ask)
        )
        assert not upstream.got

    asyncio.run(test())


def test_added_and_removed_keys_take_effect() -> None:
    """Guards against added or removed keys that do not take effect."""

    async def test() -> None:
        cluster, _ = await _start_cluster()
        cluster.customers = CUSTOMERS[1:]
        cluster.policy(2, CLOSED, OPEN)
        await cluster.wait_until_known(ONE, OTHER)
        assert (
            await cluster.call(ONE, "/s/a", headers=_key(KEY))
        ).status == 401
        cluster.customers = CUSTOMERS
        cluster.policy(3, CLOSED, OPEN)
        await cluster.wait_until_known(ONE, OTHER)
        assert (
            await cluster.call(ONE, "/s/a", headers=_key(KEY))
        ).status == 200

    asyncio.run(test())


@pytest.mark.parametrize("headers", [_key(KEY), _key(b"unknown")])
def test_keys_are_refused_while_the_policy_is_unconfirmed(
    headers: bytes,
) -> None:
    """A daemon cut off from the store can't tell whether a key is valid.

    It must neither accept nor permanently reject a request with a key.
    """

    async def test() -> None:
        cluster, _ = await _start_cluster(revocation=2.5)
        answer = await cluster.call(ONE, "/s/a", headers=_key(KEY))
        while answer.status != 200:
            answer = await cluster.call(ONE, "/s/a", headers=_key(KEY))
        cluster.source.away |= {ONE, OTHER}
        await asyncio.sleep(3.0)
        answer = await cluster.call(ONE, "/s/a", headers=headers)
        assert answer.status == 503
        assert b"retry-after" in answer.fields
        assert (await cluster.call(ONE, "/open/a")).status == 200

    asyncio.run(test())


def test_policy_age_includes_a_suspension() -> None:
    """After a suspension the policy may have become too old.

    The first request must be judged by the age after the suspension.
    """

    async def test() -> None:
        cluster, _ = await _start_cluster(revocation=2.5)
        answer = await cluster.call(ONE, "/s/a", headers=_key(KEY))
        while answer.status != 200:
            answer = await cluster.call(ONE, "/s/a", headers=_key(KEY))
        daemon = cluster.daemons[ONE].daemon
        daemon.view.confirmed_at -= 2.6
        answer = await cluster.call(ONE, "/s/a", headers=_key(KEY))
        assert answer.status == 503

    asyncio.run(test())


def test_customer_over_quota_is_told_when_to_retry() -> None:
    """Guards against requests that exceed a limit, or lack a retry time."""

    async def test() -> None:
        limited = dataclasses.replace(CUSTOMERS[0], rate=1.0, burst=4.0)
        cluster, upstream = await _start_cluster(
            customers=(limited, CUSTOMERS[1])
        )
        await asyncio.sleep(0.5)
        calls = [
            cluster.call(ONE, "/s/a", headers=_key(KEY)) for _ in range(20)
        ]
        answers = await asyncio.gather(*calls)
        refused = [each for each in answers if each.status == 429]
        assert 1 <= len(upstream.got) <= 6
        assert len(refused) == 20 - len(upstream.got)
        assert all(b"retry-after" in each.fields for each in refused)
        other = await cluster.call(ONE, "/s/a", headers=_key(OTHER_KEY))
        assert other.status == 200

    asyncio.run(test())


def test_request_that_has_not_run_uses_no_token() -> None:
    """A request that its instance refused must not use up the quota."""

    async def refuse(
        got: place_module.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b"HTTP/1.1 503 No\r\nX-Request: %s\r\nX-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % got.fields[b"x-request"]
        )

    async def test() -> None:
        limited = dataclasses.replace(CUSTOMERS[0], rate=0.5, burst=2.0)
        cluster, upstream = await _start_cluster(customers=(limited,))
        upstream.script = typing.cast("place_module.Script", refuse)
        await asyncio.sleep(1.5)
        statuses = [
            (await cluster.call(ONE, "/s/a", headers=_key(KEY))).status
            for _ in range(8)
        ]
        assert statuses == [503] * 8

    asyncio.run(test())
