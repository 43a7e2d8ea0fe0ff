"""A soak of a call graph with chains, uploads and time limits that differ.

Clients keep, pool or open connections; some send ahead, read slowly or close
their half of the connection. Stops, SIGHUPs, policies and kills overlap.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from tests.platform.soak import clients
from tests.platform.soak import faults
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import kept
from tests.platform.soak import losses
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import records
from tests.platform.soak import scenario
from tests.platform.soak import upstreams

if typing.TYPE_CHECKING:
    import pathlib

GRACES = (2.0, 4.0, 6.0, 6.0)
KEEPERS = 16
"""Clients of each daemon."""
FAULT_PAUSE = (0.3, 1.5)
FAULTS = ("configure", "drain", "hup", "kill", "renew", "reset") + 6 * (
    "stop",
)
SETTLE_SECONDS = 3.0
SLOW_SECONDS = (0.5, 4.0)
"""When a slow client begins to read its answer."""
SLOW_BYTES = (100_000, 1_500_000)
LONG_SHARE = 0.3
TAIL_SHARE = 0.05
TAIL_FACTOR = 3.0
"""Some runs take so many times as long as usual."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route; times in seconds, sizes in bytes.

    ``timeouts`` are those that policies choose from, and ``work`` the usual
    time of a run, which makes ``calls`` one after the other. ``longer`` is
    how much longer a client may ask a run to take. ``share`` is the part of
    the clients' requests.
    """

    service: str
    idempotent: bool
    timeouts: tuple[float, ...]
    objective: float
    patience: float
    work: tuple[float, float]
    calls: tuple[str, ...] = ()
    share: float = 0.0
    size: tuple[int, int] = (0, 0)
    longer: float = 0.0


KINDS = {
    "lookup": Kind(
        "prices",
        True,
        (5.0,),
        1.2,
        5.0,
        (0.06, 0.13),
        ("basis",),
        0.5,
        longer=3.5,
    ),
    "order": Kind(
        "posts",
        False,
        (0.8, 5.0),
        1.5,
        5.0,
        (0.06, 0.2),
        ("catalog",),
        0.25,
        (1_000, 24_000),
        longer=2.5,
    ),
    "upload": Kind(
        "intake",
        False,
        (1.5,),
        0.4,
        1.5,
        (0.06, 0.2),
        (),
        0.1,
        (30_000, 360_000),
    ),
    "view": Kind("ledger", True, (0.6,), 0.15, 0.6, (0.02, 0.06), (), 0.15),
    "basis": Kind(
        "posts", True, (2.5,), 1.0, 2.5, (0.008, 0.025), ("catalog",)
    ),
    "catalog": Kind(
        "intake", True, (2.0,), 0.8, 2.0, (0.008, 0.025), 4 * ("rate",)
    ),
    "rate": Kind("ledger", True, (0.7,), 0.3, 0.7, (0.01, 0.04)),
    "deep": Kind("prices", True, (1.5,), 0.4, 2.0, (0.005, 0.06)),
    "long": Kind("prices", True, (5.0,), 5.0, 5.0, (0.005, 0.06)),
}
"""The last two are those of the faults' own requests."""


class Upstream(upstreams.Upstream):
    """An instance that makes the calls of its requests' kinds."""

    def __init__(
        self,
        service: str,
        oracle: oracle_module.Oracle,
        rng: random.Random,
        client: clients.Client,
    ) -> None:
        super().__init__(service, oracle, rng, None)
        self._client = client

    def _seconds(self, target: str) -> float:
        kind = KINDS[_route(target)]
        seconds = self._rng.uniform(*kind.work) * self.slow
        if self._rng.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        return seconds + oracle_module.asked(target, "work")

    async def _make_calls(
        self, target: str, left: float, until: float
    ) -> bool:
        loop = asyncio.get_running_loop()
        for route in KINDS[_route(target)].calls:
            remaining = until - loop.time()
            if remaining <= 0.0:
                return False
            if await self._client.call(route, True, remaining) != 200:
                return False
        return True


