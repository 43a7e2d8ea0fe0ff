"""The load tool: many callers in one process, open loop."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import sys
import time
import typing

import msgspec

from sassafrasstair.standins import _caller
from sassafrasstair.standins import _http
from sassafrasstair.standins import _plan
from sassafrasstair.standins import _ran
from sassafrasstair.standins import _tally

if typing.TYPE_CHECKING:
    from collections import abc

PROGRESS_SECONDS = 1.0
READ_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Where a run calls and how its callers repeat; times in seconds.

    ``tail`` is how long callers may go on repeating after the plan ends.
    """

    daemons: tuple[str, ...]
    direct: tuple[tuple[str, str], ...]
    upstreams: tuple[str, ...]
    repeats: int
    hasty_share: float
    tail: float
    seed: int


async def run_load(
    plan: _plan.Plan, callers: _plan.Callers, options: Options
) -> _tally.Summary:
    """Run the plan; return counts, judged by the upstreams' own."""
    began = time.monotonic()
    rng = random.Random(options.seed)
    tally = _tally.Tally()
    give_up = began + plan.seconds + options.tail
    session = _open(options, give_up, rng)
    progress = asyncio.create_task(_progress(tally, began))
    await _drive(plan, callers, session, tally, began)
    progress.cancel()
    await session.http.close()
    rans = await read_rans(options.upstreams)
    verdict = _tally.judge(tally.results, rans)
    return _tally.summary(plan, tally, verdict)


async def read_rans(urls: abc.Iterable[str]) -> list[_ran.Ran]:
    """Return what the upstreams ran; those that are gone are left out."""
    rans = []
    http = _http.Http()
    for url in urls:
        try:
            answer = await http.get(f"{url.rstrip('/')}/ran", READ_SECONDS)
            rans.append(msgspec.json.decode(answer.body, type=_ran.Ran))
        except (_http.NotSent, _http.Lost, msgspec.DecodeError) as error:
            print(f"no counts from {url}: {error!r}", file=sys.stderr)
    await http.close()
    return rans


def _open(
    options: Options, give_up: float, rng: random.Random
) -> _caller.Session:
    direct: dict[str, tuple[str, ...]] = {}
    for service, url in options.direct:
        direct[service] = direct.get(service, ()) + (url.rstrip("/"),)
    return _caller.Session(
        _http.Http(),
        tuple(url.rstrip("/") for url in options.daemons),
        direct,
        options.repeats,
        options.hasty_share,
        give_up,
        rng,
    )


async def _drive(
    plan: _plan.Plan,
    callers: _plan.Callers,
    session: _caller.Session,
    tally: _tally.Tally,
    began: float,
) -> None:
    """Start each request at its time, whatever became of those before."""
    async with asyncio.TaskGroup() as group:
        for arrival in _plan.arrivals(plan, session.rng):
            early = began + arrival - time.monotonic()
            if early > 0:
                await asyncio.sleep(early)
            tally.behind = max(tally.behind, -early)
            tally.offered += 1
            want = _plan.draw(callers, arrival, session.rng)
            group.create_task(_one(session, want, tally))


async def _one(
    session: _caller.Session, want: _plan.Want, tally: _tally.Tally
) -> None:
    tally.results.append(await _caller.serve(session, want))


async def _progress(tally: _tally.Tally, began: float) -> None:
    seen = 0
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        recent = _tally.row(tally.results[seen:])
        seen = len(tally.results)
        print(
            f"t={time.monotonic() - began:.0f}s offered={tally.offered}"
            f" open={tally.offered - seen} whole_per_s={recent.whole}"
            f" not_run={recent.not_run} unknown={recent.unknown}"
            f" p99_ms={recent.p99_ms}",
            file=sys.stderr,
        )
