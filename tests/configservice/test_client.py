from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import typing
import urllib.parse

import aiohttp
from aiohttp import client_reqrep
import pytest

from sassafrasstair import configservice

if typing.TYPE_CHECKING:
    from collections import abc

PREFIX = configservice.BUNDLES_PREFIX
URLS = ("http://127.0.0.1:1", "http://127.0.0.1:2")


def _pairs(value: bytes) -> bytes:
    text = base64.b64encode(value).decode()
    return json.dumps(
        [{"Key": PREFIX + "all", "Value": text, "ModifyIndex": 7, "Flags": 0}]
    ).encode()


@dataclasses.dataclass
class _Reply:
    """Fake response, which is also its own context manager and content."""

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def content(self) -> _Reply:
        return self

    async def iter_any(self) -> abc.AsyncIterator[bytes]:
        yield self.body

    async def __aenter__(self) -> _Reply:
        return self

    async def __aexit__(self, *error: object) -> None:
        return


@dataclasses.dataclass
class _Http:
    replies: dict[int, _Reply | Exception]

    def get(self, url: str, **options: object) -> _Reply:
        reply = self.replies[urllib.parse.urlsplit(url).port or 0]
        if isinstance(reply, Exception):
            raise reply
        return reply


def _reply(status: int = 200, body: bytes = b"[]", index: str = "7") -> _Reply:
    return _Reply(status, body, {"X-Consul-Index": index})


def _watch(
    replies: dict[int, _Reply | Exception], index: int = 5
) -> configservice.Snapshot:
    http = typing.cast("aiohttp.ClientSession", _Http(replies))
    client = configservice.Client(http, URLS)
    return asyncio.run(client.watch(PREFIX, index, 0.1))


def _refused() -> Exception:
    key = client_reqrep.ConnectionKey(
        "127.0.0.1", 1, False, True, None, None, None
    )
    return aiohttp.ClientConnectorError(key, OSError("refused"))


def test_values_are_decoded() -> None:
    snapshot = _watch({1: _reply(body=_pairs(b"one"))})
    assert snapshot == configservice.Snapshot(7, {PREFIX + "all": b"one"})


def test_no_key_is_an_empty_snapshot() -> None:
    snapshot = _watch({1: _reply(404, b"", "6")})
    assert snapshot == configservice.Snapshot(6, {})


def test_second_address_is_tried_when_the_first_is_unreachable() -> None:
    replies: dict[int, _Reply | Exception] = {
        1: _refused(),
        2: _reply(),
    }
    assert _watch(replies).index == 7


def test_index_that_goes_back_resets_to_zero() -> None:
    """Guard against a watch that misses changes after a restore.

    A service that is restored from an older state has an index below the
    one that the daemon waits for. Consul tells clients to start at 0 again.
    """
    assert _watch({1: _reply(index="4")}, index=5).index == 0


@pytest.mark.parametrize(
    ("reply", "reason"),
    [
        (_reply(500), configservice.Reason.BAD_STATUS),
        (_reply(index="x"), configservice.Reason.MALFORMED),
        (_reply(index=""), configservice.Reason.MALFORMED),
        (_reply(body=b'[{"Key"'), configservice.Reason.MALFORMED),
        (
            _reply(body=b'[{"Key": "a", "Value": "%"}]'),
            configservice.Reason.MALFORMED,
        ),
        (
            _reply(body=_pairs(bytes(1_000_001))),
            configservice.Reason.TOO_LARGE,
        ),
        (_reply(body=bytes(6_000_001)), configservice.Reason.TOO_LARGE),
        (aiohttp.SocketTimeoutError("late"), configservice.Reason.TIMEOUT),
        (_refused(), configservice.Reason.UNREACHABLE),
        (
            aiohttp.ServerDisconnectedError("cut"),
            configservice.Reason.CUT_SHORT,
        ),
    ],
)
def test_unusable_response_raises_with_its_reason(
    reply: _Reply | Exception, reason: configservice.Reason
) -> None:
    with pytest.raises(configservice.PlatformError) as caught:
        _watch({1: reply, 2: reply})
    assert caught.value.reason is reason
