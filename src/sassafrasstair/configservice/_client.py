"""Reads and watches of the configuration service over HTTP."""

from __future__ import annotations

import dataclasses
import typing
import urllib.parse

import aiohttp
import msgspec

from sassafrasstair.configservice import _errors

if typing.TYPE_CHECKING:
    from collections import abc

_T = typing.TypeVar("_T")
_Decode = typing.Callable[[str, aiohttp.ClientResponse, bytes], _T]

MAX_VALUE_BYTES = 1_000_000
"""The platform holds values up to a megabyte; a greater one is refused."""

MAX_RESPONSE_BYTES = 6_000_000
"""Room for four greatest values in base64, which is more than we read."""

CONNECT_SECONDS = 1.0
READ_SECONDS = 5.0
INDEX_SECONDS = 1.0
"""For an answer that brings no values."""
JITTER_SHARE = 1 / 16
"""A blocking query may last this share longer than asked (Consul)."""

INDEX_HEADER = "X-Consul-Index"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys under a prefix at one moment.

    ``index`` is what to pass to the next ``Client.watch``.
    """

    index: int
    values: dict[str, bytes]


class _Pair(msgspec.Struct, frozen=True, rename="pascal"):
    """One entry of the answer; msgspec decodes the base64 of ``value``."""

    key: str
    value: bytes | None


_PAIRS = msgspec.json.Decoder(list[_Pair])


class Client:
    """Client of the configuration service at one or more addresses.

    Each call tries the addresses in order, beginning with the one that
    last answered.
    """

    def __init__(
        self, http: aiohttp.ClientSession, urls: abc.Sequence[str]
    ) -> None:
        self._http = http
        self._urls = tuple(urls)
        self._first = 0

    async def read(self, prefix: str) -> Snapshot:
        """Return what stands under ``prefix`` now, or raise."""
        return await self._ask(prefix, {"recurse": "true"}, READ_SECONDS)

    async def watch(self, prefix: str, index: int, wait: float) -> Snapshot:
        """Return once the index passes ``index`` or ``wait`` s are over.

        Index 0 returns at once.
        """
        params = {
            "recurse": "true",
            "index": str(index),
            "wait": f"{max(1, round(wait * 1000))}ms",
        }
        longest = wait * (1 + JITTER_SHARE) + READ_SECONDS
        snapshot = await self._ask(prefix, params, longest)
        # Failure: the service is restored from an older state, its index
        # goes back, and a watch for the old index would not see changes
        # until it catches up. Index 0 makes the next watch return at once
        # with the service's own index.
        if snapshot.index < index:
            return Snapshot(0, snapshot.values)
        return snapshot

    async def read_index(self, prefix: str) -> int:
        """Return the index of ``prefix`` without its values, or raise.

        Sent on a connection that no watch waits on, and answered at once
        as long as the service is there.
        """
        return await self._try_all(
            prefix, {"keys": "true"}, INDEX_SECONDS, _index_of
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _ask(
        self, prefix: str, params: dict[str, str], read_seconds: float
    ) -> Snapshot:
        return await self._try_all(prefix, params, read_seconds, _decode)

    async def _try_all(
        self,
        prefix: str,
        params: dict[str, str],
        read_seconds: float,
        decode: _Decode[_T],
    ) -> _T:
        error = _errors.PlatformError(
            _errors.Reason.UNREACHABLE, "no address is set"
        )
        for offset in range(len(self._urls)):
            position = (self._first + offset) % len(self._urls)
            url = self._urls[position]
            try:
                found = await self._ask_one(
                    url, prefix, params, read_seconds, decode
                )
            except _errors.PlatformError as failure:
                error = failure
                continue
            self._first = position
            return found
        raise error

    async def _ask_one(
        self,
        url: str,
        prefix: str,
        params: dict[str, str],
        read_seconds: float,
        decode: _Decode[_T],
    ) -> _T:
        path = urllib.parse.quote(prefix)
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_SECONDS, sock_read=read_seconds
        )
        try:
            async with self._http.get(
                f"{url}/v1/kv/{path}", params=params, timeout=timeout
            ) as response:
                body = await _bounded_body(response)
        except TimeoutError as error:
            raise _errors.PlatformError(
                _errors.Reason.TIMEOUT, f"{url}: {error!r}"
            ) from error
        except aiohttp.ClientConnectorError as error:
            raise _errors.PlatformError(
                _errors.Reason.UNREACHABLE, f"{url}: {error}"
            ) from error
        except aiohttp.ClientError as error:
            raise _errors.PlatformError(
                _errors.Reason.CUT_SHORT, f"{url}: {error!r}"
            ) from error
        return decode(url, response, body)


def open_client(urls: abc.Sequence[str]) -> Client:
    """Return a client for the service at ``urls``, tried in order.

    Called on a running loop.
    """
    return Client(aiohttp.ClientSession(), [url.rstrip("/") for url in urls])


async def _bounded_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise _errors.PlatformError(
                _errors.Reason.TOO_LARGE,
                f"answer is over {MAX_RESPONSE_BYTES} bytes",
            )
    return bytes(body)


def _decode(
    url: str, response: aiohttp.ClientResponse, body: bytes
) -> Snapshot:
    index = _index_of(url, response, body)
    if response.status == 404:
        return Snapshot(index, {})
    try:
        pairs = _PAIRS.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise _errors.PlatformError(
            _errors.Reason.MALFORMED, f"{url}: {error}"
        ) from error
    return Snapshot(index, _values(pairs))


def _index_of(url: str, response: aiohttp.ClientResponse, body: bytes) -> int:
    if response.status not in (200, 404):
        raise _errors.PlatformError(
            _errors.Reason.BAD_STATUS, f"{url}: {response.status}"
        )
    return _decode_index(response.headers.get(INDEX_HEADER, ""))


def _decode_index(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise _errors.PlatformError(
            _errors.Reason.MALFORMED, f"{INDEX_HEADER} is {text!r}"
        )
    return int(text)


def _values(pairs: list[_Pair]) -> dict[str, bytes]:
    values: dict[str, bytes] = {}
    for pair in pairs:
        value = pair.value or b""
        if len(value) > MAX_VALUE_BYTES:
            raise _errors.PlatformError(
                _errors.Reason.TOO_LARGE,
                f"{pair.key} is over {MAX_VALUE_BYTES} bytes",
            )
        values[pair.key] = value
    return values
