"""Clients that keep connections open and use them at random moments."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random

from sassafrasstair import httpio
from tests.platform.soak import clients
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import losses
from tests.platform.soak import oracle as oracle_module

IDLE_SECONDS = (0.0, 8.0)
CONNECT_SECONDS = (0.05, 0.5)
"""The pause before a connection is opened."""
PATIENCE = (2.0, 5.0)
LONG_SHARE = 0.5
"""Of the requests, how many ask the instance to work longer."""
WORK_SECONDS = (0.1, 1.0)
HALVES_SECONDS = (0.02, 0.8)
PIECES_SECONDS = (0.1, 0.9)
PIECES = 8
AHEAD = 3
MANNERS = ("whole", "halves", "pieces", "ahead")


@dataclasses.dataclass(frozen=True)
class Draft:
    """A request that a client is about to send."""

    key: str
    route: str
    idempotent: bool
    target: str
    body: bytes
    patience: float


class Client:
    """Uses one connection to a daemon at a time."""

    manners: tuple[str, ...] = MANNERS
    idle_seconds = IDLE_SECONDS

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        vm: fleet_module.Vm,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._vm = vm
        self._oracle = fleet.oracle
        self._host = vm.host
        self._service = vm.upstream.service
        self._rng = rng

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*CONNECT_SECONDS))
            try:
                reader, writer = await asyncio.open_connection(
                    self._host, fleet_module.OUTBOUND
                )
            except OSError:
                continue
            try:
                while await self._use(reader, writer):
                    pass
            finally:
                writer.transport.abort()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send after a pause; return whether the connection stays open."""
        await asyncio.sleep(self._idle())
        if reader.at_eof() or reader.exception() is not None:
            return False
        manner = self._rng.choice(self.manners)
        sent: list[losses.Life] = []
        data = b""
        for _ in range(AHEAD if manner == "ahead" else 1):
            life, request = self._request(manner)
            life.was_open = True
            sent.append(life)
            data += request
        answered = asyncio.ensure_future(
            self._read(reader, writer, sent, manner)
        )
        for seconds, piece in self._pieces(manner, data):
            if seconds:
                await asyncio.wait([answered], timeout=seconds)
            if answered.done():
                return False
            writer.write(piece)
        for life in sent:
            life.whole_at = asyncio.get_running_loop().time()
        self._sent(manner, sent, writer)
        return await answered

    def _idle(self) -> float:
        """Return how long the connection stays idle."""
        return self._rng.uniform(*self.idle_seconds)

    def _sent(
        self,
        manner: str,
        sent: list[losses.Life],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Note that all bytes have been written."""

    def _draw(self, manner: str) -> Draft:
        """Draw a request."""
        key = clients.new_key()
        idempotent = manner != "pieces" and self._rng.random() < 0.7
        route = "deep" if idempotent else "once"
        target = f"/{route}/{key}"
        if self._rng.random() < LONG_SHARE:
            target += f"?work={self._rng.uniform(*WORK_SECONDS):.3f}"
        body = b"" if idempotent else key.encode() * 20
        patience = self._rng.uniform(*PATIENCE)
        return Draft(key, route, idempotent, target, body, patience)

    def _request(self, manner: str) -> tuple[losses.Life, bytes]:
        """Note a request that is about to be sent, and return its bytes."""
        draft = self._draw(manner)
        key = draft.key
        self._oracle.send(
            oracle_module.Sent(
                key,
                draft.route,
                draft.idempotent,
                self._service,
                draft.target,
                draft.body,
                draft.patience,
                at=asyncio.get_running_loop().time(),
                entrance=self._host,
            )
        )
        life = self._oracle.losses.lives[key]
        life.whole_at = math.inf
        life.kept = True
        life.manner = manner
        fields = [
            (b"Host", clients.HOST),
            (b"Sassafrasstair-Request-Id", key.encode()),
            (b"Sassafrasstair-Deadline-Ms", b"%d" % (draft.patience * 1000)),
        ]
        method = b"GET" if draft.idempotent else b"POST"
        head = httpio.request_head(
            method, draft.target.encode(), fields, len(draft.body)
        )
        return life, head + draft.body

    def _pieces(self, manner: str, data: bytes) -> list[tuple[float, bytes]]:
        """Return the pieces to send, each with the pause before it."""
        rng = self._rng
        if manner == "halves":
            cut = rng.randrange(1, len(data))
            pause = rng.uniform(*HALVES_SECONDS)
            return [(0.0, data[:cut]), (pause, data[cut:])]
        if manner == "pieces":
            pause = rng.uniform(*PIECES_SECONDS) / PIECES
            size = math.ceil(len(data) / PIECES)
            starts = range(0, len(data), size)
            return [
                (pause if start else 0.0, data[start : start + size])
                for start in starts
            ]
        return [(0.0, data)]

    async def _read(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: list[losses.Life],
        manner: str,
    ) -> bool:
        """Read the answers; return whether the connection stays open."""
        stays = True
        for life in sent:
            try:
                async with asyncio.timeout(
                    life.patience + clients.LATE_SECONDS
                ):
                    stays = await self._read_answer(reader, life)
            except TimeoutError:
                self._oracle.departures.left(life.key)
                return False
            except (OSError, asyncio.IncompleteReadError):
                life.end(losses.Ending.CLOSED)
                stays = False
        return stays

    async def _read_answer(
        self, reader: asyncio.StreamReader, life: losses.Life
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.rstrip().split(b"\r\n")
        fields: dict[bytes, bytes] = {}
        for line in lines:
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
        length = int(fields.get(b"content-length", b"0"))
        body = await reader.readexactly(length)
        signature = fields.get(oracle_module.SIGNATURE.lower().encode(), b"")
        self._oracle.passed_on(self._host, fields)
        self._oracle.answered(
            life.key, int(first.split()[1]), signature.decode(), body
        )
        return fields.get(b"connection", b"").lower() != b"close"


def keep_connections(
    fleet: fleet_module.Fleet, each: int, kind: type[Client] = Client
) -> asyncio.Future[None]:
    """Use ``each`` kept connections at every VM until cancelled."""
    rng = random.Random(fleet.rng.random())
    keepers = [kind(fleet, vm, rng) for vm in fleet.vms for _ in range(each)]

    async def run() -> None:
        await asyncio.gather(*(keeper.run() for keeper in keepers))

    return asyncio.ensure_future(run())
