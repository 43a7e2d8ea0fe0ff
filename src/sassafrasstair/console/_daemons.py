"""Reads the status of many daemons concurrently over HTTP."""

from __future__ import annotations

import asyncio
import typing

import httpx
import msgspec

from sassafrasstair import forwarding
from sassafrasstair import operators

if typing.TYPE_CHECKING:
    from collections import abc

MAX_CONCURRENT_READS = 64
"""Daemons read concurrently; 1,300 daemons then take 21 rounds."""


class Unreachable(msgspec.Struct, frozen=True):
    """A daemon whose status could not be read.

    ``error`` says why: a failed connection, an HTTP error or a malformed
    response.
    """

    address: str
    error: str


class Forwarder(msgspec.Struct, frozen=True):
    """The status of a ``sassafrasstair-forwarder``.

    ``feed`` is the state of its configuration feed, ``suspects`` the
    requests suspected of crashing instances. ``quotas`` is None if the
    daemon does not serve quotas.
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
    """Read the daemons and return the results in the order of addresses.

    ``timeout`` is in seconds and applies to each daemon.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)
    # Ignore proxies from the environment: daemons are called directly.
    async with httpx.AsyncClient(
        timeout=timeout, transport=transport, trust_env=False
    ) as client:

        async def read_one(address: str) -> Reading:
            async with semaphore:
                return await _read_daemon(client, address)

        return await asyncio.gather(*map(read_one, addresses))


async def _read_daemon(client: httpx.AsyncClient, address: str) -> Reading:
    try:
        response = await client.get(f"http://{address}/status")
        if response.status_code == httpx.codes.NOT_FOUND:
            return await _read_forwarder(client, address)
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=operators.Status)
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        message_lines = str(error).splitlines()
        kind = type(error).__name__
        return Unreachable(
            address, message_lines[0] if message_lines else kind
        )


async def _read_forwarder(
    client: httpx.AsyncClient, address: str
) -> Forwarder:
    """Read a forwarder, which serves its feed, suspects and quotas."""
    feed = await client.get(f"http://{address}/feed")
    suspects = await client.get(f"http://{address}/crashes")
    for answer in (feed, suspects):
        answer.raise_for_status()
    quotas = await client.get(f"http://{address}/quotas")
    quotas_status = None
    if quotas.status_code != httpx.codes.NOT_FOUND:
        quotas.raise_for_status()
        quotas_status = msgspec.json.decode(
            quotas.content, type=forwarding.QuotasStatus
        )
    return Forwarder(
        address,
        msgspec.json.decode(feed.content, type=forwarding.FeedStatus),
        msgspec.json.decode(
            suspects.content, type=tuple[forwarding.SuspectStatus, ...]
        ),
        quotas_status,
    )
