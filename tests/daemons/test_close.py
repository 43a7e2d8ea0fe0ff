from __future__ import annotations

import asyncio
import contextlib

from sassafrasstair import daemons
from tests import loopback

ROUNDS = 5
PEER_COUNT = 20
MESSAGES_BEFORE_CLOSE = 50
HANDLE_SECONDS = 0.0005
CLOSE_SECONDS = 3.0


async def _close_under_traffic() -> None:
    """Close a server during exchanges, then the links of its peers."""
    handled = asyncio.Semaphore(0)

    async def handle(message: daemons.Message) -> daemons.Message:
        handled.release()
        await asyncio.sleep(HANDLE_SECONDS)
        return daemons.NoContent()

    address = f"127.0.0.1:{loopback.free_ports(1)[0]}"
    server = daemons.listen(address, handle)
    links = daemons.Links()
    stopped = asyncio.Event()

    async def flood() -> None:
        while not stopped.is_set():
            with contextlib.suppress(daemons.PeerError):
                await daemons.exchange(links, address, daemons.Ping(), 0.2)
            await asyncio.sleep(0)

    peers = [asyncio.create_task(flood()) for _ in range(PEER_COUNT)]
    for _ in range(MESSAGES_BEFORE_CLOSE):
        await handled.acquire()
    try:
        await daemons.close_server(server)
    finally:
        server.socket.close()
        daemons.close(links)
        stopped.set()
    await asyncio.gather(*peers)
    daemons.close(links)


def test_closing_under_traffic_ends() -> None:
    """Closing a server ends although peers still send to it.

    pynng drops a cancellation that arrives just after a message was
    received. The receiver then goes on, a planned stop hangs, and the VM is
    killed with requests in flight.
    """

    async def scenario() -> None:
        for _ in range(ROUNDS):
            async with asyncio.timeout(CLOSE_SECONDS):
                await _close_under_traffic()

    asyncio.run(scenario())
