"""Tests of what a daemon's readiness promises: that it takes connections."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
POLL_SECONDS = 0.05
CONNECT_SECONDS = 0.5


@dataclasses.dataclass
class Poll:
    """What one poll of a daemon found.

    ``connects`` tells whether it took a connection right after that.
    """

    host: str
    status: int
    connects: bool


class Poller:
    """Polls the readiness of all daemons, each time on a new connection."""

    def __init__(self, cluster: place.Cluster) -> None:
        self.cluster = cluster
        self.polls: list[Poll] = []

    async def run(self, host: str) -> None:
        """Poll one host until cancelled."""
        while True:
            status = await self._status(host)
            connects = await self._connects(host)
            self.polls.append(Poll(host, status, connects))
            await asyncio.sleep(POLL_SECONDS)

    async def _status(self, host: str) -> int:
        try:
            reader, writer = await asyncio.open_connection(
                host, self.cluster.ports[2]
            )
        except OSError:
            return 0
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        try:
            return (await place.read_answer(reader, 0.0)).status
        finally:
            writer.close()

    async def _connects(self, host: str) -> bool:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(
                    host, self.cluster.ports[0]
                )
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True


def test_daemon_that_says_it_is_ready_takes_connections() -> None:
    """Clients use a daemon as soon as it is ready, from its start on."""

    async def test() -> None:
        cluster = place.Cluster()
        poller = Poller(cluster)
        polling = asyncio.ensure_future(poller.run(A))
        await asyncio.sleep(2 * POLL_SECONDS)
        await cluster.upstream(B, "s")
        await cluster.daemon(B, "s")
        await cluster.daemon(A, "front")
        await asyncio.sleep(2 * POLL_SECONDS)
        cluster.policy(3, place.route("/s/", "s"))
        await cluster.wait_until_known(A, B)
        assert (await cluster.call(A, "/s/")).status == 200
        await asyncio.sleep(4 * POLL_SECONDS)
        await cluster.stop(A)
        polling.cancel()
        statuses = [poll.status for poll in poller.polls]
        assert {0, 200, 503} <= set(statuses)
        assert all(
            poll.connects for poll in poller.polls if poll.status == 200
        )

    test_path.run(test())


@pytest.mark.parametrize("grace", [2.0, 6.0])
def test_no_daemon_is_ready_while_it_stops(grace: float) -> None:
    """Clients stay with daemons that end under them.

    A policy and changed settings arrive meanwhile, and requests run.
    """

    async def slow(
        got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.6 * grace)
        writer.write(place.signed(got, b"whole"))

    async def test() -> None:
        cluster = place.Cluster()
        cluster.grace = grace
        cluster.policy(3, place.route("/s/", "s", False, grace))
        await cluster.upstream(C, "s", slow)
        for host, service in ((A, "front"), (B, "front"), (C, "s")):
            await cluster.daemon(host, service)
        await cluster.wait_until_known(A, B, C)
        calls = [
            asyncio.ensure_future(cluster.call(host, "/s/", "POST"))
            for host in (A, B)
        ]
        await asyncio.sleep(0.1)
        stopping = [
            asyncio.ensure_future(cluster.stop(host)) for host in (A, B)
        ]
        await asyncio.sleep(0.0)
        poller = Poller(cluster)
        polling = [asyncio.ensure_future(poller.run(host)) for host in (A, B)]
        await asyncio.sleep(0.3 * grace)
        cluster.policy(4, place.route("/s/", "s", False, grace))
        cluster.settings_mark += 1
        await asyncio.gather(*stopping)
        for task in polling:
            task.cancel()
        assert [(await call).status for call in calls] == [200, 200]
        assert {poll.host for poll in poller.polls} == {A, B}
        assert {poll.status for poll in poller.polls} <= {0, 503}

    test_path.run(test())
