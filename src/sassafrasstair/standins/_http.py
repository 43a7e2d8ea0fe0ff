"""HTTP calls of the load tool and of upstreams to their daemons."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp

KEEPALIVE_SECONDS = 30.0
CONNECT_SECONDS = 2.0


class NotSent(Exception):
    """No connection was had: no byte of the request was sent."""


class Lost(Exception):
    """The request may have been sent, and no whole answer came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Http:
    """A pool of connections without a limit, opened at the first call."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def post(
        self, url: str, headers: dict[str, str], body: bytes, timeout: float
    ) -> Answer:
        """Send one request; ``timeout`` s is for all of it.

        Raises ``NotSent`` or ``Lost``. The library sends no POST again.
        """
        return await self.request("POST", url, headers, body, timeout)

    async def get(self, url: str, timeout: float) -> Answer:
        """Read one page; raises as ``post``."""
        return await self.request("GET", url, {}, None, timeout)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def request(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout: float,
    ) -> Answer:
        """Send any request; raises as ``post``."""
        session = self._session or _open()
        self._session = session
        try:
            async with (
                asyncio.timeout(timeout),
                session.request(
                    method, url, headers=headers, data=body
                ) as response,
            ):
                whole = await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSent(str(error)) from error
        except TimeoutError as error:
            raise Lost("timeout") from error
        except aiohttp.ClientError as error:
            raise Lost(type(error).__name__) from error
        lowered = {
            name.lower(): value for name, value in response.headers.items()
        }
        return Answer(response.status, lowered, whole)


def _open() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEPALIVE_SECONDS
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_SECONDS
        ),
    )
