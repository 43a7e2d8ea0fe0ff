"""A soak of clients that hide requests in others, beside ordinary traffic."""

from __future__ import annotations

import asyncio
import random
import typing

from tests.platform.soak import clients
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import kept
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import records
from tests.platform.soak import scenario

if typing.TYPE_CHECKING:
    import pathlib

KEEPERS = 2
TOGETHER = 10
ANSWER_SECONDS = 0.3
PATIENCE = 1.0
SETTLE_SECONDS = 1.0
FRAMINGS = (
    b"Content-Length: %d\r\n",
    b"Content-Length: %d\r\nContent-Length: 0\r\n",
    b"Content-Length: 0\r\nContent-Length: %d\r\n",
    b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
    b"Transfer-Encoding: chunked, identity\r\nX: %d\r\n",
    b"Transfer-Encoding : chunked\r\nX: %d\r\n",
    b"Connection: Content-Length\r\nContent-Length: %d\r\n",
    b"Connection: Host, Sassafrasstair-Request-Id\r\nContent-Length: %d\r\n",
    b"X: a\nContent-Length: 0\r\nContent-Length: %d\r\n",
    b"X: a\rContent-Length: 0\r\nContent-Length: %d\r\n",
)
"""Fields that two readers may understand differently; each has a length."""


async def run(seed: int, seconds: float, folder: pathlib.Path) -> int:
    """Run one soak; return how many requests were hidden in others."""
    fleet = fleet_module.Fleet(folder, random.Random(seed))
    hidden = 0
    loop = asyncio.get_running_loop()
    try:
        await fleet.open()
        traffic = asyncio.ensure_future(scenario.send_traffic(fleet))
        keepers = kept.keep_connections(fleet, KEEPERS)
        until = loop.time() + seconds
        while loop.time() < until:
            vms = fleet.rng.choices(fleet.vms, k=TOGETHER)
            await asyncio.gather(*(_hide(fleet, vm) for vm in vms))
            hidden += TOGETHER
        await asyncio.sleep(SETTLE_SECONDS)
        keepers.cancel()
        traffic.cancel()
        fleet.check_alive()
    finally:
        await fleet.close()
        records.write_report(folder, scenario.report(seed, fleet))
    assert scenario.report(seed, fleet).broken == ()
    return hidden


async def _hide(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Send a request whose body looks like another one, and a last chunk.

    If it runs, it must run as it was sent. Nobody sends the other one.
    """
    key, other = clients.new_key(), clients.new_key()
    target = f"/once/{key}"
    inner = (
        f"GET /deep/{other} HTTP/1.1\r\nHost: soak.example\r\n"
        f"Sassafrasstair-Request-Id: {other}\r\n\r\n"
    ).encode()
    body = b"0\r\n\r\n" + inner
    now = asyncio.get_running_loop().time()
    fleet.oracle.send(
        oracle_module.Sent(
            key,
            "once",
            False,
            vm.upstream.service,
            target,
            body,
            PATIENCE,
            at=now,
            entrance=vm.host,
        )
    )
    framing = fleet.rng.choice(FRAMINGS) % len(body)
    head = (
        f"POST {target} HTTP/1.1\r\nHost: soak.example\r\n"
        f"Sassafrasstair-Request-Id: {key}\r\n"
        f"Sassafrasstair-Deadline-Ms: {int(1000 * PATIENCE)}\r\n"
    ).encode()
    try:
        reader, writer = await asyncio.open_connection(
            vm.host, fleet_module.OUTBOUND
        )
    except OSError:
        return
    writer.write(head + framing + b"\r\n" + body)
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            await reader.read()
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
