"""Tests of a planned stop under chains, uploads and short timeouts."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

import pytest

from tests.forwarding import place
from tests.forwarding import test_path
from tests import loopback

A, B, C = place.HOSTS
D = "127.0.0.14"
HOSTS = (A, B, C, D)
FRONT_SECONDS = 0.16
MIDDLE_SECONDS = 0.02
LAST_SECONDS = 0.02
UPLOAD_SECONDS = 0.19
CALLS_TOGETHER = 2
CALLS_IN_TURN = 5
NO_TIMEOUT = 30.0
LATE_SECONDS = 3.0
AT_WORK_RATIO = 5.0 / 6.0
"""What was sent sooner after SIGTERM may be cut if it is still at work at this
fraction of the grace period."""
CLIENTS = 20
BESIDE = 12
"""Clients of a daemon that does not stop."""
GRACES = (2.0, 4.0)
PIECES = 8
UPLOAD_BYTES = (60_000, 360_000)


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests that are sent alike; times are in seconds."""

    path: str
    method: str
    timeout: float
    deadline: float
    fresh: bool = False
    sizes: tuple[int, int] = (0, 0)
    sending: tuple[float, float] = (0.0, 0.0)
    """How long the body takes to send."""

    @property
    def limit(self) -> float:
        """When a daemon may give up."""
        return min(self.timeout, self.deadline)


KINDS = (
    Kind("/front/", "GET", 1.0, 4.0),
    Kind("/front/", "GET", 1.0, 4.0, fresh=True),
    Kind("/order/", "POST", 1.2, 4.0),
    Kind("/upload/", "POST", NO_TIMEOUT, 2.5, sizes=UPLOAD_BYTES),
    Kind(
        "/upload/",
        "POST",
        NO_TIMEOUT,
        2.5,
        sizes=UPLOAD_BYTES,
        sending=(0.2, 1.2),
    ),
    Kind("/last/", "GET", NO_TIMEOUT, 0.8),
    Kind("/last/", "GET", NO_TIMEOUT, 0.8, fresh=True),
)


@dataclasses.dataclass(frozen=True)
class Ended:
    """How a request ended; ``status`` is 0 if it got no answer.

    It was sent ``sent_at`` seconds after SIGTERM. ``worked_until`` is until
    when an instance worked on it, at most until the end; 0 if none did.
    """

    kind: Kind
    sent_at: float
    seconds: float
    status: int
    runs: int
    signed: bool
    worked_until: float

    @property
    def lost(self) -> bool:
        """Whether an instance ran it in time, and its answer did not come."""
        return self.runs > 0 and not self.signed and self._in_time

    @property
    def failed(self) -> bool:
        """Whether it did not succeed, though there was time."""
        return self.status != 200 and self._in_time

    @property
    def _in_time(self) -> bool:
        return self.seconds < self.kind.limit

    def was_slow(self, grace: float) -> bool:
        """Whether its run was slow, and at work at the end of the stop."""
        return (
            self.seconds > 0.5 * self.kind.timeout
            and self.sent_at <= LATE_SECONDS
            and self.worked_until >= AT_WORK_RATIO * grace
        )

    @property
    def misreported(self) -> bool:
        """Whether the client was told that it has not run, and it has."""
        return self.runs > 0 and self.status == 503


