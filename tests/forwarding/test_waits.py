"""Tests of what an instance's daemon learns of a waiting call."""

from __future__ import annotations

import asyncio
import json

import pytest

from sassafrasstair.decisions import load
from sassafrasstair.forwarding import _wire
from tests.forwarding import place
from tests.forwarding import test_path

A, B = test_path.A, test_path.B
PARENT_SECONDS = 0.2


@pytest.fixture
def offered(monkeypatch: pytest.MonkeyPatch) -> list[load.Work]:
    """Return the work that the guards of all daemons get."""
    works: list[load.Work] = []
    offer = load.offer

    def record(
        guard: load.Guard, work: load.Work, now: float
    ) -> list[load.Effect]:
        works.append(work)
        return offer(guard, work, now)

    monkeypatch.setattr(load, "offer", record)
    return works


async def _chain(internal: bool) -> place.Cluster:
    """Start an instance of ``front`` on A that calls ``s`` on A and B."""
    cluster = place.Cluster()
    cluster.policy(
        3,
        place.route("/f/", "front"),
        place.route("/s/", "s", timeout=0.7, objective=0.3),
    )

    async def call_after_work(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(PARENT_SECONDS)
        chains = cluster.daemons[A].daemon.chains
        if internal:
            chains.inner_routes.add("s")
        await cluster.call(A, "/s/", deadline_ms=700)
        writer.write(place.signed(got, b"whole"))

    await cluster.upstream(A, "front", call_after_work)
    await cluster.upstream(B, "s")
    await cluster.daemon(A, "front")
    await cluster.daemon(B, "s")
    await cluster.wait_until_known(A, B)
    return cluster


def test_call_is_as_old_as_its_request(offered: list[load.Work]) -> None:
    """The callee's daemon gets the age, and the instance does not see it."""

    async def test() -> None:
        cluster = await _chain(internal=True)
        assert (await cluster.call(A, "/f/")).status == 200
        parent, call = offered
        assert parent.begun_at is None
        assert call.begun_at is not None
        now = asyncio.get_running_loop().time()
        assert PARENT_SECONDS <= now - call.begun_at < 2 * PARENT_SECONDS
        # The only instance may use all of the time but that of the service.
        assert call.max_wait_seconds > 0.3
        (seen,) = cluster.upstreams[B].got
        assert not any(name.startswith(b"sassafras") for name in seen.fields)

    test_path.run(test())


def test_clients_request_has_no_age(offered: list[load.Work]) -> None:
    """Not even if the client sends one, or was called by an upstream."""

    async def test() -> None:
        cluster = await _chain(internal=False)
        forged = b"%s: 900\r\n" % _wire.AGE_HEADER
        await cluster.call(A, "/f/", headers=forged)
        await cluster.call(A, "/s/", headers=forged)
        assert [work.begun_at for work in offered] == [None] * 3
        assert offered[-1].max_wait_seconds == pytest.approx(0.15)

    test_path.run(test())


@pytest.mark.parametrize(
    ("value", "age"),
    [
        (None, None),
        (b"0.250", 0.25),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"", None),
        (b"soon", None),
    ],
)
def test_age_is_unknown_without_a_valid_field(
    value: bytes | None, age: float | None
) -> None:
    """Daemons of the build before send no age."""
    assert _wire.decode_age(value) == age


def test_age_is_decoded_as_it_was_encoded() -> None:
    assert not _wire.age_fields(None)
    ((_, value),) = _wire.age_fields(1.2345)
    assert _wire.decode_age(value) == pytest.approx(1.234, abs=0.001)


def test_log_tells_how_long_a_refused_request_might_wait() -> None:
    async def test() -> None:
        cluster = await test_path._world(test_path.hang, slots=1)
        held = asyncio.ensure_future(cluster.call(A, "/s/"))
        while not cluster.upstreams[B].got:
            await asyncio.sleep(0.01)
        got = await cluster.call(A, "/s/", deadline_ms=300)
        assert got.status == 503
        held.cancel()
        for running in cluster.daemons.values():
            running.daemon.journal.flush_lines()
        events = map(json.loads, b"".join(cluster.lines).splitlines())
        (ended,) = [
            event
            for event in events
            if event["event"] == "run_ended"
            and event["reason"] == "queue_delay"
        ]
        assert ended["max_wait"] == pytest.approx(0.15, abs=0.01)

    test_path.run(test())
