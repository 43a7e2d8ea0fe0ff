"""Tests of answers that fill the memory for unfinished answers."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, _ = place.HOSTS
MEMORY_BYTES = 20_000_000
ANSWERS = 8
HALF = b"x" * 600_000


async def _answer_in_halves(
    got: place.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    data = place.signed(got, HALF + HALF)
    writer.write(data[: -len(HALF)])
    await asyncio.sleep(0.5)
    writer.write(data[-len(HALF) :])


@pytest.mark.parametrize("host", [A, B])
def test_answers_that_fill_the_memory_are_not_cut(host: str) -> None:
    """The greatest gave up, though its instance was at work."""

    async def test() -> None:
        cluster = place.Cluster()
        cluster.memory_bytes = MEMORY_BYTES
        cluster.policy(3, place.route("/u/", "s", False))
        await cluster.upstream(B, "s", _answer_in_halves, slots=ANSWERS)
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        answers = await asyncio.gather(
            *(cluster.call(host, "/u/", "POST") for _ in range(ANSWERS))
        )
        ran = len(cluster.upstreams[B].got)
        statuses = [answer.status for answer in answers]
        assert (statuses, ran) == (ANSWERS * [200], ANSWERS)

    test_path.run(test())
