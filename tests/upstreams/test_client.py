from __future__ import annotations

import asyncio
import socket
import threading
import time
import typing

import pytest

from sassafrasstair import outcomes
from sassafrasstair import upstreams
from tests import loopback
from tests import notices

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import httpio

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class RawUpstream:
    """Answers each request with the next of ``answers``; b"" closes."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.heads: list[bytes] = []
        self.connections = 0

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        answer = b"-"
        while answer:
            try:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            except asyncio.IncompleteReadError:
                break
            answer = self.answers.pop(0)
            writer.write(answer)
        writer.close()


def run(
    raw: RawUpstream,
    scenario: abc.Callable[[upstreams.Upstream], abc.Awaitable[None]],
) -> None:
    async def serve_and_run() -> None:
        port = loopback.free_ports(1)[0]
        async with await asyncio.start_server(raw, "127.0.0.1", port):
            upstream = upstreams.connect(f"http://127.0.0.1:{port}")
            await scenario(upstream)
            await upstreams.close(upstream)

    asyncio.run(serve_and_run())


def request(
    method: str = "PUT", path: str = "/", *headers: tuple[str, str]
) -> upstreams.Request:
    return upstreams.Request(method, path, headers, b"")


async def read(
    upstream: upstreams.Upstream, sent: upstreams.Request
) -> tuple[upstreams.Response, bytes]:
    response = await upstreams.send(upstream, sent)
    chunks = [chunk async for chunk in response.chunks]
    return response, b"".join(chunks)


@pytest.mark.parametrize(
    ("field", "connections"),
    [
        (b"", 1),
        (b"keep-alive: timeout=30, max=9\r\n", 1),
        (b"keep-alive: timeout=soon\r\n", 1),
        (b"keep-alive: max=9, timeout=1\r\n", 2),
        (b"keep-alive: timeout=0\r\n", 2),
    ],
)
def test_connection_that_its_upstream_is_about_to_close_is_not_used(
    field: bytes, connections: int
) -> None:
    """Requests met the end of their connection, with an unknown outcome."""
    answer = OK.replace(b"content-length", field + b"content-length")
    raw = RawUpstream(answer, answer)

    async def scenario(upstream: upstreams.Upstream) -> None:
        for _ in range(2):
            response, _ = await read(upstream, request())
            assert response.status == 200
            await asyncio.sleep(0.05)

    run(raw, scenario)
    assert raw.connections == connections


def test_connection_that_closed_while_the_loop_was_busy_is_not_used() -> None:
    """A request that did not run had an unknown outcome."""
    may_close, closed = threading.Event(), threading.Event()
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        first, _ = listener.accept()
        first.recv(4096)
        first.sendall(OK)
        may_close.wait(5.0)
        first.close()
        closed.set()
        second, _ = listener.accept()
        second.recv(4096)
        second.sendall(OK)
        second.close()

    async def scenario() -> None:
        port = listener.getsockname()[1]
        upstream = upstreams.connect(f"http://127.0.0.1:{port}")
        await read(upstream, request())
        may_close.set()
        assert closed.wait(5.0)
        time.sleep(0.05)
        _, body = await read(upstream, request())
        assert body == b"ok"
        await upstreams.close(upstream)

    threading.Thread(target=serve, daemon=True).start()
    asyncio.run(asyncio.wait_for(scenario(), 5.0))
    listener.close()


def test_put_that_may_have_run_is_not_sent_again() -> None:
    """Guard against a PUT that runs twice though it was sent once.

    The upstream runs the request and closes a reused connection before it
    answers. By default the HTTP library then sends an idempotent method
    again.
    """
    raw = RawUpstream(OK, b"", OK)

    async def scenario(upstream: upstreams.Upstream) -> None:
        await read(upstream, request())
        with pytest.raises(upstreams.UpstreamError) as raised:
            await read(upstream, request())
        assert raised.value.outcome is outcomes.Outcome.UNKNOWN

    run(raw, scenario)
    assert len(raw.heads) == 2


def test_request_reaches_the_upstream_unchanged() -> None:
    """Encoded paths and the bytes of header values are not changed."""
    raw = RawUpstream(OK)
    path = "/a%2Fb/%41//c;d=e/../?x=%20&y=+#"[:-1]
    value = "é".encode().decode("latin-1")
    sent = request("GET", path, ("x-name", value), ("expect", "100-continue"))

    async def scenario(upstream: upstreams.Upstream) -> None:
        await read(upstream, sent)

    run(raw, scenario)
    head = raw.heads[0].lower()
    assert raw.heads[0].startswith(f"GET {path} HTTP/1.1\r\n".encode())
    assert b"x-name: \xc3\xa9\r\n" in head
    assert head.count(b"\r\n") == len(("request", "host", "x-name", "end"))


@pytest.mark.parametrize(
    ("method", "answer", "headers", "body"),
    [
        ("HEAD", OK[:-2], (("content-length", "2"),), b""),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", (), b""),
        (
            "GET",
            b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
            (("content-length", "9"),),
            b"",
        ),
        (
            "GET",
            b"HTTP/1.1 200 OK\r\nX: \xff\xc3\xa9\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            (("x", "\xff\xc3\xa9"),),
            b"ok",
        ),
    ],
    ids=["head", "no content", "not modified", "odd bytes"],
)
def test_response_is_returned_unchanged(
    method: str, answer: bytes, headers: typing.Any, body: bytes
) -> None:
    async def scenario(upstream: upstreams.Upstream) -> None:
        response, got = await read(upstream, request(method))
        assert (response.headers, got) == (headers, body)

    run(RawUpstream(answer), scenario)


@pytest.mark.parametrize(
    ("header", "outcome"),
    [
        (b"Sassafras-Outcome: not-run\r\n", outcomes.Outcome.NOT_RUN),
        (b"", outcomes.Outcome.UNKNOWN),
    ],
)
def test_refusal_keeps_the_connection(
    header: bytes, outcome: outcomes.Outcome
) -> None:
    """Guard against a new connection to an overloaded upstream per refusal."""
    refused = b"HTTP/1.1 503 Busy\r\n%scontent-length: 2\r\n\r\nno" % header
    raw = RawUpstream(refused, refused)

    async def scenario(upstream: upstreams.Upstream) -> None:
        for _ in range(2):
            with pytest.raises(upstreams.UpstreamError) as raised:
                await upstreams.send(upstream, request())
            assert raised.value.outcome is outcome

    run(raw, scenario)
    assert (len(raw.heads), raw.connections) == (2, 1)


LEAVING = notices.leaving_fields(b"Sassafras-Leaving")


@pytest.mark.parametrize(
    "fields",
    [
        *LEAVING.values(),
        [(b"Sassafras-Limit", b"many"), *LEAVING["plain"]],
    ],
    ids=[*LEAVING, "beside_an_unreadable_limit"],
)
def test_leaving_is_understood_however_the_header_is_written(
    fields: httpio.Fields,
) -> None:
    lines = b"".join(b"%s: %s\r\n" % field for field in fields)
    answer = OK.replace(b"content-length", lines + b"content-length")

    async def scenario(upstream: upstreams.Upstream) -> None:
        response = await upstreams.send(upstream, request())
        assert response.notice is not None
        assert response.notice.leaving

    run(RawUpstream(answer), scenario)
