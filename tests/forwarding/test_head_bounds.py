"""Requests at the bounds on what clients may send pass other daemons."""

from __future__ import annotations

import asyncio

import pytest

from sassafrasstair.decisions import policies
from tests.forwarding import place
from tests.forwarding import test_path

A, B, _ = place.HOSTS
HEAD_BYTES = 100_000
HEADERS = {
    "fields": b"F: 1\r\n" * 508,
    "bytes": b"F: %s\r\n" % (b"x" * 90_000),
}


class Upstream(place.Upstream):
    """An instance that reads great heads."""

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        await asyncio.start_server(
            self.serve, host, port, limit=2 * HEAD_BYTES
        )


@pytest.mark.parametrize("headers", HEADERS.values(), ids=HEADERS)
def test_great_head_passes_both_daemons(
    headers: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the first daemon added took it over the bounds of the second."""
    limits = policies.ClientLimits(HEAD_BYTES, 1_000_000, 2.0, 10.0)
    monkeypatch.setattr(place, "LIMITS", limits)

    async def test() -> None:
        cluster = place.Cluster()
        cluster.policy(3, place.route("/u/", "s", False))
        await Upstream(place.answer).open(B, cluster.ports[3])
        cluster.put_entry(B, "s")
        await cluster.daemon(A, "front")
        await cluster.daemon(B, "s")
        await cluster.wait_until_known(A, B)
        for running in cluster.daemons.values():
            while running.policy_version < 3:
                await asyncio.sleep(0.01)
        for host in (B, A):
            got = await cluster.call(host, "/u/", "POST", headers=headers)
            assert (host, got.status) == (host, 200)

    test_path.run(test())
