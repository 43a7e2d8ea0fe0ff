"""Tests of the longest times by which a stopping daemon takes work.

The grace period is 6 s, so the final answers are due 5.1 s after SIGTERM.
"""

from __future__ import annotations

import asyncio
import collections
import time

import pytest

from sassafrasstair.forwarding import _arrivals
from sassafrasstair.forwarding import _counters
from tests.forwarding import place
from tests.forwarding import test_path
from tests.forwarding import test_stop_bounds

A, B, C = place.HOSTS
GRACE = 6.0
LONG_RUN_SECONDS = 2.0
LATE_AT = 3.4
"""Too late to be cut, and soon enough for a run of a second."""


class World(test_stop_bounds.Place):
    """Its instance of t takes the next of ``delays`` for each request."""

    def __init__(self) -> None:
        super().__init__(GRACE)
        self.delays: collections.deque[float] = collections.deque()

    async def begin(self, script: place.Script) -> None:
        """Start the daemons."""
        await self.start(script)
        self.cluster.upstreams[C].script = self._run

    async def answer_in(self, *delays: float) -> None:
        """Let the instance of t answer requests of clients, in turn."""
        for seconds in delays:
            self.delays.append(seconds)
            assert (await self.cluster.call(A, "/t/")).status == 200
        self.cluster.upstreams[C].got.clear()

    async def late_request(self) -> tuple[place.Answer, int]:
        """Stop A, and return how a late, long request ends, and its runs."""
        running = await self.run_on_a(9000)
        stopped = self.stop()
        await self.wait_until(LATE_AT)
        self.delays.append(LONG_RUN_SECONDS)
        answer = await self.cluster.call(A, "/t/", deadline_ms=5000)
        await stopped
        running.cancel()
        return answer, len(self.cluster.upstreams[C].got)

    async def _run(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self.delays.popleft())
        writer.write(place.signed(got, b"whole"))


@pytest.mark.parametrize("agings", [0, 1])
def test_longest_answer_is_known_after_the_answers_have_aged(
    agings: int,
) -> None:
    """Half of one answer was none, and a request as long was cut."""

    async def test() -> None:
        world = World()
        await world.begin(test_path.hang)
        await world.answer_in(LONG_RUN_SECONDS, *60 * [0.0])
        counters = world.cluster.daemons[A].daemon.counters
        for _ in range(agings):
            _counters.age_answered_seconds(counters)
        answer, runs = await world.late_request()
        assert (answer.status, runs) in ((200, 1), (503, 0))

    test_path.run(test())


@pytest.mark.parametrize(
    "answers", [0, 3, _arrivals.ANSWERS_MIN - 1, _arrivals.ANSWERS_MIN]
)
def test_longest_of_few_answers_counts(answers: int) -> None:
    """Below 20 answers the objective counted, however long they took."""

    async def test() -> None:
        world = World()
        await world.begin(test_path.hang)
        if answers:
            shorts = (answers - 1) * [0.0]
            await world.answer_in(LONG_RUN_SECONDS, *shorts)
        answer, runs = await world.late_request()
        assert (answer.status, runs) in ((200, 1), (503, 0))

    test_path.run(test())