class Fleet(fleet_module.Fleet):
    """Two VMs of each service of the call graph."""

    services = 2 * ("prices", "posts", "intake", "ledger")

    @property
    def routes(self) -> dict[str, str]:
        """The services by route."""
        return {name: kind.service for name, kind in KINDS.items()}

    def _upstream(
        self, host: str, service: str, client: clients.Client
    ) -> upstreams.Upstream:
        """Return an instance with connections of its own."""
        own = clients.Client(
            self.oracle,
            host,
            fleet_module.OUTBOUND,
            service,
            self.rng,
            leaves=False,
        )
        return Upstream(service, self.oracle, self.rng, own)

    def _policies(self) -> dict[str, dict[str, object]]:
        return {
            name: fleet_module.route_policy(
                name,
                kind.service,
                kind.idempotent,
                int(1000 * self.rng.choice(kind.timeouts)),
                int(1000 * kind.objective),
            )
            for name, kind in KINDS.items()
        }


class Client(kept.Client):
    """Sends requests of all kinds in all manners."""

    manners = (*kept.MANNERS, "new", "new", "slow", "half")
    idle_seconds = (0.0, 3.0)

    def _draw(self, manner: str) -> kept.Draft:
        rng = self._rng
        names = [
            name
            for name, kind in KINDS.items()
            if kind.share
            and (manner != "ahead" or kind.idempotent)
            and (manner != "pieces" or kind.size[1])
        ]
        name = rng.choices(names, [KINDS[each].share for each in names])[0]
        kind = KINDS[name]
        key = clients.new_key()
        asked = []
        if kind.longer and rng.random() < LONG_SHARE:
            asked.append(f"work={rng.uniform(0.1, kind.longer):.3f}")
        if manner == "slow":
            asked.append(f"size={rng.randint(*SLOW_BYTES)}")
        target = f"/{name}/{key}"
        if asked:
            target += "?" + "&".join(asked)
        body = rng.randbytes(rng.randint(*kind.size))
        return kept.Draft(
            key, name, kind.idempotent, target, body, kind.patience
        )

    def _sent(
        self,
        manner: str,
        sent: list[losses.Life],
        writer: asyncio.StreamWriter,
    ) -> None:
        if manner == "half":
            # The daemon can't tell this from a client that has left.
            for life in sent:
                self._oracle.departures.left(life.key)
            writer.write_eof()

    async def _read(
        self,
        reader: asyncio.StreamReader,
        sent: list[losses.Life],
        manner: str,
    ) -> bool:
        if manner == "slow":
            for life in sent:
                life.alone = False
            await asyncio.sleep(self._rng.uniform(*SLOW_SECONDS))
        stays = await super()._read(reader, sent, manner)
        if manner == "half":
            for life in sent:
                if life.ending is losses.Ending.CLOSED:
                    life.ending = losses.Ending.LEFT
        return stays and manner not in ("new", "half")


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
    try:
        await fleet.open()
        keepers = kept.keep_connections(fleet, KEEPERS, Client)
        await _disturb(fleet, seconds)
        await asyncio.sleep(SETTLE_SECONDS)
        keepers.cancel()
        fleet.check_alive()
        fleet.oracle.check_losses()
        fleet.oracle.check_drains()
        fleet.oracle.check_departures()
    finally:
        await fleet.close()
        records.write_report(folder, scenario.report(seed, fleet))
    return scenario.report(seed, fleet)


async def _disturb(fleet: fleet_module.Fleet, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    under_way: set[asyncio.Future[None]] = set()
    await asyncio.sleep(1.0)
    while loop.time() < until:
        name = fleet.rng.choice(FAULTS)
        vm = fleet.rng.choice(fleet.vms)
        if not (name in faults.ON_PROCESS and vm.busy):
            fleet.check_alive()
            fleet.note_fault(f"{name} {vm.name}")
            under_way.add(asyncio.ensure_future(faults.apply(fleet, vm, name)))
        await asyncio.sleep(fleet.rng.uniform(*FAULT_PAUSE))
    await asyncio.gather(*under_way)


def _route(target: str) -> str:
    return target.split("/")[1]
