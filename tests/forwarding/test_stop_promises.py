"""Tests that a stopping daemon cuts nothing that came late.

What is sent no later than ``EXCUSED_SECONDS`` after SIGTERM may be cut in the
last sixth of the grace period. All else ends by itself, or has not run: an
earlier answer of its route is no bound on how long it takes.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time

import pytest

from tests.forwarding import place
from tests.forwarding import test_path
from tests.forwarding import test_stop_bounds

A, B, C = place.HOSTS
EXCUSED_SECONDS = 3.0
EXCUSED_RATIO = 5.0 / 6.0
KNOWN_SECONDS = 0.2
RUN_LIMIT_MS = 15_000
LATE_RATIOS = (0.56, 0.6, 0.64, 0.68, 0.72)
"""When late requests are sent, as fractions of the grace period."""


@dataclasses.dataclass(frozen=True)
class Ended:
    """How a request ended; times in seconds after SIGTERM."""

    sent_at: float
    limit: float
    ended_at: float
    status: int

    def is_kept(self, runs: int, grace: float) -> bool:
        """Return whether the daemon did what it owes."""
        if (self.status, runs) in ((200, 1), (503, 0)):
            return True
        if self.ended_at >= self.sent_at + self.limit - 0.05:
            return True
        at_end = self.ended_at >= EXCUSED_RATIO * grace
        return at_end and self.sent_at <= EXCUSED_SECONDS


class World(test_stop_bounds.Place):
    """Its instance of t takes longer from SIGTERM on.

    ``runs`` counts the runs of requests by their number, which is the body.
    """

    def __init__(self, grace: float) -> None:
        super().__init__(grace)
        self.seconds = KNOWN_SECONDS
        self.runs: collections.Counter[bytes] = collections.Counter()

    async def begin(self, answers: int) -> None:
        """Start the daemons, and answer short requests of the route."""
        await self.start(test_path.hang)
        self.cluster.policy(
            4,
            place.route("/s/", "s", False, 20.0, objective=0.2),
            place.route("/t/", "t", False, 20.0, objective=0.2),
            place.route("/r/", "t", True, 20.0, objective=0.2),
        )
        await self.cluster.wait_until_known(A, B, C)
        self.cluster.upstreams[C].script = self._work
        for path in ("/t/", "/r/"):
            calls = [self.cluster.call(A, path) for _ in range(answers)]
            for answer in await asyncio.gather(*calls):
                assert answer.status == 200

    async def send(self, at: float, path: str, limit_ms: int) -> Ended:
        """Send a request to the daemon that stops."""
        await self.wait_until(at)
        sent_at = self.elapsed
        answer = await self.cluster.call(
            A, path, "POST", b"%.2f" % at, limit_ms
        )
        return Ended(sent_at, limit_ms / 1000, self.elapsed, answer.status)

    @property
    def elapsed(self) -> float:
        """The seconds since SIGTERM."""
        return time.monotonic() - self.signalled_at

    async def _work(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.runs[got.body] += 1
        await asyncio.sleep(self.seconds)
        writer.write(place.signed(got, b"whole"))


@pytest.mark.parametrize(
    ("grace", "path", "work", "limit_ms", "answers"),
    [
        (6.0, "/t/", 2.0, 2300, 8),
        (6.0, "/r/", 2.0, 2300, 8),
        (6.0, "/t/", 1.2, 1500, 8),
        (6.0, "/t/", 2.0, 9000, 0),
        (10.0, "/t/", 4.5, 8000, 8),
    ],
)
def test_late_request_that_takes_longer_than_any_before_is_not_cut(
    grace: float, path: str, work: float, limit_ms: int, answers: int
) -> None:
    """The longest answer known of its route counted as a bound."""

    async def test() -> None:
        world = World(grace)
        await world.begin(answers)
        running = await world.run_on_a(RUN_LIMIT_MS)
        world.seconds = work
        calls = [
            world.send(ratio * grace, path, limit_ms) for ratio in LATE_RATIOS
        ]
        found = asyncio.gather(*calls)
        await world.stop()
        for ratio, ended in zip(LATE_RATIOS, await found, strict=True):
            runs = world.runs[b"%.2f" % (ratio * grace)]
            assert ended.is_kept(runs, grace), ended
        running.cancel()

    test_path.run(test())


def test_late_request_whose_own_limit_ends_in_time_is_served() -> None:
    """Nothing is at risk: it ends before the stop does, whoever made it."""

    async def test() -> None:
        world = World(6.0)
        await world.begin(8)
        running = await world.run_on_a(RUN_LIMIT_MS)
        calls = [
            world.send(at, path, 1200)
            for at in (3.2, 3.6, 4.0)
            for path in ("/t/", "/r/")
        ]
        found = asyncio.gather(*calls)
        await world.stop()
        assert [ended.status for ended in await found] == [200] * len(calls)
        running.cancel()

    test_path.run(test())


def test_run_of_last_resort_that_takes_longer_than_any_before_is_not_cut() -> (
    None
):
    """Both daemons stop; the run was cut before the end of the other stop."""

    async def test() -> None:
        grace = 6.0
        world = World(grace)
        await world.begin(0)
        cluster = world.cluster
        seconds = [KNOWN_SECONDS]
        runs: list[float] = []

        async def work(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            runs.append(world.elapsed)
            await asyncio.sleep(seconds[0])
            writer.write(place.signed(got, b"whole"))

        cluster.upstreams[A].script = work
        for _ in range(8):
            assert (await cluster.call(B, "/s/", "POST")).status == 200
        runs.clear()
        seconds[0] = 4.5
        stopping = [world.stop()]
        stop = cluster.daemons[A].daemon.stop
        while stop is None:
            await asyncio.sleep(0)
            stop = cluster.daemons[A].daemon.stop
        stop.spread = 1.0
        await world.wait_until(1.0)
        stopping.append(asyncio.ensure_future(cluster.stop(B)))
        await world.wait_until(1.4)
        answer = await cluster.call(B, "/s/", "POST", deadline_ms=9000)
        assert (answer.status, len(runs)) in ((200, 1), (503, 0))
        await asyncio.gather(*stopping)

    test_path.run(test())
