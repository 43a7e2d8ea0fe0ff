"""Keys, customers and quotas on the path of a request."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import pytest

from sassafrasstair.decisions import policies
from tests.forwarding import place as place_module

Place = place_module.Cluster
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


async def _started(
    service_here: str = "s",
    customers: tuple[policies.Customer, ...] = CUSTOMERS,
    revocation: float | None = None,
) -> tuple[Place, place_module.Upstream]:
    """Return a place whose first daemon serves, or sends on to the other."""
    place = Place()
    place.customers, place.revocation = customers, revocation
    place.policy(1, CLOSED, OPEN)
    there = ONE if service_here == "s" else OTHER
    upstream = await place.upstream(there, "s")
    for host, service in ((ONE, service_here), (OTHER, "s")):
        await place.daemon(host, service)
    await place.wait_until_known(ONE, OTHER)
    return place, upstream


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
    """A client named another customer, or its key reached an instance."""

    async def test() -> None:
        place, upstream = await _started(service_here)
        answer = await place.call(ONE, path, headers=headers)
        assert answer.status == status
        assert len(upstream.got) == (status == 200)
        for got in upstream.got:
            assert got.fields.get(b"x-customer") == customer
            assert b"x-key" not in got.fields
            assert not any(b"sassafras" in name for name in got.fields)
        assert KEY not in b"".join(place.lines)

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
def test_daemons_port_lets_nobody_name_a_customer(
    key: bytes | None, customer: bytes | None
) -> None:
    """A client that spoke like a daemon ran requests as any customer."""

    async def test() -> None:
        place, upstream = await _started()
        headers = _field(b"Sassafras-Ask", ASK) + FORGED
        if key is not None:
            headers += _field(b"Sassafras-Key", key)
        await place.send_to_peer_port(ONE, "/open/a", headers)
        for got in upstream.got:
            assert got.fields.get(b"x-customer") == customer
        assert len(upstream.got) == (key is None or customer is not None)

    asyncio.run(test())


def test_order_without_a_key_runs_on_open_routes_alone() -> None:
    """A client that spoke like a daemon ran requests without a key."""

    async def test() -> None:
        place, upstream = await _started()
        ask = ASK.replace(b" open ", b" s ")
        await place.send_to_peer_port(
            ONE, "/s/a", _field(b"Sassafras-Ask", ask)
        )
        assert not upstream.got

    asyncio.run(test())


def test_key_that_is_added_or_removed_counts_with_its_version() -> None:
    """A key went on working, or did not begin to, after a change."""

    async def test() -> None:
        place, _ = await _started()
        place.customers = CUSTOMERS[1:]
        place.policy(2, CLOSED, OPEN)
        await place.wait_until_known(ONE, OTHER)
        assert (await place.call(ONE, "/s/a", headers=_key(KEY))).status == 401
        place.customers = CUSTOMERS
        place.policy(3, CLOSED, OPEN)
        await place.wait_until_known(ONE, OTHER)
        assert (await place.call(ONE, "/s/a", headers=_key(KEY))).status == 200

    asyncio.run(test())


@pytest.mark.parametrize("headers", [_key(KEY), _key(b"unknown")])
def test_keys_are_refused_while_the_policy_is_unconfirmed(
    headers: bytes,
) -> None:
    """A daemon without the store accepted keys, or denied them for good."""

    async def test() -> None:
        place, _ = await _started(revocation=2.5)
        answer = await place.call(ONE, "/s/a", headers=_key(KEY))
        while answer.status != 200:
            answer = await place.call(ONE, "/s/a", headers=_key(KEY))
        place.source.away |= {ONE, OTHER}
        await asyncio.sleep(3.0)
        answer = await place.call(ONE, "/s/a", headers=headers)
        assert answer.status == 503
        assert b"retry-after" in answer.fields
        assert (await place.call(ONE, "/open/a")).status == 200

    asyncio.run(test())


def test_clock_that_jumped_over_a_suspension_counts() -> None:
    """The first request after a pause was judged by the age before it."""

    async def test() -> None:
        place, _ = await _started(revocation=2.5)
        answer = await place.call(ONE, "/s/a", headers=_key(KEY))
        while answer.status != 200:
            answer = await place.call(ONE, "/s/a", headers=_key(KEY))
        daemon = place.daemons[ONE].daemon
        daemon.view.confirmed_at -= 2.6
        answer = await place.call(ONE, "/s/a", headers=_key(KEY))
        assert answer.status == 503

    asyncio.run(test())


def test_customer_beyond_its_quota_is_told_when_to_come_back() -> None:
    """Requests beyond a limit ran, or were refused without a time."""

    async def test() -> None:
        limited = dataclasses.replace(CUSTOMERS[0], rate=1.0, burst=4.0)
        place, upstream = await _started(customers=(limited, CUSTOMERS[1]))
        await asyncio.sleep(0.5)
        calls = [place.call(ONE, "/s/a", headers=_key(KEY)) for _ in range(20)]
        answers = await asyncio.gather(*calls)
        refused = [each for each in answers if each.status == 429]
        assert 1 <= len(upstream.got) <= 6
        assert len(refused) == 20 - len(upstream.got)
        assert all(b"retry-after" in each.fields for each in refused)
        other = await place.call(ONE, "/s/a", headers=_key(OTHER_KEY))
        assert other.status == 200

    asyncio.run(test())


def test_request_that_has_not_run_costs_no_token() -> None:
    """What an instance refused was charged to its customer's quota."""

    async def refuse(
        got: place_module.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b"HTTP/1.1 503 No\r\nX-Request: %s\r\nX-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % got.fields[b"x-request"]
        )

    async def test() -> None:
        limited = dataclasses.replace(CUSTOMERS[0], rate=0.5, burst=2.0)
        place, upstream = await _started(customers=(limited,))
        upstream.script = typing.cast("place_module.Script", refuse)
        await asyncio.sleep(1.5)
        statuses = [
            (await place.call(ONE, "/s/a", headers=_key(KEY))).status
            for _ in range(8)
        ]
        assert statuses == [503] * 8

    asyncio.run(test())
