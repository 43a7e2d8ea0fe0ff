"""A soak of single planned stops from whose signal on work takes longer.

There is no other fault. Clients and instances go on to send requests to the
daemon that stops, to its end, with time limits that end before its grace
period does, or after it, on routes that were answered before, and on others.
"""

from __future__ import annotations

import asyncio
import random
import typing

from tests.platform.soak import clients
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import kept
from tests.platform.soak import mesh
from tests.platform.soak import records
from tests.platform.soak import scenario
from tests.platform.soak import upstreams

if typing.TYPE_CHECKING:
    import pathlib

GRACES = (1.0, 2.0, 4.0, 6.0, 6.0, 6.0, 10.0, 30.0)
KEEPERS = 6
LATE_REQUESTS = 40
LIMIT_RATIOS = (0.1, 1.5)
"""The time limit of a late request, as a fraction of the grace period."""
TIMEOUT_RATIO = 2.0
"""The same of routes' timeouts."""
WARM_UP_SECONDS = 1.5
RUNS = 4
UNSEEN = ("deep", "long")
"""Routes that only late requests use."""


class Upstream(mesh.Upstream):
    """An instance that takes longer the longer ago ``grows_since`` is."""

    grows_since: float | None = None

    def _seconds(self, target: str) -> float:
        seconds = super()._seconds(target)
        if self.grows_since is None:
            return seconds
        elapsed = asyncio.get_running_loop().time() - self.grows_since
        return seconds + self._rng.uniform(0.0, elapsed)


class Fleet(mesh.Fleet):
    """Its routes' timeouts end after a stop."""

    def _upstream(
        self, host: str, service: str, client: clients.Client
    ) -> upstreams.Upstream:
        own = self.waiting_client(host, service)
        return Upstream(service, self.oracle, self.rng, own)

    def _timeout(self, kind: mesh.Kind) -> float:
        return max(kind.timeouts[0], TIMEOUT_RATIO * self.grace)

    def grow(self, since: float | None) -> None:
        """Let all work grow from a time of the loop on, or no longer."""
        for vm in self.vms:
            upstream = typing.cast("Upstream", vm.upstream)
            upstream.grows_since = since


class Client(kept.Client):
    """Sends usual requests of all kinds, and waits for their answers."""

    manners = ("whole", "halves")
    idle_seconds = (0.0, 1.0)

    def _draw(self, manner: str) -> kept.Draft:
        rng = self._rng
        names = [name for name, kind in mesh.KINDS.items() if kind.share]
        name = rng.choice(names)
        kind = mesh.KINDS[name]
        key = clients.new_key()
        body = rng.randbytes(rng.randint(*kind.size))
        return kept.Draft(
            key, name, kind.idempotent, f"/{name}/{key}", body, kind.patience
        )


async def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    copies: int = 1,
    grace: float = 0.0,
) -> scenario.Report:
    """Run one soak; all that is drawn comes from the seed."""
    rng = random.Random(seed)
    fleet = Fleet(folder, rng, copies, grace or rng.choice(GRACES))
    loop = asyncio.get_running_loop()
    try:
        await fleet.open()
        keepers = kept.keep_connections(fleet, KEEPERS, Client)
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(WARM_UP_SECONDS)
            await _stop_one(fleet)
        keepers.cancel()
        fleet.check_alive()
        fleet.oracle.check_losses()
        fleet.oracle.check_drains()
    finally:
        await fleet.close()
        records.write_report(folder, scenario.report(seed, fleet))
    return scenario.report(seed, fleet)


async def _stop_one(fleet: Fleet) -> None:
    """Stop a daemon beside runs of its instance, and start another."""
    vm = fleet.rng.choice(fleet.vms)
    client = fleet.waiting_client(vm.host, vm.upstream.service)
    runs = [_run(fleet, vm) for _ in range(RUNS)]
    sent = [_send_late(fleet, client) for _ in range(LATE_REQUESTS)]
    late = asyncio.gather(*runs, *sent)
    fleet.note_fault(f"stop {vm.name}")
    fleet.grow(asyncio.get_running_loop().time())
    await fleet.stop(vm)
    await late
    fleet.grow(None)
    fleet.start(vm)
    await fleet.ready(vm)


async def _run(fleet: Fleet, vm: fleet_module.Vm) -> int:
    """Send a long request of another VM to the service of one that stops."""
    route = mesh.RUN_ROUTES.get(vm.upstream.service, "view")
    limit = fleet.rng.uniform(*LIMIT_RATIOS) * fleet.grace
    work = fleet.rng.uniform(0.0, 1.0) * limit
    other = fleet.rng.choice(fleet.vms)
    client = fleet.waiting_client(other.host, other.upstream.service)
    target = f"/{route}/{clients.new_key()}?work={work:.3f}"
    return await client.call(
        route, mesh.KINDS[route].idempotent, limit, target
    )


async def _send_late(fleet: Fleet, client: clients.Client) -> int:
    """Send a request to the daemon that stops, if it accepts it."""
    rng = fleet.rng
    limit = rng.uniform(*LIMIT_RATIOS) * fleet.grace
    shares = [name for name, kind in mesh.KINDS.items() if kind.share]
    route = rng.choice((*shares, *UNSEEN))
    await asyncio.sleep(rng.uniform(0.0, fleet.grace))
    return await client.call(route, mesh.KINDS[route].idempotent, limit)
