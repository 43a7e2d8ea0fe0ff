"""How connections with pipelined requests end, and what fails on them."""

from __future__ import annotations

import asyncio
import time

import pytest

from sassafrasstair import clocks
from sassafrasstair.decisions import pipelines
from sassafrasstair import httpio
from sassafrasstair.httpio import _connections
from tests.httpio import pipelined


def test_client_that_leaves_is_reported_for_each_running_request() -> None:
    """An instance would go on with a request that nobody waits for."""

    async def test() -> None:
        body = pipelined.request("/unsafe/4", body=b"abc")
        server = await pipelined.start_server(
            pipelined.requests("sss") + pipelined.requests("u") + body
        )
        await server.wait_until_started(0, 1, 2)
        server.answer(1, body=b"x" * 100)
        server.writer.close()
        while server.listener.connections:
            await asyncio.sleep(0.005)
        assert server.gone == ["0", "2"]
        server.answer(0)
        assert server.memory.held_bytes == 0
        assert server.fates.count(pipelines.Fate.DROPPED) == 2

    pipelined.run(test())


@pytest.mark.parametrize(
    ("kinds", "running"),
    [
        pytest.param("sss", 3, id="all run"),
        pytest.param("ssus", 2, id="unsafe one waits"),
        pytest.param("us", 1, id="unsafe one runs"),
    ],
)
def test_shutdown_closes_behind_all_that_was_read(
    kinds: str, running: int
) -> None:
    """Requests that waited for others were read, and got no answer."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests(kinds))
        await server.wait_until_started(*range(running))
        server.listener.closing = True
        server.writer.write(pipelined.request(f"/safe/{len(kinds)}"))
        await server.settle()
        answers: list[pipelined.Answer] = []
        while len(answers) <= len(kinds):
            for number in reversed(range(len(answers), len(server.started))):
                server.answer(number)
            answers.append(await server.read())
        assert [answer.closes for answer in answers] == [
            number == len(kinds) for number in range(len(answers))
        ]
        await server.assert_end()
        assert server.started == [f"{n}" for n in range(len(answers))]

    pipelined.run(test())


def test_shutdown_while_requests_wait_answers_them() -> None:
    """Only the first was answered, and its answer closed the connection."""

    async def test() -> None:
        server = pipelined.Server()
        await server.connect()
        server.listener.closing = True
        server.writer.write(pipelined.requests("sss"))
        await server.wait_until_started(0, 1, 2)
        for number in range(3):
            server.answer(number)
        closes = [(await server.read()).closes for _ in range(3)]
        assert closes == [False, False, True]
        await server.assert_end()

    pipelined.run(test())


def test_shutdown_ends_a_connection_whose_client_sends_on() -> None:
    """It went on for as long as requests came, and its client stayed."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests("u"))
        await server.wait_until_started(0)
        server.listener.closing = True
        for number in (1, 2, 3):
            server.writer.write(pipelined.request(f"/unsafe/{number}"))
            await server.settle()
        server.answer(0)
        await server.wait_until_started(0, 1)
        used = time.process_time()
        await asyncio.sleep(0.4)
        assert time.process_time() - used < 0.2
        server.answer(1)
        closes = [(await server.read()).closes for _ in range(2)]
        assert closes == [False, True]
        await server.assert_end()

    pipelined.run(test())


def test_answer_that_closes_waits_for_those_behind_it() -> None:
    """A handler closes the connection while requests behind it are there."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests("sssu"))
        await server.wait_until_started(0, 1, 2)
        server.answer(0, close=True)
        server.answer(1)
        server.answer(2)
        await server.wait_until_started(0, 1, 2, 3)
        server.answer(3)
        closes = [(await server.read()).closes for _ in range(4)]
        assert closes == [False, False, False, True]
        await server.assert_end()

    pipelined.run(test())


def test_failed_first_request_fails_no_other() -> None:
    """An error status must not close the connection under the others."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests("sss"))
        await server.wait_until_started(0, 1, 2)
        server.answer(0, status=502, body=b"")
        server.answer(1)
        server.answer(2)
        statuses = [(await server.read()).status for _ in range(3)]
        assert statuses == [502, 200, 200]
        server.writer.close()

    pipelined.run(test())