async def _call_at(
    at: float, longest: float, limit_ms: int
) -> tuple[place.Answer, int]:
    """Return how a call of a run at the stopping daemon ends, and its runs.

    Without ``limit_ms`` it expires with its run, long after the stop.
    """
    world = World()
    answers: list[place.Answer] = []

    async def call(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        began_at = time.monotonic()
        await world.wait_until(at)
        elapsed_ms = int(1000 * (time.monotonic() - began_at))
        left_ms = int(got.fields[b"x-deadline-ms"]) - elapsed_ms
        world.delays.append(0.0)
        answers.append(
            await world.cluster.call(A, "/t/", deadline_ms=limit_ms or left_ms)
        )
        writer.write(place.signed(got, b"whole"))

    await world.begin(call)
    await world.answer_in(longest, *30 * [0.0])
    running = await world.run_on_a(9000)
    await world.stop()
    await running
    return answers[0], len(world.cluster.upstreams[C].got)


@pytest.mark.parametrize("longest", [0.9, 1.2])
def test_call_whose_longest_time_fits_is_taken(longest: float) -> None:
    """The bound of the bucket counted for the longest answer in it."""

    async def test() -> None:
        answer, _ = await _call_at(2.5, longest, 0)
        assert answer.status == 200

    test_path.run(test())


@pytest.mark.parametrize(
    ("limit_ms", "status", "runs"), [(0, 503, 0), (1500, 200, 1)]
)
def test_call_that_comes_too_late_to_be_cut_is_taken_if_its_limit_fits(
    limit_ms: int, status: int, runs: int
) -> None:
    """Other calls of its route took less, which is no bound."""

    async def test() -> None:
        answer, found = await _call_at(3.2, 0.9, limit_ms)
        assert (answer.status, found) == (status, runs)

    test_path.run(test())


def test_run_of_last_resort_can_make_calls() -> None:
    """The port for calls was closed while nothing ran, and opened no more."""

    async def test() -> None:
        world = World()
        calls: list[int] = []

        async def call(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            world.delays.append(0.0)
            try:
                answer = await world.cluster.call(A, "/t/", deadline_ms=2000)
                calls.append(answer.status)
            except ConnectionRefusedError:
                calls.append(0)
            writer.write(place.signed(got, b"whole"))

        await world.begin(call)
        stopped = world.stop()
        await world.wait_until(0.1)
        stop = world.cluster.daemons[A].daemon.stop
        assert stop is not None
        # The draw of how long runs of last resort are taken.
        stop.spread = 1.0
        await world.wait_until(2.0)
        world.delays.append(1.5)
        beside = asyncio.ensure_future(
            world.cluster.call(A, "/t/", deadline_ms=2900)
        )
        await world.wait_until(2.6)
        answer = await world.cluster.call(B, "/s/", "POST", deadline_ms=2000)
        await beside
        await stopped
        assert (answer.status, calls) in ((200, [200]), (503, []))

    test_path.run(test())


def test_run_of_last_resort_after_a_pause_can_make_calls() -> None:
    """Between two runs nothing ran, and the port for calls was closed."""

    async def test() -> None:
        world = World()

        async def call(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            world.delays.append(0.0)
            inner = await world.cluster.call(A, "/t/", deadline_ms=2000)
            ok = inner.status == 200
            status = b"200 OK" if ok else b"500 Internal Server Error"
            writer.write(place.signed(got, b"whole", status))

        await world.begin(call)
        cluster = world.cluster
        stopped = world.stop()
        await world.wait_until(0.1)
        stop = cluster.daemons[A].daemon.stop
        assert stop is not None
        stop.spread = 1.0
        await world.wait_until(1.5)
        first = await cluster.call(B, "/s/", "POST", deadline_ms=3500)
        await world.wait_until(2.0)
        world.delays.append(1.5)
        beside = asyncio.ensure_future(
            cluster.call(A, "/t/", deadline_ms=2900)
        )
        await world.wait_until(2.5)
        runs = len(cluster.upstreams[C].got)
        late = await cluster.call(A, "/t/", deadline_ms=9000)
        assert (late.status, len(cluster.upstreams[C].got)) == (503, runs)
        await world.wait_until(2.6)
        second = await cluster.call(B, "/s/", "POST", deadline_ms=2000)
        await beside
        await stopped
        assert (first.status, second.status) == (200, 200)

    test_path.run(test())


@pytest.mark.parametrize("host", [A, B])
def test_run_that_waited_is_not_started_just_before_the_cut(
    host: str,
) -> None:
    """A second had to be left when it came, but not when it started.

    Requests that another daemon took are not started without a bound.
    """

    async def test() -> None:
        world = World()
        delays: collections.deque[float] = collections.deque()

        async def run(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(delays.popleft())
            writer.write(place.signed(got, b"whole"))

        await world.begin(run)
        cluster = world.cluster
        cluster.put_entry(A, "s", slots=1)
        cluster.policy(
            4,
            *(
                place.route(
                    path,
                    "s",
                    False,
                    test_stop_bounds.LONG_SECONDS,
                    objective=12.0,
                )
                for path in ("/s/", "/other/")
            ),
        )
        await cluster.wait_until_known(A, B, C)
        for path in (*20 * ["/s/"], *20 * ["/other/"]):
            delays.append(0.05)
            answer = await cluster.call(host, path, "POST", deadline_ms=14_000)
            assert answer.status == 200
        cluster.upstreams[A].got.clear()
        stopped = world.stop()
        began_at = time.monotonic()
        delays += [4.4, 0.8]
        calls = []
        for at, path in ((0.2, "/other/"), (0.5, "/s/")):
            await world.wait_until(at)
            calls.append(
                asyncio.ensure_future(
                    cluster.call(host, path, "POST", deadline_ms=14_000)
                )
            )
        answers = await asyncio.gather(*calls)
        await stopped
        assert time.monotonic() - began_at < GRACE
        statuses = [answer.status for answer in answers]
        runs = len(cluster.upstreams[A].got)
        if host == A:
            assert (statuses, runs) in (([200, 200], 2), ([200, 503], 1))
        else:
            assert (statuses, runs) == ([503, 503], 0)

    test_path.run(test())
