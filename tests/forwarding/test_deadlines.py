"""Tests of the time left that instances are told."""

from __future__ import annotations

import asyncio
import collections
import typing

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
TIMEOUT = 4.0
LOST_AFTER = 0.8
TOLERANCE_MS = 100
LIMIT = 0.3
EARLY_SECONDS = 0.005
"""Timers fire so much early; those of uvloop do by up to 1.5 ms."""


class Instances:
    """Instances on B and C; the first attempt of a request is lost."""

    def __init__(self, losses: int) -> None:
        self.cluster = place.Cluster()
        self.losses = losses
        self.left_ms: dict[str, list[int]] = collections.defaultdict(list)

    async def start(self, idempotent: bool = True) -> None:
        """Start a client's daemon on A, and the instances."""
        cluster = self.cluster
        cluster.policy(3, place.route("/s/", "s", idempotent, TIMEOUT))
        for host in (B, C):
            await cluster.upstream(host, "s", self._script)
        await cluster.daemon(A, "front")
        for host in (B, C):
            await cluster.daemon(host, "s")
        await cluster.wait_until_known(A, B, C)

    async def _script(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        key = got.fields[b"x-request"].decode()
        self.left_ms[key].append(int(got.fields[b"x-deadline-ms"]))
        if len(self.left_ms[key]) <= self.losses:
            await asyncio.sleep(LOST_AFTER)
            writer.close()
            return
        writer.write(place.signed(got, b"whole"))


async def _call(cluster: place.Cluster, method: str, field: bytes) -> int:
    reader, writer = await asyncio.open_connection(A, cluster.ports[0])
    writer.write(
        f"{method} /s/ HTTP/1.1\r\nHost: a.example\r\n"
        "X-Request: r\r\nContent-Length: 0\r\n".encode()
        + field
        + b"\r\n"
    )
    answer = await place.read_answer(reader, 0.0)
    writer.close()
    return answer.status


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("field", "most_ms"),
    [
        pytest.param(b"X-Deadline-Ms: 900\r\n", 900, id="the_clients"),
        pytest.param(b"X-Deadline-Ms: 9000\r\n", 4000, id="the_routes"),
        pytest.param(b"", 4000, id="none"),
        pytest.param(b"X-Deadline-Ms: soon\r\n", 4000, id="malformed"),
        pytest.param(b"X-Deadline-Ms: -5\r\n", 4000, id="negative"),
        pytest.param(
            b"X-Deadline-Ms: %s\r\n" % (b"9" * 40), 4000, id="too_long"
        ),
    ],
)
def test_instance_is_told_the_time_that_is_left(
    field: bytes, most_ms: int, idempotent: bool
) -> None:
    """Without a limit, an instance works for clients that have given up."""

    async def test() -> None:
        instances = Instances(losses=0)
        await instances.start(idempotent)
        method = "GET" if idempotent else "POST"
        assert await _call(instances.cluster, method, field) == 200
        (left_ms,) = instances.left_ms["r"]
        assert most_ms - TOLERANCE_MS <= left_ms <= most_ms

    test_path.run(test())


@pytest.mark.parametrize(
    ("field", "most_ms"),
    [
        pytest.param(b"X-Deadline-Ms: 2000\r\n", 2000, id="the_clients"),
        pytest.param(b"", 4000, id="the_routes"),
    ],
)
def test_repeat_gets_the_time_that_is_left(field: bytes, most_ms: int) -> None:
    """A repeat with a new deadline would outlive its client."""

    async def test() -> None:
        instances = Instances(losses=1)
        await instances.start()
        assert await _call(instances.cluster, "GET", field) == 200
        first_ms, second_ms = instances.left_ms["r"]
        assert first_ms <= most_ms
        assert second_ms <= most_ms - 1000 * LOST_AFTER + 1

    test_path.run(test())


def _fire_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let all timers of the loop fire before their time."""
    loop = asyncio.get_running_loop()
    call_later = loop.call_later

    def call_early(
        delay: float, callback: typing.Any, *args: typing.Any
    ) -> asyncio.TimerHandle:
        return call_later(max(0.0, delay - EARLY_SECONDS), callback, *args)

    monkeypatch.setattr(loop, "call_later", call_early)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("timeout", "deadline"),
    [
        pytest.param(TIMEOUT, LIMIT, id="the_clients"),
        pytest.param(LIMIT, TIMEOUT, id="the_routes"),
    ],
)
@pytest.mark.parametrize(
    "entrance", [pytest.param(A, id="of_a_peer"), pytest.param(B, id="own")]
)
def test_request_is_not_ended_before_its_limit(
    entrance: str,
    timeout: float,
    deadline: float,
    idempotent: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An instance's answer can still come until the client's limit is over."""

    async def hang(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(TIMEOUT)

    async def test() -> None:
        cluster = await place.start_pair(timeout, hang, idempotent)
        _fire_early(monkeypatch)
        got = await cluster.call(
            entrance, "/s/", deadline_ms=round(1000 * deadline)
        )
        assert got.status == 504
        assert LIMIT <= got.seconds < LIMIT + 0.5

    test_path.run(test())