class Chain:
    """Instances that call each other through the daemons on their VMs.

    The front one, on D, makes calls together to the middle ones, on A and C.
    These make calls in turn to the last one, on B.
    """

    def __init__(self, grace: float) -> None:
        self.cluster = place.Cluster()
        self.cluster.ports = loopback.free_ports(4, HOSTS)
        self.cluster.grace = grace
        self.grace = grace
        self.rng = random.Random(1)
        self.runs: collections.Counter[str] = collections.Counter()
        self.worked_until: dict[str, float] = {}
        self.signalled = asyncio.Event()
        self._signalled_at = 0.0

    async def start(self) -> None:
        """Start the daemons and instances."""
        self.cluster.policy(
            3,
            place.route("/front/", "front", True, 1.0),
            place.route("/order/", "middle", False, 1.2),
            place.route("/upload/", "middle", False, NO_TIMEOUT),
            place.route("/middle/", "middle", True, NO_TIMEOUT),
            place.route("/last/", "last", True, NO_TIMEOUT),
        )
        services = {A: "middle", B: "last", C: "middle", D: "front"}
        for host, service in services.items():
            await self.cluster.upstream(
                host, service, self._script(host), slots=200
            )
        for host, service in services.items():
            await self.cluster.daemon(host, service)
        await self.cluster.wait_until_known(*HOSTS)

    async def play(self) -> tuple[list[Ended], list[Ended]]:
        """Stop A; return how its clients' requests ended, and D's."""
        clients = [
            self._client(kind, self.grace * number / CLIENTS)
            for kind in KINDS
            for number in range(CLIENTS)
        ]
        beside = [
            self._send(D, kind, self.grace * number / BESIDE)
            for kind in KINDS[:3]
            for number in range(BESIDE)
        ]
        tasks = [asyncio.ensure_future(one) for one in (*clients, *beside)]
        # Kept connections are opened and used first.
        await asyncio.sleep(1.0)
        self._signalled_at = asyncio.get_running_loop().time()
        self.signalled.set()
        await self.cluster.stop(A)
        assert self._elapsed <= self.grace
        found = await asyncio.gather(*tasks)
        split = len(clients)
        return (
            [one for one in found[:split] if one is not None],
            [one for one in found[split:] if one is not None],
        )

    @property
    def _elapsed(self) -> float:
        return asyncio.get_running_loop().time() - self._signalled_at

    async def _client(self, kind: Kind, at: float) -> Ended | None:
        """Send a request, on a connection that was used before or not."""
        if kind.fresh:
            return await self._send(A, kind, at)
        reader, writer = await asyncio.open_connection(
            A, self.cluster.ports[0]
        )
        _, head = self.cluster.request("/last/")
        writer.write(head)
        assert (await place.read_answer(reader, 0.0)).status == 200
        await self._wait_until(at)
        if reader.at_eof():
            return None
        return await self._exchange(kind, reader, writer)

    async def _send(self, host: str, kind: Kind, at: float) -> Ended | None:
        """Send a request on a new connection."""
        await self._wait_until(at)
        try:
            reader, writer = await asyncio.open_connection(
                host, self.cluster.ports[0]
            )
        except OSError:
            return None
        return await self._exchange(kind, reader, writer)

    async def _wait_until(self, at: float) -> None:
        await self.signalled.wait()
        await asyncio.sleep(max(0.0, at - self._elapsed))

    async def _exchange(
        self,
        kind: Kind,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Ended:
        size = self.rng.randint(*kind.sizes)
        pause = self.rng.uniform(*kind.sending) / PIECES
        key, head = self.cluster.request(
            kind.path, kind.method, size, int(1000 * kind.deadline)
        )
        sent_at = asyncio.get_running_loop().time()
        since_stop = self._elapsed
        writer.write(head)
        for start in range(0, size, size // PIECES + 1):
            await asyncio.sleep(pause)
            writer.write(b"x" * min(size - start, size // PIECES + 1))
        answer = await place.read_answer(reader, sent_at)
        writer.close()
        signed = b"x-signature" in answer.fields
        at_work_until = self._elapsed if self.runs[key] else 0.0
        return Ended(
            kind,
            since_stop,
            answer.seconds,
            answer.status,
            self.runs[key],
            signed,
            self.worked_until.get(key, at_work_until),
        )

    def _script(self, host: str) -> place.Script:
        """Return how the instance on a host runs requests."""

        async def run(
            got: place.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            key = got.fields[b"x-request"].decode()
            self.runs[key] += 1
            left = int(got.fields[b"x-deadline-ms"]) / 1000
            until = asyncio.get_running_loop().time() + left
            path = got.line.split(b" ")[1].decode()
            try:
                ok = await self._work(host, path, until)
            finally:
                self.worked_until[key] = self._elapsed
            status = b"200 OK" if ok else b"500 Internal Server Error"
            writer.write(place.signed(got, b"whole", status))

        return run

    async def _work(self, host: str, path: str, until: float) -> bool:
        """Work and make calls; return whether all calls succeeded."""
        if path == "/upload/":
            await asyncio.sleep(UPLOAD_SECONDS)
        elif path == "/last/":
            await asyncio.sleep(LAST_SECONDS)
        elif path == "/front/":
            await asyncio.sleep(FRONT_SECONDS)
            calls = [
                self._call(host, "/middle/", until)
                for _ in range(CALLS_TOGETHER)
            ]
            return all(await asyncio.gather(*calls))
        else:
            await asyncio.sleep(MIDDLE_SECONDS)
            for _ in range(CALLS_IN_TURN):
                if not await self._call(host, "/last/", until):
                    return False
        return True

    async def _call(self, host: str, path: str, until: float) -> bool:
        """Make a call that expires with the run that it is part of."""
        left = until - asyncio.get_running_loop().time()
        _, head = self.cluster.request(
            path, deadline_ms=max(1, int(1000 * left))
        )
        try:
            reader, writer = await asyncio.open_connection(
                host, self.cluster.ports[0]
            )
        except OSError:
            return False
        writer.write(head)
        answer = await place.read_answer(reader, 0.0)
        writer.close()
        return answer.status == 200


@pytest.mark.parametrize("grace", GRACES)
def test_stop_beside_a_chain_of_calls_loses_no_request(grace: float) -> None:
    """Requests that came late were run and given up before their timeout."""

    async def test() -> None:
        chain = Chain(grace)
        await chain.start()
        at_stopping, beside = await chain.play()
        lost = [one for one in at_stopping if one.lost]
        assert [one for one in lost if not one.was_slow(grace)] == []
        assert [one for one in at_stopping if one.misreported] == []
        assert [one for one in beside if one.failed] == []

    test_path.run(test())
