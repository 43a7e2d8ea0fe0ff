"""What one hop through two daemons adds to a call, in real processes.

The same request goes to the upstream directly and through the daemons, in
turn in one run, so that the machine's noise falls on both alike.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import statistics
import time
import typing

import aiohttp

if typing.TYPE_CHECKING:
    from collections import abc

BODY = bytes(200)
P99 = 0.99
TICKS = os.sysconf("SC_CLK_TCK")
TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to measure: ``rate`` in calls a second, ``seconds`` each way.

    ``pids`` are the daemons' processes, for processor time and memory.
    """

    direct: str
    through: str
    headers: dict[str, str]
    pids: tuple[int, ...]
    rate: float
    seconds: float
    rounds: int


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """One round, times in milliseconds; ``cpu`` per call and process."""

    direct_p50: float
    direct_p99: float
    through_p50: float
    through_p99: float
    cpu: tuple[float, ...]
    failed: int

    @property
    def added_p50(self) -> float:
        """Median of the calls through daemons less that of the direct."""
        return self.through_p50 - self.direct_p50

    @property
    def added_p99(self) -> float:
        """The same of the 99th percentiles."""
        return self.through_p99 - self.direct_p99


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Median, least and greatest of the rounds."""

    median: float
    least: float
    greatest: float


async def measure(plan: Plan) -> list[Round]:
    """Return the rounds; each daemon is warm from a round not counted."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        warm_up = dataclasses.replace(plan, seconds=1.0)
        await _round(session, warm_up)
        return [await _round(session, plan) for _ in range(plan.rounds)]


def spread(values: abc.Iterable[float]) -> Spread:
    """Return the spread of one figure over the rounds."""
    ordered = sorted(values)
    return Spread(statistics.median(ordered), ordered[0], ordered[-1])


def resident_kilobytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def _round(session: aiohttp.ClientSession, plan: Plan) -> Round:
    direct, direct_failed = await _drive(session, plan, plan.direct, {})
    before = [_cpu_seconds(pid) for pid in plan.pids]
    through, failed = await _drive(session, plan, plan.through, plan.headers)
    after = [_cpu_seconds(pid) for pid in plan.pids]
    calls = max(1, len(through))
    return Round(
        direct_p50=statistics.median(direct),
        direct_p99=_percentile(direct, P99),
        through_p50=statistics.median(through),
        through_p99=_percentile(through, P99),
        cpu=tuple(
            (end - begin) * 1000 / calls
            for begin, end in zip(before, after, strict=True)
        ),
        failed=failed + direct_failed,
    )


async def _drive(
    session: aiohttp.ClientSession,
    plan: Plan,
    url: str,
    headers: dict[str, str],
) -> tuple[list[float], int]:
    """Call at a steady rate; return the times in ms and the failures."""
    began = time.perf_counter()
    calls = []
    for number in range(int(plan.rate * plan.seconds)):
        wait = began + number / plan.rate - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        calls.append(asyncio.create_task(_call(session, url, headers)))
    taken = await asyncio.gather(*calls)
    whole = [milliseconds for milliseconds in taken if milliseconds >= 0]
    return whole or [0.0], len(taken) - len(whole)


async def _call(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> float:
    began = time.perf_counter()
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            async with session.post(url, data=BODY, headers=headers) as got:
                await got.read()
    except (aiohttp.ClientError, TimeoutError):
        return -1.0
    if got.status != 200:
        return -1.0
    return (time.perf_counter() - began) * 1000


def _cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
