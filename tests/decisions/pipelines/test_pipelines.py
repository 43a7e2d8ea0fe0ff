"""Tests of the order of pipelined requests, for any order of events."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasstair.decisions import pipelines

LIMITS = pipelines.Limits(started_max=3, waiting_max=4, held_bytes_max=100)
Phase = pipelines.Phase


@dataclasses.dataclass(eq=False, slots=True)
class Request(pipelines.Entry):
    """A request; ``safe`` if it is idempotent, ``number`` by arrival."""

    number: int = 0
    safe: bool = True


def _is_safe(request: Request) -> bool:
    return request.safe


class Connection:
    """A connection whose events a test chooses, with checks of each step.

    ``started``, ``written`` and ``gone`` are the numbers of requests that
    were started, answered, or reported to have lost their client.
    """

    def __init__(self) -> None:
        self.pipeline: pipelines.Pipeline[Request] = pipelines.new_pipeline(
            LIMITS
        )
        self.requests: list[Request] = []
        self.refusals: list[Request] = []
        self.started: list[Request] = []
        self.written: list[Request] = []
        self.gone: list[Request] = []
        self.closed = False
        self.left = False

    def receive(self, safe: bool = True, keep_alive: bool = True) -> None:
        """Receive a request, unless reading is paused."""
        if pipelines.is_full(self.pipeline) or self.closed:
            return
        request = Request(keep_alive, number=len(self.requests), safe=safe)
        if pipelines.add(self.pipeline, request):
            self.requests.append(request)
        self.start()

    def refuse(self) -> None:
        """Receive what is not a request."""
        if self.closed:
            return
        request = Request(number=len(self.requests))
        if pipelines.add_refusal(self.pipeline, request):
            self.requests.append(request)
            self.refusals.append(request)
        self.write()

    def start(self) -> None:
        """Start all requests that may start, and check that each may."""
        while request := pipelines.start_next(self.pipeline, _is_safe):
            assert not self.closed
            assert request not in self.refusals
            running = self.unanswered()
            if running:
                assert request.safe
                assert all(other.safe for other in running)
            assert len(running) < LIMITS.started_max
            self.started.append(request)

    def unanswered(self) -> list[Request]:
        """Return the started requests whose answers are not written."""
        return [
            request
            for request in self.started
            if request not in self.written and request not in self.gone
        ]

    def answer(self, position: int, size: int = 1) -> None:
        """Answer one of the running requests."""
        running = [
            request
            for request in self.started
            if request.phase is Phase.RUNNING
        ]
        if running:
            request = running[position % len(running)]
            assert pipelines.answer(self.pipeline, request, size)
            assert not pipelines.answer(self.pipeline, request, size)
        self.write()

    def write(self) -> None:
        """Write all answers whose turn it is."""
        while request := pipelines.pop_answered(self.pipeline):
            assert not self.closed
            self.written.append(request)
            if request.closes:
                self.closed = True
                removed = pipelines.clear(self.pipeline)
                assert removed == pipelines.Removed((), (), ())
        self.start()

    def leave(self) -> None:
        """Lose the client."""
        self.closed = self.left = True
        removed = pipelines.clear(self.pipeline)
        self.gone += [*removed.running, *removed.answered]

    def close_soon(self) -> None:
        """Begin to close the connection."""
        pipelines.close_soon(self.pipeline)

    def read_slowly(self, unread: bool) -> None:
        """Let the client stop to read its answers, or go on."""
        self.pipeline.unread = unread
        self.start()

    def check(self) -> None:
        """Check what holds after each event."""
        pipeline = self.pipeline
        numbers = [request.number for request in self.written]
        assert numbers == list(range(len(numbers)))
        started = [request.number for request in self.started]
        assert started == sorted(set(started))
        assert len(pipeline.entries) <= (
            LIMITS.started_max + LIMITS.waiting_max + 1
        )
        assert pipeline.started <= LIMITS.started_max
        assert pipeline.held_bytes == sum(
            request.held_bytes for request in pipeline.entries
        )
        if self.closed:
            assert not pipeline.entries
            assert not self.unanswered()
            assert self.left or self.written == self.requests


EVENTS = strategies.one_of(
    strategies.tuples(
        strategies.just("receive"),
        strategies.booleans(),
        strategies.just(True),
    ),
    strategies.tuples(
        strategies.just("receive"),
        strategies.booleans(),
        strategies.booleans(),
    ),
    strategies.tuples(
        strategies.just("answer"),
        strategies.integers(0, 9),
        strategies.sampled_from([0, 1, 60, 200]),
    ),
    strategies.tuples(strategies.just("read_slowly"), strategies.booleans()),
    strategies.sampled_from([("refuse",), ("leave",), ("close_soon",)]),
)


@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(events=strategies.lists(EVENTS, max_size=60))
def test_any_interleaving_keeps_order_and_bounds(
    events: list[tuple[str, ...]],
) -> None:
    """Answers out of order, or requests run beside an unsafe one.

    Each started request is answered or reported gone, and none starts behind
    an answer that closes the connection. All that was read is answered then,
    unless the client left.
    """
    connection = Connection()
    for name, *values in events:
        getattr(connection, name)(*values)
        connection.check()
    connection.read_slowly(False)
    while connection.unanswered():
        connection.answer(0)
        connection.check()
    assert not connection.pipeline.entries
    assert connection.left or connection.written == connection.requests


def _received(kinds: str) -> Connection:
    """Return a connection with safe (``s``) and unsafe (``u``) requests."""
    connection = Connection()
    for kind in kinds:
        connection.receive(kind == "s")
    return connection


@pytest.mark.parametrize(
    ("kinds", "started"),
    [
        pytest.param("sss", 3, id="safe ones run side by side"),
        pytest.param("ssss", 3, id="only so many"),
        pytest.param("ssu", 2, id="an unsafe one waits for those before"),
        pytest.param("uss", 1, id="all behind an unsafe one wait"),
        pytest.param("sus", 1, id="none overtakes an unsafe one"),
        pytest.param("u", 1, id="a single one starts at once"),
    ],
)
def test_requests_start_that_may_run_beside_others(
    kinds: str, started: int
) -> None:
    assert len(_received(kinds).started) == started


def test_nothing_is_taken_behind_a_request_that_closes() -> None:
    """It would run, and run again when the client sends it again."""
    connection = Connection()
    connection.receive()
    connection.receive(keep_alive=False)
    connection.receive()
    connection.refuse()
    assert len(connection.started) == 2
    connection.answer(1)
    connection.answer(0)
    assert [request.closes for request in connection.written] == [False, True]


def test_refusal_is_written_in_its_turn_and_closes() -> None:
    """A bad request must not hide the answers to good ones before it."""
    connection = _received("su")
    connection.refuse()
    connection.receive()
    connection.answer(0)
    connection.answer(0)
    closes = [request.closes for request in connection.written]
    assert closes == [False, False, True]
    assert len(connection.started) == 2


def test_kind_of_a_single_request_is_not_looked_up() -> None:
    """Connections without pipelining would pay for the lookup."""
    pipeline: pipelines.Pipeline[Request] = pipelines.new_pipeline(LIMITS)

    def fail(request: Request) -> bool:
        raise AssertionError

    for _ in range(3):
        request = Request()
        assert pipelines.add(pipeline, request)
        assert pipelines.start_next(pipeline, fail) is request
        assert pipelines.start_next(pipeline, fail) is None
        assert pipelines.answer(pipeline, request, 1)
        assert pipelines.pop_answered(pipeline) is request
        assert not request.pipelined


def test_request_that_turned_unsafe_while_it_waited_runs_alone() -> None:
    """The policy changes between a request's arrival and its start."""
    connection = _received("ssss")
    waiting = connection.requests[3]
    waiting.safe = False
    connection.answer(0)
    assert waiting not in connection.started
    connection.answer(0)
    connection.answer(0)
    assert waiting in connection.started


