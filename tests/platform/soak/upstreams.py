"""Upstreams beside the daemons: they run, call on, lose and garble."""

from __future__ import annotations

import asyncio
import functools
import itertools
import math
import random
import time
import typing

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests import notices
from tests.platform import endless
from tests.platform.soak import losses
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import store

if typing.TYPE_CHECKING:
    from collections import abc

SLOTS = 16
WORK_SECONDS = (0.005, 0.06)
CRASH_SECONDS = (0.004, 0.08)
AWAY_SECONDS = 1.5
"""From a crash until the instance runs again, under another id."""
ENDLESS_GAP_SECONDS = 0.01
ENDLESS_SECONDS = 6.0
"""Longer than any time-out of a route."""
LEAVING_WRITINGS = tuple(
    notices.leaving_fields(oracle_module.LEAVING_FIELD).values()
)
_serial = itertools.count(1)


class Upstream:
    """One instance; ``renew`` starts it anew, under its id or another."""

    def __init__(
        self,
        service: str,
        oracle: oracle_module.Oracle,
        rng: random.Random,
        call: abc.Callable[[float], abc.Awaitable[bool]] | None,
    ) -> None:
        self.service = service
        self.id = ""
        self.born = 0
        self.lose_share = 0.0
        self.extra_share = 0.0
        self.endless_share = 0.0
        self.endless_kinds = tuple(sorted(endless.ANSWERS))
        self.endless_gap = ENDLESS_GAP_SECONDS
        self.slow = 1.0
        self.rate_limit = math.inf
        self.leaving = False
        self.leaving_fields: httpio.Fields = []
        """How this run writes that it leaves."""
        self.down = False
        self.crashed: abc.Callable[[], None] | None = None
        """Called when the instance has crashed."""
        self._at = ("", 0)
        self.oracle = oracle
        self._rng = rng
        # Apart from the soak's, whose seeds then draw the same as before.
        self._endless_rng = random.Random(service)
        self._call = call
        self._running: set[asyncio.Task[None]] = set()
        self._works: set[losses.Work] = set()
        self._listener = httpio.Listener(
            self._handle,
            lambda status: [],
            clocks.SystemClock(),
            httpio.MemoryBudget(1 << 30),
        )
        self.renew()

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._at = host, port
        await self._listener.open(host, port)

    def close(self) -> None:
        """Stop listening and cut all connections."""
        store.close(self._listener)

    def renew(self, same_id: bool = False) -> None:
        """Start anew: what runs is lost, the id is another or the same."""
        if not same_id:
            number = next(_serial)
            self.id = f"i-{number}"
            self.leaving_fields = LEAVING_WRITINGS[
                number % len(LEAVING_WRITINGS)
            ]
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.rate_limit = math.inf
        self.leaving = False
        for work in self._works:
            work.broke_off = True
        for task in self._running:
            task.cancel()
        for connection in list(self._listener.connections):
            connection._transport.abort()

    def crash(self) -> None:
        """End all that runs, and take no more connections."""
        if self.down:
            return
        self.down = True
        self._listener.stop_accepting()
        self.renew()
        if self.crashed is not None:
            self.crashed()

    async def restart(self) -> None:
        """Take connections again, some time after a crash."""
        await asyncio.sleep(AWAY_SECONDS)
        await self._listener.open(*self._at)
        self.down = False

    @property
    def run(self) -> str:
        """The name of this run of the instance."""
        return f"{self.id}@{self.born}"

    def name_rate_limit(self, limit: float) -> None:
        """Name a limit in all answers from now on, infinity for none."""
        self.rate_limit = limit
        now = asyncio.get_running_loop().time()
        self.oracle.notices.names_limit(self.run, limit, now)

    def _notice(self) -> httpio.Fields:
        """Return what the instance says of itself in its answers."""
        fields = [(oracle_module.RUN_FIELD, self.run.encode())]
        if self.rate_limit < math.inf:
            limit = b"%.2f" % self.rate_limit
            fields.append((oracle_module.LIMIT_FIELD, limit))
        if self.leaving:
            fields += self.leaving_fields
        return fields

    def _handle(self, exchange: httpio.Exchange) -> None:
        found = exchange.request.headers
        target = found.get(b"sassafrasstair-target-instance", b"").decode()
        if target != self.id:
            exchange.respond(421, _not_run(), b"")
            return
        key = found.get(b"sassafrasstair-request-id", b"").decode()
        self.oracle.arrived(key, self.run, self._at[0])
        if len(self._running) >= SLOTS:
            exchange.respond(503, [*_not_run(), *self._notice()], b"")
        else:
            task = asyncio.ensure_future(self._run(exchange))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            exchange.gone = functools.partial(_cancel, task)

    async def _run(self, exchange: httpio.Exchange) -> None:
        # A request without an id counts as one that nobody sent.
        found = exchange.request.headers
        key = found.get(b"sassafrasstair-request-id", b"").decode()
        with self.oracle.losses.at_work(key, self._at[0]) as work:
            self._works.add(work)
            try:
                await self._work(exchange, key, work)
            finally:
                self._works.discard(work)

    async def _work(
        self, exchange: httpio.Exchange, key: str, work: losses.Work
    ) -> None:
        request = exchange.request
        found = request.headers
        left = int(found[b"sassafrasstair-deadline-ms"]) / 1000
        self.oracle.ran(
            oracle_module.Run(
                key,
                self.service,
                found[b"sassafrasstair-caller-service"].decode(),
                request.target.decode(),
                request.body,
                left,
                found.get(b"sassafrasstair-tenant", b"").decode(),
                b"api-key" in found,
            )
        )
        if request.target in self.oracle.crashing:
            await asyncio.sleep(self._rng.uniform(*CRASH_SECONDS))
            self.oracle.crashes(request.target)
            self.crash()
            return
        until = asyncio.get_running_loop().time() + left
        target = request.target.decode()
        seconds = self._seconds(target)
        work.due_at = asyncio.get_running_loop().time() + seconds
        await asyncio.sleep(seconds)
        ok = await self._make_calls(target, left, until)
        if self._rng.random() < self.lose_share:
            work.broke_off = True
            exchange._connection._transport.abort()
            return
        if self._endless_rng.random() < self.endless_share:
            work.broke_off = True
            await self._answer_for_ever(exchange)
            return
        self._answer(exchange, key, 200 if ok else 500)

    def _seconds(self, target: str) -> float:
        """Return how long the instance works on a request."""
        seconds = self._rng.uniform(*WORK_SECONDS) * self.slow
        return seconds + oracle_module.asked(target, "work")

    async def _make_calls(
        self, target: str, left: float, until: float
    ) -> bool:
        """Make the calls of a run; return whether all succeeded.

        ``left`` seconds were left when it came, ``until`` a loop time.
        """
        return self._call is None or await self._call(left)

    async def _answer_for_ever(self, exchange: httpio.Exchange) -> None:
        """Send bytes without end, until the caller closes."""
        kind = self._endless_rng.choice(self.endless_kinds)
        first, rest = endless.ANSWERS[kind]
        block = endless.block_of(rest)
        transport = exchange._connection._transport
        transport.write(first)
        until = asyncio.get_running_loop().time() + ENDLESS_SECONDS
        while asyncio.get_running_loop().time() < until:
            if transport.is_closing():
                return
            if not transport.get_write_buffer_size():
                transport.write(block)
            await asyncio.sleep(self.endless_gap)
        transport.abort()

    def _answer(
        self, exchange: httpio.Exchange, key: str, status: int
    ) -> None:
        signature = oracle_module.signature_of(key, status).encode()
        fields = [
            (b"Sassafrasstair-Request-Id", key.encode()),
            (oracle_module.SIGNATURE.encode(), signature),
            *self._notice(),
        ]
        body = b""
        if status == 200:
            target = exchange.request.target.decode()
            body = oracle_module.body_of(key, target)
        transport = exchange._connection._transport
        exchange.respond(status, fields, body)
        if self._rng.random() < self.extra_share:
            # A second, late answer to the same request.
            head = httpio.response_head(status, fields, len(body), False)
            transport.write(head + body)


def _not_run() -> httpio.Fields:
    return [(b"Sassafrasstair-Not-Executed", b"1")]


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
