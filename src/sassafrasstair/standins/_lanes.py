"""HTTP clients of one connection each, lent out one call at a time.

httpx looks through its whole pool at each call, so that hundreds of
connections in one client cost more than the calls. A client that holds one
connection and serves one call at a time has nothing to look through.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import typing

import httpx

if typing.TYPE_CHECKING:
    from collections import abc

IDLE_MAX = 256
"""Idle clients that are kept for each base URL."""

KEEPALIVE_SECONDS = 30.0


class Lanes:
    """Idle clients by base URL, the last used one first."""

    def __init__(self) -> None:
        self._idle: dict[str, list[httpx.AsyncClient]] = {}
        # One context for all: making one costs more than a call.
        self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    async def post(
        self,
        url: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> httpx.Response:
        """Send one request; ``timeout`` s is for all of it.

        Raises ``httpx.HTTPError``, of which ``httpx.ConnectError`` and
        ``httpx.ConnectTimeout`` say that nothing was sent.
        """
        async with self._lend(url) as client:
            try:
                async with asyncio.timeout(timeout):
                    return await client.post(
                        url + path, headers=headers, content=body
                    )
            except TimeoutError as error:
                raise httpx.ReadTimeout("whole call") from error

    async def close(self) -> None:
        """Close the idle clients."""
        for clients in self._idle.values():
            for client in clients:
                await client.aclose()
        self._idle.clear()

    @contextlib.asynccontextmanager
    async def _lend(self, url: str) -> abc.AsyncIterator[httpx.AsyncClient]:
        idle = self._idle.setdefault(url, [])
        client = idle.pop() if idle else self._new()
        try:
            yield client
        except BaseException:
            await client.aclose()
            raise
        if len(idle) < IDLE_MAX:
            idle.append(client)
        else:
            await client.aclose()

    def _new(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            limits=httpx.Limits(
                max_connections=1, keepalive_expiry=KEEPALIVE_SECONDS
            ),
            timeout=None,
            trust_env=False,
            verify=self._tls,
        )