def test_large_answers_that_wait_hold_back_further_starts() -> None:
    """A slow first request would collect answers without bound."""
    connection = _received("sss")
    connection.answer(1, LIMITS.held_bytes_max + 1)
    connection.answer(0, LIMITS.held_bytes_max + 1)
    assert [request.number for request in connection.written] == [0, 1]
    connection = _received("ss")
    connection.answer(1, LIMITS.held_bytes_max + 1)
    connection.receive()
    assert len(connection.started) == 2
    connection.answer(0)
    assert len(connection.started) == 3


def test_last_answer_closes() -> None:
    """A close on an earlier answer would lose what was read behind it."""
    connection = _received("sssu")
    connection.close_soon()
    for _ in range(4):
        connection.answer(0)
    closes = [request.closes for request in connection.written]
    assert closes == [False, False, False, True]
    assert len(connection.started) == 4


def test_requests_that_wait_are_answered_before_the_close() -> None:
    """The first of them was, and the others were dropped."""
    connection = _received("uu")
    connection.answer(0)
    connection.close_soon()
    connection.receive()
    connection.answer(0)
    connection.answer(0)
    closes = [request.closes for request in connection.written]
    assert closes == [False, False, True]
    assert len(connection.started) == 3


def test_no_request_starts_while_the_client_reads_nothing() -> None:
    """Answers would collect in the transport's buffer without bound."""
    connection = Connection()
    connection.read_slowly(True)
    connection.receive()
    assert not connection.started
    connection.read_slowly(False)
    assert len(connection.started) == 1


@pytest.mark.parametrize(
    ("kinds", "closes"),
    [
        pytest.param("u", [True], id="alone"),
        pytest.param("uus", [False, False, True], id="others wait"),
        pytest.param("sss", [False, False, True], id="others run"),
    ],
)
def test_close_comes_with_the_answer_behind_which_nothing_is_left(
    kinds: str, closes: list[bool]
) -> None:
    """Requests that had been read were dropped with the connection."""
    connection = _received(kinds)
    connection.close_soon()
    pipeline = connection.pipeline
    for expected in closes:
        assert pipelines.should_pause_reading(pipeline)
        entry = pipeline.entries[0]
        assert pipelines.answer(pipeline, entry, 1)
        assert pipelines.pop_answered(pipeline) is entry
        assert entry.closes is expected
        pipelines.start_next(pipeline, _is_safe)
    assert not pipelines.should_pause_reading(pipeline)
