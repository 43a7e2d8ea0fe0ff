"""Measures the processor time of a call through two daemons.

    python -m tests.forwarding.measure_hop

Rounds with logs, rounds without logs and rounds of refused calls alternate.
Client, upstream and both daemons share one process, so only the ratios
between the kinds of rounds are meaningful.
"""

from __future__ import annotations

import asyncio
import statistics
import time
import typing

import uvloop

from sassafrasstair.decisions import admission
from tests.forwarding import place

CALLS = 1500
ROUNDS = 7
HEAD = (
    b"GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request: r%d\r\n"
    b"X-Deadline-Ms: 4000\r\nAccept: */*\r\n\r\n"
)


class _Upstream(asyncio.Protocol):
    """An upstream that answers each request immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        start = data.index(b"X-Request: ") + len(b"X-Request: ")
        request_id = data[start : data.index(b"\r\n", start)]
        got = place.ReceivedRequest(
            b"", {b"x-request": request_id}, b"", asyncio.Event()
        )
        self._transport.write(place.signed(got, b"whole"))


class _Client(asyncio.Protocol):
    """A client that sends requests one after the other."""

    def __init__(self, path: bytes) -> None:
        self._path = path
        self._left = CALLS
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast("asyncio.Transport", transport)
        self._send()

    def data_received(self, data: bytes) -> None:
        self._left -= 1
        if self._left:
            self._send()
        else:
            self._transport.close()
            self.done.set_result(None)

    def _send(self) -> None:
        self._transport.write(HEAD % (self._path, self._left))


async def _measure(cluster: place.Cluster, path: bytes) -> float:
    """Return the processor time per call in microseconds."""
    loop = asyncio.get_running_loop()
    begun = time.process_time()
    _, client = await loop.create_connection(
        lambda: _Client(path), place.HOSTS[0], cluster.ports[0]
    )
    await client.done
    return (time.process_time() - begun) / CALLS * 1e6


async def _start_cluster() -> place.Cluster:
    entrance, callee, _ = place.HOSTS
    cluster = place.Cluster()
    cluster.policy(3, place.route("/s/", "s"), place.route("/t/", "s"))
    loop = asyncio.get_running_loop()
    await loop.create_server(_Upstream, callee, cluster.ports[3])
    cluster.put_entry(callee, "s", slots=100)
    await cluster.daemon(entrance, "front")
    await cluster.daemon(callee, "s")
    await cluster.wait_until_known(entrance, callee)
    return cluster


async def _main() -> None:
    cluster = await _start_cluster()
    daemons = [running.daemon for running in cluster.daemons.values()]
    gate = admission.Gate(share=0.0, load=99.0, updated_at=1e12)
    daemons[0].gates.gates["t"] = gate
    taken: dict[str, list[float]] = {"logs": [], "none": [], "refused": []}
    await _measure(cluster, b"/s/")
    for _ in range(ROUNDS):
        taken["logs"].append(await _measure(cluster, b"/s/"))
        for daemon in daemons:
            daemon.journal._logger.disabled = True
        taken["none"].append(await _measure(cluster, b"/s/"))
        for daemon in daemons:
            daemon.journal._logger.disabled = False
        taken["refused"].append(await _measure(cluster, b"/t/"))
    for name, values in taken.items():
        print(
            f"{name:8} median {statistics.median(values):6.0f} us a call,"
            f" {min(values):.0f} to {max(values):.0f}"
        )
    for name in ("none", "refused"):
        ratios = [
            other / logs
            for other, logs in zip(taken[name], taken["logs"], strict=True)
        ]
        print(f"{name} to logs: median {statistics.median(ratios):.2f}")


if __name__ == "__main__":
    uvloop.run(_main())
