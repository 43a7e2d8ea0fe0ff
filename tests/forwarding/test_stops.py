"""Tests of a planned stop as clients with open connections see it."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
WORK_SECONDS = 0.1
CLIENTS = 25
BODY = b"x" * 400
PIECES = 8
GRACES = (1.0, 2.0, 4.0)


@dataclasses.dataclass(frozen=True)
class Ended:
    """How a request ended; times are seconds after SIGTERM.

    ``status`` is 0 if the connection ended without an answer.
    """

    began_at: float
    ended_at: float
    status: int
    runs: int
    signed: bool

    @property
    def lost(self) -> bool:
        """Whether an instance ran it, and its answer did not come."""
        return self.runs > 0 and not self.signed

    @property
    def misreported(self) -> bool:
        """Whether the client was told that it has not run, and it has."""
        return self.runs > 0 and self.status == 503


class Stop:
    """A daemon that is stopped, and clients that keep connections open.

    The instance is on another VM and answers after ``work`` seconds.
    """

    def __init__(self, grace: float, work: float = WORK_SECONDS) -> None:
        self.cluster = place.Cluster()
        self.cluster.grace = grace
        self.work = work
        self.runs: collections.Counter[str] = collections.Counter()
        self.signalled = asyncio.Event()
        self._signalled_at = 0.0

    async def start(
        self, timeout: float = 2.0, objective: float = 0.5
    ) -> None:
        """Start two daemons and an instance."""
        self.cluster.policy(
            3,
            place.route("/s/", "s", True, timeout, objective=objective),
            place.route("/u/", "s", False, timeout, objective=objective),
        )
        await self.cluster.upstream(B, "s", self._script, slots=200)
        await self.cluster.daemon(A, "front")
        await self.cluster.daemon(B, "s")
        await self.cluster.wait_until_known(A, B)

    async def connect(self) -> Client:
        """Return a client with an open connection, which was used once."""
        reader, writer = await asyncio.open_connection(
            A, self.cluster.ports[0]
        )
        client = Client(self, reader, writer)
        assert (await client.call()).status == 200
        return client

    async def signal(self) -> None:
        """Send SIGTERM, and wait until the process has ended."""
        self._signalled_at = asyncio.get_running_loop().time()
        self.signalled.set()
        await self.cluster.stop(A)

    @property
    def elapsed(self) -> float:
        """The seconds since SIGTERM."""
        return asyncio.get_running_loop().time() - self._signalled_at

    async def wait_until(self, at: float) -> None:
        """Wait until ``at`` seconds after SIGTERM."""
        await self.signalled.wait()
        await asyncio.sleep(max(0.0, at - self.elapsed))

    async def _script(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.runs[got.fields[b"x-request"].decode()] += 1
        await asyncio.sleep(self.work)
        writer.write(place.signed(got, b"whole"))


class Client:
    """A client's connection."""

    def __init__(
        self,
        stop: Stop,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.stop = stop
        self.reader = reader
        self.writer = writer

    async def call(self) -> Ended:
        """Send a request and read its answer."""
        key, head = self.stop.cluster.request("/s/")
        self.writer.write(head)
        return await self.ended(key, 0.0)

    async def ended(self, key: str, began_at: float) -> Ended:
        """Read the answer to a request."""
        answer = await place.read_answer(self.reader, 0.0)
        return Ended(
            began_at,
            self.stop.elapsed,
            answer.status,
            self.stop.runs[key],
            b"x-signature" in answer.fields,
        )


Send = typing.Callable[
    [Client, float], typing.Coroutine[typing.Any, typing.Any, list[Ended]]
]


async def send_at_once(client: Client, at: float) -> list[Ended]:
    """Use the idle connection for a request."""
    await client.stop.wait_until(at)
    key, head = client.stop.cluster.request("/u/", "POST")
    client.writer.write(head)
    return [await client.ended(key, at)]


async def send_in_halves(client: Client, at: float) -> list[Ended]:
    """Send the second half of the head some time after the first."""
    key, head = client.stop.cluster.request("/s/")
    await client.stop.wait_until(at)
    client.writer.write(head[:30])
    await client.stop.wait_until(at + 0.2)
    client.writer.write(head[30:])
    return [await client.ended(key, at)]


async def send_in_pieces(client: Client, at: float) -> list[Ended]:
    """Send the body in pieces."""
    key, head = client.stop.cluster.request("/u/", "POST", len(BODY))
    size = len(BODY) // PIECES
    await client.stop.wait_until(at)
    client.writer.write(head)
    for start in range(0, len(BODY), size):
        client.writer.write(BODY[start : start + size])
        await asyncio.sleep(0.5 / PIECES)
    return [await client.ended(key, at)]


async def send_ahead(client: Client, at: float) -> list[Ended]:
    """Send three requests before the first one is answered."""
    await client.stop.wait_until(at)
    sent = [client.stop.cluster.request("/s/") for _ in range(3)]
    client.writer.write(b"".join(head for _, head in sent))
    return [await client.ended(key, at) for key, _ in sent]


async def _play(stop: Stop, send: Send) -> list[Ended]:
    """Send requests at all moments of a stop; return how they ended."""
    grace = stop.cluster.grace
    clients = await asyncio.gather(*(stop.connect() for _ in range(CLIENTS)))
    tasks = [
        asyncio.ensure_future(send(client, grace * number / CLIENTS))
        for number, client in enumerate(clients)
    ]
    await stop.signal()
    assert stop.elapsed <= grace
    return [ended for found in await asyncio.gather(*tasks) for ended in found]


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize(
    "send", [send_at_once, send_in_halves, send_in_pieces, send_ahead]
)
def test_request_on_an_open_connection_is_not_given_up_at_a_stop(
    send: Send, grace: float
) -> None:
    """Clients use a connection that was idle, late in the grace period."""

    async def test() -> None:
        stop = Stop(grace)
        await stop.start()
        ended = await _play(stop, send)
        assert [one for one in ended if one.lost] == []
        assert [one for one in ended if one.misreported] == []

    test_path.run(test())


def test_upload_under_way_is_not_cut_when_nothing_else_is_in_flight() -> None:
    """Only requests that were read whole used to delay the end."""

    async def test() -> None:
        stop = Stop(4.0, 0.0)
        await stop.start(4.0)
        client = await stop.connect()
        key, head = stop.cluster.request("/u/", "POST", len(BODY))
        client.writer.write(head + BODY[:100])

        async def finish() -> Ended:
            for at in (0.6, 1.2, 1.8, 2.4):
                await stop.wait_until(at)
                client.writer.write(BODY[100:175])
            await stop.wait_until(2.7)
            return await client.ended(key, 0.0)

        finished = asyncio.ensure_future(finish())
        await stop.signal()
        assert (await finished).status == 200

    test_path.run(test())
