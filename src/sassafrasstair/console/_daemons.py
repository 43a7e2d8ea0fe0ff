"""Reads the status of many daemons at once, over HTTP."""

from __future__ import annotations

import asyncio
import typing

import httpx
import msgspec

from sassafrasstair import forwarding
from sassafrasstair import operators

if typing.TYPE_CHECKING:
    from collections import abc

AT_ONCE = 64
"""Daemons asked at the same time; 1,300 are then read in 21 rounds."""


class Unreachable(msgspec.Struct, frozen=True):
    """A daemon that gave no status, and why."""

    address: str
    error: str


class Forwarder(msgspec.Struct, frozen=True):
    """A ``sassafrasstair-forwarder``: its feed, and what it holds back.

    ``quotas`` is None from a daemon that tells none.
    """

    address: str
    feed: forwarding.FeedStatus
    suspects: tuple[forwarding.SuspectStatus, ...]
    quotas: forwarding.QuotasStatus | None = None


Reading = operators.Status | Forwarder | Unreachable


async def read_all(
    addresses: abc.Sequence[str],
    timeout: float,
    transport: httpx.AsyncBaseTransport | None = None,
) -> list[Reading]:
    """Return a reading for each address, in their order.

    ``timeout`` is in seconds and for each daemon.
    """
    gate = asyncio.Semaphore(AT_ONCE)
    # A proxy named in the environment must not come in between.
    async with httpx.AsyncClient(
        timeout=timeout, transport=transport, trust_env=False
    ) as client:

        async def one(address: str) -> Reading:
            async with gate:
                return await _read(client, address)

        return await asyncio.gather(*map(one, addresses))


async def _read(client: httpx.AsyncClient, address: str) -> Reading:
    try:
        answer = await client.get(f"http://{address}/status")
        if answer.status_code == httpx.codes.NOT_FOUND:
            return await _read_forwarder(client, address)
        answer.raise_for_status()
        return msgspec.json.decode(answer.content, type=operators.Status)
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        text = str(error).splitlines()
        kind = type(error).__name__
        return Unreachable(address, text[0] if text else kind)


async def _read_forwarder(
    client: httpx.AsyncClient, address: str
) -> Forwarder:
    """Read a daemon that tells its feed and suspects, and has no bundles."""
    feed = await client.get(f"http://{address}/feed")
    suspects = await client.get(f"http://{address}/crashes")
    for answer in (feed, suspects):
        answer.raise_for_status()
    quotas = await client.get(f"http://{address}/quotas")
    told = None
    if quotas.status_code != httpx.codes.NOT_FOUND:
        quotas.raise_for_status()
        told = msgspec.json.decode(
            quotas.content, type=forwarding.QuotasStatus
        )
    return Forwarder(
        address,
        msgspec.json.decode(feed.content, type=forwarding.FeedStatus),
        msgspec.json.decode(
            suspects.content, type=tuple[forwarding.SuspectStatus, ...]
        ),
        told,
    )