def test_exception_in_the_handler_ends_the_connection() -> None:
    """Answers behind a request without an answer would wait for ever."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests("uss"))
        await server.wait_until_started(0)
        handle = server.listener.handle

        def fail_last(exchange: httpio.Exchange) -> None:
            if exchange.request.target == b"/safe/2":
                raise RuntimeError
            handle(exchange)

        server.listener.handle = fail_last
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        server.answer(0)
        while server.listener.connections:
            await asyncio.sleep(0.005)
        assert server.gone == ["1"]
        server.writer.close()

    pipelined.run(test())


def test_interim_response_waits_for_earlier_answers() -> None:
    """The client would take it for the interim answer to its first request."""

    async def test() -> None:
        upload = (
            b"POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        server = await pipelined.start_server(pipelined.requests("s") + upload)
        await server.wait_until_started(0)
        server.answer(0)
        statuses = [(await server.read()).status for _ in range(2)]
        assert statuses == [200, 100]
        server.writer.write(b"ab")
        await server.wait_until_started(0, 1)
        assert server.exchanges["/unsafe/1"].request.body == b"ab"
        server.writer.close()

    pipelined.run(test())


def test_last_answer_reaches_a_client_that_has_sent_more() -> None:
    """Closing a socket with unread data resets the connection.

    The kernel then drops the part of the answer that it has not sent.
    """

    async def test() -> None:
        body = b"x" * 3_000_000
        last = pipelined.request("/unsafe/0", b"Connection: close\r\n")
        server = await pipelined.start_server(
            last + pipelined.request("/unsafe/1") * 10_000
        )
        await server.wait_until_started(0)
        server.answer(0, body=body)
        await asyncio.sleep(0.2)
        answer = await server.read()
        assert (answer.closes, answer.body) == (True, body)
        await server.assert_end()

    pipelined.run(test())


@pytest.mark.parametrize("size", [200_000, 3_000_000])
def test_last_answer_reaches_a_client_that_sends_on(size: int) -> None:
    """Its next request met a closed socket, which reset the connection."""

    async def test() -> None:
        body = b"x" * size
        server = await pipelined.start_server(pipelined.requests("u"))
        await server.wait_until_started(0)
        server.answer(0, body=body, close=True)
        await server.settle()
        server.writer.write(pipelined.requests("us"))
        await server.settle()
        answer = await server.read()
        assert (answer.closes, answer.body) == (True, body)
        await server.assert_end()

    pipelined.run(test())


def test_closed_connection_is_aborted_if_the_client_sends_on() -> None:
    """A client that neither closes nor stops would hold it open for ever."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests("u"))
        await server.wait_until_started(0)
        server.answer(0, close=True)
        assert (await server.read()).closes
        server.writer.write(pipelined.requests("s"))
        await server.settle()
        now = clocks.SystemClock().monotonic()
        server.listener.sweep(now)
        await server.settle()
        assert server.listener.connections
        server.writer.write(pipelined.requests("s"))
        await server.settle()
        server.listener.sweep(now + _connections.LINGER_SECONDS + 0.1)
        while server.listener.connections:
            await asyncio.sleep(0.005)
        server.writer.close()

    pipelined.run(test())


def test_no_request_starts_while_the_client_reads_no_answers() -> None:
    """Answers would collect in the daemon's memory without bound."""

    async def test() -> None:
        server = await pipelined.start_server(pipelined.requests("u"))
        await server.wait_until_started(0)
        body = b"x" * 20_000_000
        server.answer(0, body=body)
        server.writer.write(pipelined.request("/unsafe/1"))
        await server.wait_until_started(0)
        assert (await server.read()).body == body
        await server.wait_until_started(0, 1)
        server.writer.close()

    pipelined.run(test())


def test_answer_that_a_client_does_not_take_is_noted() -> None:
    """The log told of the answer only, not that it was cut."""

    async def test() -> None:
        reasons: list[str] = []
        server = await pipelined.start_server(pipelined.requests("u"))
        server.listener.note_cut = reasons.append
        await server.wait_until_started(0)
        server.answer(0, body=b"x" * 20_000_000)
        await server.settle()
        now = clocks.SystemClock().monotonic()
        server.listener.sweep(now)
        server.writer.transport.abort()
        while server.listener.connections:
            await asyncio.sleep(0.005)
        assert reasons == ["reset"]

    pipelined.run(test())
