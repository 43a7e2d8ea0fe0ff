"""A listener and its client for tests of pipelined requests."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from sassafrasstair import clocks
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import pipelines

HOST = "127.0.0.1"
MEMORY_BYTES = 4_000_000
LIMITS = httpio.Limits(
    head_bytes=400,
    body_bytes=100,
    head_seconds=0.2,
    body_seconds=0.2,
    idle_seconds=5.0,
)
SAFE_PREFIX = b"/safe/"
NONSENSE = b"nonsense\r\n\r\n"


def is_safe_request(request: httpio.Request) -> bool:
    return request.target.startswith(SAFE_PREFIX)


def request(target: str, headers: bytes = b"", body: bytes = b"") -> bytes:
    if body:
        headers += b"Content-Length: %d\r\n" % len(body)
    method = b"POST" if body else b"GET"
    line = b"%s %s HTTP/1.1\r\nHost: h\r\n" % (method, target.encode())
    return line + headers + b"\r\n" + body


def requests(kinds: str) -> bytes:
    """Return safe (``s``) and unsafe (``u``) requests, numbered from 0."""
    targets = {"s": "/safe/", "u": "/unsafe/"}
    return b"".join(
        request(f"{targets[kind]}{number}")
        for number, kind in enumerate(kinds)
    )


@dataclasses.dataclass
class Answer:
    """An answer as the client read it."""

    status: int
    target: str
    closes: bool
    body: bytes


class Server:
    """A listener whose requests a test answers, and one client of it."""

    def __init__(self, is_safe: bool = True) -> None:
        self.exchanges: dict[str, httpio.Exchange] = {}
        self.gone: list[str] = []
        self.fates: list[pipelines.Fate] = []
        optional: dict[str, typing.Any] = {}
        if is_safe:
            optional["is_idempotent"] = is_safe_request
        self.memory = httpio.MemoryBudget(MEMORY_BYTES)
        self.listener = httpio.Listener(
            self._handle,
            lambda status: [],
            clocks.SystemClock(),
            self.memory,
            note_pipelined=self.fates.append,
            **optional,
        )
        self.listener.limits = LIMITS
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Listen, and connect the client."""
        await self.listener.open(HOST, 0)
        assert self.listener._server is not None
        port = self.listener._server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(HOST, port)

    @property
    def started(self) -> list[str]:
        """The numbers of the requests that were started."""
        return [target.rpartition("/")[2] for target in self.exchanges]

    async def wait_until_started(self, *numbers: int) -> None:
        """Wait for exactly these requests to be started, in this order."""
        expected = [str(number) for number in numbers]
        while self.started != expected:
            assert len(self.started) <= len(expected), self.started
            await asyncio.sleep(0.005)
        await self.settle()
        assert self.started == expected

    async def settle(self) -> None:
        """Let the listener handle what it has received."""
        await asyncio.sleep(0.05)

    def answer(
        self,
        number: int,
        status: int = 200,
        body: bytes = b"ok",
        close: bool = False,
    ) -> None:
        """Answer a started request."""
        for target, exchange in self.exchanges.items():
            if target.rpartition("/")[2] == str(number):
                exchange.respond(
                    status, [(b"X-Of", target.encode())], body, close
                )

    async def read(self) -> Answer:
        """Read the next answer."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5.0)
        line, *lines = head.strip().split(b"\r\n")
        fields = dict(line.split(b": ") for line in lines)
        size = int(fields.get(b"Content-Length", b"0"))
        body = await asyncio.wait_for(self.reader.readexactly(size), 5.0)
        return Answer(
            int(line.split(b" ")[1]),
            fields.get(b"X-Of", b"").decode(),
            fields.get(b"Connection") == b"close",
            body,
        )

    async def assert_end(self) -> None:
        """Check that the connection ends without another byte."""
        assert await asyncio.wait_for(self.reader.read(), 5.0) == b""
        self.writer.close()
        while self.listener.connections:
            await asyncio.sleep(0.005)
        assert self.memory.held_bytes == 0
        assert self.listener.answers.held_bytes == 0

    def _handle(self, exchange: httpio.Exchange) -> None:
        target = exchange.request.target.decode()
        assert target not in self.exchanges
        self.exchanges[target] = exchange
        exchange.gone = lambda: self.gone.append(target.rpartition("/")[2])


def run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in its own event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(test, 20.0))


async def start_server(sent: bytes, is_safe: bool = True) -> Server:
    server = Server(is_safe)
    await server.connect()
    server.writer.write(sent)
    return server
