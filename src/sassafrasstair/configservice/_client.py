"""HTTP client that reads and watches the configuration service."""

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
"""The platform stores values of up to 1 MB; larger ones are refused."""

MAX_RESPONSE_BYTES = 6_000_000
"""Fits four values of maximum size in base64, more than is ever read."""

CONNECT_SECONDS = 1.0
READ_SECONDS = 5.0
CHECK_SECONDS = 1.0
"""Read timeout of a check, which an available service answers at once."""
JITTER_SHARE = 1 / 16
"""Consul may extend a blocking query by this fraction of its wait."""

INDEX_HEADER = "X-Consul-Index"
INDEX_DIGITS_MAX = 18
"""Daemons send the index to each other in 64 bits."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys under a prefix at one point in time.

    ``index`` is to be passed to the next ``Client.watch``.
    """

    index: int
    values: dict[str, bytes]


class _KeyValue(msgspec.Struct, frozen=True, rename="pascal"):
    """One entry of the response; msgspec decodes the base64 ``value``."""

    key: str
    value: bytes | None


_KEY_VALUES_DECODER = msgspec.json.Decoder(list[_KeyValue])


class Client:
    """Client of the configuration service at one or more addresses.

    Each call tries the addresses in order, starting with the one that
    answered last.
    """

    def __init__(
        self, http: aiohttp.ClientSession, urls: abc.Sequence[str]
    ) -> None:
        self._http = http
        self._urls = tuple(urls)
        self._preferred = 0

    async def read(self, prefix: str) -> Snapshot:
        """Return the current values under ``prefix``, or raise."""
        return await self._fetch_snapshot(
            prefix, {"recurse": "true"}, READ_SECONDS
        )

    async def read_promptly(self, prefix: str) -> Snapshot:
        """Return the same as ``read``, or raise within a check's timeout."""
        return await self._fetch_snapshot(
            prefix, {"recurse": "true"}, CHECK_SECONDS
        )

    async def watch(self, prefix: str, index: int, wait: float) -> Snapshot:
        """Return once the index exceeds ``index`` or ``wait`` seconds pass.

        Index 0 returns at once.
        """
        params = {
            "recurse": "true",
            "index": str(index),
            "wait": f"{max(1, round(wait * 1000))}ms",
        }
        read_seconds = wait * (1 + JITTER_SHARE) + READ_SECONDS
        snapshot = await self._fetch_snapshot(prefix, params, read_seconds)
        # When the service is restored from an older state, its index goes
        # back. A watch with the old index would miss all changes until the
        # service's index catches up. Index 0 makes the next watch return at
        # once with the service's current index.
        if snapshot.index < index:
            return Snapshot(0, snapshot.values)
        return snapshot

    async def read_index(self, prefix: str) -> int:
        """Return the index of ``prefix`` without its values, or raise.

        The request uses a connection that no watch is waiting on, and an
        available service answers it at once.
        """
        return await self._fetch_from_any(
            prefix, {"keys": "true"}, CHECK_SECONDS, _read_index
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _fetch_snapshot(
        self, prefix: str, params: dict[str, str], read_seconds: float
    ) -> Snapshot:
        return await self._fetch_from_any(
            prefix, params, read_seconds, _decode_snapshot
        )

    async def _fetch_from_any(
        self,
        prefix: str,
        params: dict[str, str],
        read_seconds: float,
        decode: _Decode[_T],
    ) -> _T:
        error = _errors.PlatformError(
            _errors.Reason.UNREACHABLE, "no address is configured"
        )
        for offset in range(len(self._urls)):
            position = (self._preferred + offset) % len(self._urls)
            url = self._urls[position]
            try:
                result = await self._fetch_from(
                    url, prefix, params, read_seconds, decode
                )
            except _errors.PlatformError as failure:
                error = failure
                continue
            self._preferred = position
            return result
        raise error

    async def _fetch_from(
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
                body = await _read_bounded_body(response)
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

    Needs a running event loop.
    """
    return Client(aiohttp.ClientSession(), [url.rstrip("/") for url in urls])


async def _read_bounded_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise _errors.PlatformError(
                _errors.Reason.TOO_LARGE,
                f"response is over {MAX_RESPONSE_BYTES} bytes",
            )
    return bytes(body)


def _decode_snapshot(
    url: str, response: aiohttp.ClientResponse, body: bytes
) -> Snapshot:
    index = _read_index(url, response, body)
    if response.status == 404:
        return Snapshot(index, {})
    try:
        pairs = _KEY_VALUES_DECODER.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _errors.PlatformError(
            _errors.Reason.MALFORMED, f"{url}: {error}"
        ) from error
    return Snapshot(index, _values_by_key(pairs))


def _read_index(
    url: str, response: aiohttp.ClientResponse, body: bytes
) -> int:
    if response.status not in (200, 404):
        raise _errors.PlatformError(
            _errors.Reason.BAD_STATUS, f"{url}: {response.status}"
        )
    return _decode_index(response.headers.get(INDEX_HEADER, ""))


def _decode_index(text: str) -> int:
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > INDEX_DIGITS_MAX:
        raise _errors.PlatformError(
            _errors.Reason.MALFORMED, f"{INDEX_HEADER} is {text[:40]!r}"
        )
    return int(text)


def _values_by_key(pairs: list[_KeyValue]) -> dict[str, bytes]:
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
