"""Tests of the memory that is counted for the bodies of requests."""

from __future__ import annotations

import pytest

from tests.httpio import pipelined

BLANK_LINES = b"\r\n" * pipelined.LIMITS.head_bytes
REST = {"nonsense": pipelined.NONSENSE, "blank lines": BLANK_LINES}


@pytest.mark.parametrize("rest", REST.values(), ids=REST)
def test_body_before_a_rejected_request_is_released_once(rest: bytes) -> None:
    """It was released twice, and others could hold more than the limit."""

    async def test() -> None:
        server = await pipelined.start_server(
            pipelined.request("/unsafe/0", body=b"abc")
        )
        await server.wait_until_started(0)
        server.writer.write(rest)
        await server.settle()
        assert server.memory.held_bytes == len(b"abc")
        server.answer(0)
        statuses = [(await server.read()).status for _ in range(2)]
        assert statuses == [200, 400]
        await server.assert_end()

    pipelined.run(test())
