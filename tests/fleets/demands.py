"""Generate requests of customers with quotas at a modelled fleet."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools
import random
import typing

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import quotas
from sassafrasstair.forwarding import _quotas
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from tests.fleets import fleet as fleet_module

RULES = quotas.Rules(5.0, 0.25, 20.0)


def customer(name: str, rate: float, burst: float) -> policies.Customer:
    """Return a customer with a rate limit."""
    key = policies.digest_key(name.encode())
    return policies.Customer(name, (key,), rate, burst)


@dataclasses.dataclass
class Demand:
    """The traffic of one customer and its outcomes.

    ``rate_by_host`` holds the requests per second that each host gets.
    ``sent_times`` are the times of all requests, ``admitted_times`` those
    at which requests were admitted. ``reason_counts`` counts the requests
    by the reason of their refusal, ``NONE`` for admitted ones.
    """

    fleet: fleet_module.Fleet
    customer_name: str
    rate_by_host: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_times: list[float] = dataclasses.field(default_factory=list)
    admitted_times: list[float] = dataclasses.field(default_factory=list)
    reason_counts: collections.Counter[outcomes.Reason] = dataclasses.field(
        default_factory=collections.Counter
    )
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )

    def spread(self, rate: float, hosts: typing.Sequence[str]) -> None:
        """Divide a rate of requests per second evenly among hosts."""
        self.rate_by_host = {host: rate / len(hosts) for host in hosts}

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, at random intervals."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            total = sum(self.rate_by_host.values())
            pause = self.rng.expovariate(total) if total else 0.1
            await asyncio.sleep(min(pause, 0.5))
            if total and pause <= 0.5:
                hosts = list(self.rate_by_host)
                weights = list(self.rate_by_host.values())
                self.send(self.rng.choices(hosts, weights)[0])

    def send(self, host: str) -> None:
        """Send one request; without a daemon on the host, it is refused."""
        loop = asyncio.get_running_loop()
        self.sent_times.append(loop.time())
        paused = self.fleet.network.pause_seconds(host)
        if paused:
            loop.call_later(paused, self._arrive, host)
        else:
            self._arrive(host)

    def _arrive(self, host: str) -> None:
        daemon = self.fleet.daemons.get(host)
        if daemon is None:
            self.reason_counts[outcomes.Reason.NO_INSTANCE] += 1
            return
        table = daemon.view.table
        found = {} if table is None else table.customers_by_key_digest or {}
        known = {each.name: each for each in found.values()}.get(
            self.customer_name
        )
        if known is None:
            self.reason_counts[outcomes.Reason.KEY_UNKNOWN] += 1
        elif known.rate <= 0.0:
            self._record_outcome(outcomes.Reason.NONE)
        else:
            _quotas.take_token(
                daemon, known, functools.partial(self._record_outcome)
            )

    def admitted_rate(self, since: float) -> float:
        """Return the admitted requests per second since a time."""
        now = asyncio.get_running_loop().time()
        return sum(at >= since for at in self.admitted_times) / (now - since)

    def sent_rate(self, since: float) -> float:
        """Return the sent requests per second since a time."""
        now = asyncio.get_running_loop().time()
        return sum(at >= since for at in self.sent_times) / (now - since)

    def most(self, since: float = 0.0) -> int:
        """Return the most requests admitted in any window of the rules."""
        window: collections.deque[float] = collections.deque()
        most = 0
        for at in self.admitted_times:
            if at < since:
                continue
            window.append(at)
            while window[0] < at - RULES.window_seconds:
                window.popleft()
            most = max(most, len(window))
        return most

    def _record_outcome(self, reason: outcomes.Reason) -> None:
        self.reason_counts[reason] += 1
        if reason is outcomes.Reason.NONE:
            self.admitted_times.append(asyncio.get_running_loop().time())


def bound(rate: float, burst: float) -> float:
    """Return how many requests may be admitted in one window."""
    allowed = rate * RULES.window_seconds + burst
    return (
        allowed * (1.0 + RULES.relative_tolerance) + RULES.absolute_tolerance
    )
