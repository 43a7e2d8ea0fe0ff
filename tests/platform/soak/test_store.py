"""Tests of the stand-in of the store that a soak disturbs."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
import typing

from tests.platform.soak import store as store_module

if typing.TYPE_CHECKING:
    from sassafrasstair import httpio

POLICY = "op/config"


@dataclasses.dataclass
class _Request:
    target: bytes


@dataclasses.dataclass
class _Exchange:
    """Keeps the body of an answer."""

    request: _Request
    body: bytes = b""

    def respond(self, status: int, fields: object, body: bytes) -> None:
        self.body = body


async def _policy(store: store_module.Store) -> str:
    """Return the policy as a daemon reads it."""
    exchange = _Exchange(_Request(b"/-/kv-key?key=op%2Fconfig"))
    await store._answer(typing.cast("httpio.Exchange", exchange))
    value = base64.b64decode(json.loads(exchange.body)["value"])
    return str(json.loads(value)["version"])


def test_change_lost_by_two_restores_is_written_again() -> None:
    """The second restore forgot what the first had lost, for good."""

    async def test() -> None:
        store = store_module.Store()
        store.put(POLICY, {"version": "r1"})
        first = store.copy()
        store.put(POLICY, {"version": "r2"})
        second = store.copy()
        store.put(POLICY, {"version": "r3"})
        store.restore(second)
        assert await _policy(store) == "r2"
        store.restore(first)
        assert await _policy(store) == "r1"
        store.write_again()
        assert await _policy(store) == "r3"

    asyncio.run(test())


def test_change_since_a_restore_is_not_undone() -> None:
    """What was lost is older than what has been written since."""

    async def test() -> None:
        store = store_module.Store()
        store.put(POLICY, {"version": "r1"})
        copy = store.copy()
        store.put(POLICY, {"version": "r2"})
        store.restore(copy)
        store.put(POLICY, {"version": "r3"})
        store.restore(copy)
        store.write_again()
        assert await _policy(store) == "r3"

    asyncio.run(test())


def test_lost_change_is_there_in_time_after_a_stall() -> None:
    """A soak that stood still served the copy for longer than it may."""

    async def test() -> None:
        store = store_module.Store()
        store.put(POLICY, {"version": "r1"})
        copy = store.copy()
        store.put(POLICY, {"version": "r2"})
        store.restore(copy, 0.02)
        time.sleep(0.03)
        assert await _policy(store) == "r2"

    asyncio.run(test())
