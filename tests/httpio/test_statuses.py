"""A response with an invalid status is garbled."""

from __future__ import annotations

import asyncio

import pytest

from sassafrasstair import httpio
from tests.httpio import test_pools

ANSWERS = {
    "length": b"HTTP/1.1 %s X\r\nX-Id: now\r\nContent-Length: 2\r\n\r\nok",
    "no length": b"HTTP/1.1 %s X\r\nX-Id: now\r\n\r\nok",
    "late": b"HTTP/1.1 %s X\r\nX-Id: old\r\nContent-Length: 2\r\n\r\nok",
}
INVALID = (b"000", b"001", b"099", b"600", b"700", b"999")


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
@pytest.mark.parametrize("status", INVALID)
def test_response_with_an_invalid_status_is_garbled_at_once(
    status: bytes, answer: bytes
) -> None:
    """It was taken for an interim one, or passed on as it was."""

    async def run() -> None:
        script = test_pools.Script((answer % status,))
        server = test_pools.Server(script)
        await server.open()
        pool = test_pools._pool(server.port)
        async with asyncio.timeout(1.0):
            result = await test_pools._send(pool)
        assert result is httpio.Failure.GARBLED
        assert not pool.memory.held_bytes
        pool.close()

    asyncio.run(run())


@pytest.mark.parametrize("status", [b"200", b"299", b"404", b"499", b"599"])
def test_response_with_a_valid_status_is_whole(status: bytes) -> None:
    async def run() -> None:
        script = test_pools.Script((ANSWERS["length"] % status,))
        server = test_pools.Server(script)
        await server.open()
        pool = test_pools._pool(server.port)
        result = await test_pools._send(pool)
        assert isinstance(result, httpio.Response)
        assert (result.status, result.body) == (int(status), b"ok")
        pool.close()

    asyncio.run(run())
