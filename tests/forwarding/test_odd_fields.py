"""Odd header fields cost their own request alone."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _wire
from sassafrasstair.forwarding import _work_wire
from tests.forwarding import place
from tests.forwarding import test_path

A, B, _ = place.HOSTS
MANY = 3_500 * b"9"
"""More digits than a float or 64 bits hold, within the limit of a head."""
VALUES = (
    b"",
    b"-1",
    b"1e999",
    b"nan",
    b"1_0",
    MANY,
    b"-" + MANY,
    b"999." + MANY,
    b"\xff\xfe",
    b"1 2 3 4 5 6 7 8 9 10",
    b"timeout=" + MANY,
    b"7 i-%s s 5.25 %s 0.5" % (B.encode(), b"9" * 300),
    b"%s i-%s s 5.25 1.5 0.5" % (MANY, B.encode()),
)
SECONDS = 3.0
CLIENT_NAMES = (
    *(place.NAMES.deadline_ms, place.NAMES.key, place.NAMES.target),
    *(place.NAMES.caller, place.NAMES.customer, place.NAMES.rate_limit),
    *(b"Keep-Alive", b"Retry-After", b"Connection", b"Cookie"),
)
DAEMON_NAMES = (
    *(_wire.METADATA_HEADER, _wire.TRIAL_HEADER, _wire.REPEATS_HEADER),
    *(_wire.RATE_LIMIT_HEADER, _wire.LEAVING_HEADER, _wire.STATE_HEADER),
    *(_wire.KEY_DIGEST_HEADER, _work_wire.WORK_HEADER, _feed_wire.HEADER),
    *(_crash_wire.HEADER, _confirmations.HEADER, _feed_wire.SENDER_HEADER),
)
INSTANCE_NAMES = (
    *(place.NAMES.rate_limit, place.NAMES.leaving, place.NAMES.request_id),
    *(place.NAMES.signature, b"Keep-Alive", b"Connection", b"Retry-After"),
)
PEER_PATHS = (
    "/s/",
    _wire.PING_PATH.decode(),
    _feed_wire.VIEW_PATH.decode() + "?after=-1",
    f"{_feed_wire.VIEW_PATH.decode()}?after={MANY.decode()}",
)


class World:
    """A client's daemon on A and an instance on B; errors are collected."""

    def __init__(self) -> None:
        self.cluster = place.Cluster()
        self.errors: list[str] = []
        self.field = b""
        """Added to the instance's next answer."""

    async def start(self) -> None:
        """Start all, and collect what no code handles."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.errors.append(str(context)[:500])
        )
        cluster = self.cluster
        cluster.policy(3, place.route("/s/", "s", True, SECONDS))
        await cluster.upstream(B, "s", self._script)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)

    async def check_sound(self, after: bytes) -> None:
        """Check that a sound request is served."""
        self.field = b""
        assert (await self.cluster.call(A, "/s/")).status == 200, after
        assert not self.errors, (after[:60], self.errors)

    async def _script(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        field, self.field = self.field, b""
        whole = place.signed(got, b"whole")
        writer.write(whole.replace(b"\r\n\r\n", b"\r\n" + field + b"\r\n", 1))


Send = typing.Callable[
    [World, bytes, bytes], typing.Coroutine[typing.Any, typing.Any, None]
]


async def _from_client(world: World, name: bytes, value: bytes) -> None:
    field = b"%s: %s\r\n" % (name, value)
    answer = await world.cluster.call(A, "/s/", headers=field)
    assert answer.status


async def _from_daemon(world: World, name: bytes, value: bytes) -> None:
    field = b"%s: %s\r\n" % (name, value)
    sound = _wire.encode_metadata(
        _wire.RequestMetadata(1, f"i-{B}", "s", 5.0, 1.0, 0.5)
    )
    fields = [field, field + b"%s: %s\r\n" % (_wire.METADATA_HEADER, sound)]
    if name == _wire.METADATA_HEADER:
        fields = fields[:1]
    for path in PEER_PATHS:
        for each in fields:
            answer = await world.cluster.send_to_peer_port(B, path, each)
            assert answer.status, (path[:40], each[:60])


async def _from_instance(world: World, name: bytes, value: bytes) -> None:
    world.field = b"%s: %s\r\n" % (name, value)
    started = asyncio.get_running_loop().time()
    answer = await world.cluster.call(A, "/s/")
    assert answer.status
    assert asyncio.get_running_loop().time() - started < SECONDS / 2


@pytest.mark.parametrize(
    ("send", "name"),
    [
        *((_from_client, name) for name in CLIENT_NAMES),
        *((_from_daemon, name) for name in DAEMON_NAMES),
        *((_from_instance, name) for name in INSTANCE_NAMES),
    ],
    ids=lambda value: value.decode() if isinstance(value, bytes) else "",
)
def test_odd_field_costs_its_own_request_alone(
    send: Send, name: bytes
) -> None:
    """It raised where no code expects it, and others got no answer."""

    async def test() -> None:
        world = World()
        await world.start()
        for value in VALUES:
            await send(world, name, value)
            await world.check_sound(name + b": " + value)

    test_path.run(test())
