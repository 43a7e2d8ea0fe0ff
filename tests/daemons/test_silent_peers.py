"""Tests of whether the VM of a silent daemon is there."""

from __future__ import annotations

import asyncio
import time
import typing

import pytest
import uvloop

from sassafrasstair import daemons
from tests import loopback

CHECKS = 300
"""More than a listening socket holds connections that wait."""
RUNNERS = [asyncio.run, uvloop.run]
Runner = typing.Callable[..., None]


async def _ignore(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


def test_many_checks_of_a_stalled_daemon_open_one_connection() -> None:
    """Its queue was full after 129, and it was taken for gone."""

    async def test() -> None:
        opened = []
        server = await asyncio.start_server(
            lambda reader, writer: opened.append(writer), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        links = daemons.Links()
        address = f"127.0.0.1:{port}"
        for _ in range(CHECKS):
            await daemons.check_silent(links, address, 1.0)
        await asyncio.sleep(0.05)
        assert len(opened) == 1
        server.close()
        opened[0].transport.abort()
        await asyncio.sleep(0.05)
        with pytest.raises(daemons.PeerUnreachable):
            await daemons.check_silent(links, address, 1.0)
        daemons.end_check(links, address)
        daemons.close(links)

    asyncio.run(test())


def test_peer_that_answers_again_ends_its_check() -> None:
    async def test() -> None:
        server = await asyncio.start_server(_ignore, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        links = daemons.Links()
        await daemons.check_silent(links, address, 1.0)
        assert list(links.checks) == [address]
        daemons.end_check(links, address)
        assert not links.checks
        server.close()

    asyncio.run(test())


@pytest.mark.parametrize("run", RUNNERS)
@pytest.mark.parametrize("seconds", [0.45, 1.0])
def test_stall_of_the_own_process_takes_no_peer_for_gone(
    run: Runner, seconds: float
) -> None:
    """The connection had been established, and counted as too late."""

    async def test() -> None:
        server = await asyncio.start_server(_ignore, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        links = daemons.Links()
        check = asyncio.ensure_future(
            daemons.check_silent(links, address, 1.0)
        )
        await asyncio.sleep(0.0)
        time.sleep(seconds)
        await check
        daemons.close(links)
        server.close()

    run(test())


def test_daemon_that_has_ended_is_unreachable() -> None:
    async def test() -> None:
        port = loopback.free_ports(1)[0]
        links = daemons.Links()
        with pytest.raises(daemons.PeerUnreachable):
            await daemons.check_silent(links, f"127.0.0.1:{port}", 1.0)

    asyncio.run(test())
