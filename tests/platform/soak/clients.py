"""Clients on each VM: kept and new connections, some that leave early."""

from __future__ import annotations

import asyncio
import itertools
import math
import typing

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests.platform.soak import losses
from tests.platform.soak import oracle as oracle_module

if typing.TYPE_CHECKING:
    import random

LEAVE_SHARE = 0.05
PATIENCE = (0.3, 2.0)
LATE_SECONDS = 1.0
"""After a client's deadline it takes its request for lost."""
FORGE_SHARE = 0.1
KEYED_ROUTE = "front"
HOST = b"soak.example"
_serial = itertools.count(1)


class Client:
    """Sends requests to one daemon and checks the answers."""

    def __init__(
        self,
        oracle: oracle_module.Oracle,
        host: str,
        port: int,
        service: str,
        rng: random.Random,
        leaves: bool = True,
    ) -> None:
        self._leave_share = LEAVE_SHARE if leaves else 0.0
        self._oracle = oracle
        self._service = service
        self._host = host
        self._rng = rng
        self._pool = httpio.Pool(host, port, clocks.SystemClock(), 2.0)

    async def call(
        self,
        route: str,
        idempotent: bool,
        patience: float = 0.0,
        target: str = "",
        leave_after: float = math.inf,
    ) -> int:
        """Send one request; returns the status, 0 for none.

        Each has a target of its own, and body, but where one is given. The
        client closes its connection after ``leave_after`` seconds.
        """
        patience = patience or self._rng.uniform(*PATIENCE)
        key = new_key()
        body = b"" if idempotent else (target or key).encode() * 20
        target = target or f"/{route}/{key}?x=%20"
        now = asyncio.get_running_loop().time()
        api_key = ""
        if route == KEYED_ROUTE:
            api_key = self._oracle.customers.draw()
        self._oracle.send(
            oracle_module.Sent(
                key,
                route,
                idempotent,
                self._service,
                target,
                body,
                patience,
                api_key,
                now,
                self._host,
            )
        )
        fields = [
            (b"Host", HOST),
            (b"Sassafrasstair-Request-Id", key.encode()),
            (b"Sassafrasstair-Deadline-Ms", b"%d" % (patience * 1000)),
        ]
        if self._rng.random() < FORGE_SHARE:
            fields.append((b"Sassafrasstair-Tenant", b"forged"))
        if api_key:
            fields.append((b"Api-Key", api_key.encode()))
        method = b"GET" if idempotent else b"POST"
        head = httpio.request_head(method, target.encode(), fields, len(body))
        return await self._await(key, head + body, patience, leave_after)

    async def _await(
        self, key: str, data: bytes, patience: float, leave_after: float
    ) -> int:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[httpio.Response | httpio.Failure] = (
            loop.create_future()
        )

        def done(result: httpio.Response | httpio.Failure) -> None:
            if not future.done():
                future.set_result(result)

        job = httpio.Job(data, done)
        fresh = self._rng.random() < 0.5
        (self._pool.send_on_new if fresh else self._pool.send)(job)
        wait = patience + LATE_SECONDS
        if leave_after < math.inf:
            wait = leave_after
        elif self._rng.random() < self._leave_share:
            wait = self._rng.uniform(0.0, 0.05)
        try:
            result = await asyncio.wait_for(future, wait)
        except TimeoutError:
            job.abort()
            self._oracle.departures.left(key)
            return 0
        if isinstance(result, httpio.Failure):
            life = self._oracle.losses.lives[key]
            life.was_open = result is not httpio.Failure.NOT_SENT
            life.end(losses.Ending.CLOSED)
            return 0
        named = result.headers.get(b"sassafrasstair-request-id", b"").decode()
        if named not in ("", key):
            self._oracle.broken.append(f"MIXED {key}: answer of {named}")
        signature = result.headers.get(
            oracle_module.SIGNATURE.lower().encode(), b""
        )
        self._oracle.passed_on(self._host, result.headers)
        self._oracle.answered(
            key, result.status, signature.decode(), result.body
        )
        return result.status


def new_key() -> str:
    """Return the key of another request."""
    return f"q{next(_serial)}"


async def all_ok(calls: typing.Sequence[typing.Awaitable[int]]) -> bool:
    """Return whether all calls were answered with success."""
    return all(status == 200 for status in await asyncio.gather(*calls))
