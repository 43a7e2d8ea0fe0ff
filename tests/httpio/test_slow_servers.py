"""Tests of other daemons that read the body of a request late."""

from __future__ import annotations

import asyncio

import pytest

from sassafrasstair import clocks
from sassafrasstair import httpio

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNREAD_SECONDS = 2.5


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(UNREAD_SECONDS)
    size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
    await reader.readexactly(size)
    writer.write(ANSWER)


@pytest.mark.parametrize("size", [1_000, 8_000_000])
def test_request_whose_body_is_read_late_is_answered(size: int) -> None:
    """The kernel ended a connection whose server did not read for a while."""

    async def test() -> None:
        server = await asyncio.start_server(_serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        pool = httpio.Pool(HOST, port, clocks.SystemClock(), 30.0)
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[httpio.Response | httpio.Failure] = (
            loop.create_future()
        )
        head = httpio.request_head(b"POST", b"/", [(b"Host", b"h")], size)
        pool.send(httpio.Job(head + b"x" * size, ended.set_result))
        result = await asyncio.wait_for(ended, 10.0)
        assert isinstance(result, httpio.Response), result
        pool.close()
        server.close()

    asyncio.run(test())
