"""A soak of a call graph with chains, uploads and time limits that differ.

Clients keep, pool or open connections; some send ahead or more than they
need, read slowly or once the daemon is gone, close their half of the
connection, or use it as it becomes idle for too long. Instances close some of
theirs unasked, and have long runs when a stop begins. Stops, SIGHUPs, policies
and kills overlap; some soaks have no stops.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import random
import socket
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

    from sassafrasstair import httpio

GRACES = (2.0, 4.0, 6.0, 6.0)
KEEPERS = 16
"""Clients of each daemon."""
FAULT_PAUSE = (0.3, 1.5)
RELOADS = ("configure", "hup", "hup", "hup")
STOPS = ("configure", "drain", "hup", "kill", "renew", "reset") + 6 * ("stop",)
FAULTS = (STOPS, STOPS, STOPS, (*STOPS, *STOPS, *4 * ("kill",)), RELOADS)
"""A soak draws one of them."""
SETTLE_SECONDS = 3.0
SLOW_SECONDS = (0.5, 4.0)
"""When a slow client begins to read its answer."""
SLOW_BYTES = (100_000, 1_500_000)
LATE_BYTES = (500, 1_000_000)
"""The kernel holds so much of an answer when the daemon is gone."""
LATE_SECONDS = 6.5
UNREAD_RATIO = 0.6
"""Of the idle time-out, how long a client leaves answers unread."""
BEHIND_PAUSE = 0.05
IDLE_TIMEOUTS_MS = ((10_000, 12_000), (10_000, 12_000), (2_000, 2_500))
IDLE_RATIO = 0.8
EDGE_SHARE = 0.15
EDGE_SECONDS = (-0.05, 0.3)
"""From the idle time-out until a client uses its connection again."""
EDGE_IDLE_SECONDS = 3.0
"""No client waits for a longer time-out."""
AT_ONCE_SHARE = 0.3
AT_ONCE_SECONDS = (0.0, 0.1)
OTHER_LIMIT_SHARE = 0.3
OTHER_LIMITS = (0.6, 5.0)
"""Some clients wait no longer than that."""
RUNS_SHARE = 0.6
RUNS = 4
RUN_RATIOS = (0.5, 0.92)
"""Some stops begin beside runs that take so much of their time limits."""
RUN_ROUTES = {"prices": "lookup", "posts": "order", "intake": "catalog"}
CLOSE_SHARE = 0.1
CLOSE_SECONDS = (0.0, 0.6)
"""From some answers until the instance closes the connection, if idle."""
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

    def _answer(
        self, exchange: httpio.Exchange, key: str, status: int
    ) -> None:
        super()._answer(exchange, key, status)
        if self._rng.random() < CLOSE_SHARE:
            asyncio.get_running_loop().call_later(
                self._rng.uniform(*CLOSE_SECONDS),
                _close_if_idle,
                exchange._connection,
            )


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
        own = self.waiting_client(host, service)
        return Upstream(service, self.oracle, self.rng, own)

    def waiting_client(self, host: str, service: str) -> clients.Client:
        """Return a client of a VM's daemon that waits for its answers."""
        return clients.Client(
            self.oracle,
            host,
            fleet_module.OUTBOUND,
            service,
            self.rng,
            leaves=False,
        )

    def _timeout(self, kind: Kind) -> float:
        """Return the timeout of a route in the next policy."""
        return self.rng.choice(kind.timeouts)

    def _policies(self) -> dict[str, dict[str, object]]:
        return {
            name: fleet_module.route_policy(
                name,
                kind.service,
                kind.idempotent,
                int(1000 * self._timeout(kind)),
                int(1000 * kind.objective),
            )
            for name, kind in KINDS.items()
        }


class Client(kept.Client):
    """Sends requests of all kinds in all manners."""

    manners: tuple[str, ...] = (
        *kept.MANNERS,
        "new",
        "new",
        "slow",
        "half",
        "late",
        "behind",
    )
    idle_seconds = (0.0, 3.0)

    def _idle(self) -> float:
        rng = self._rng
        time_out = self._fleet.idle_seconds
        if rng.random() < AT_ONCE_SHARE:
            return rng.uniform(*AT_ONCE_SECONDS)
        if time_out <= EDGE_IDLE_SECONDS and rng.random() < EDGE_SHARE:
            return time_out + rng.uniform(*EDGE_SECONDS)
        return min(super()._idle(), IDLE_RATIO * time_out)

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
        if manner in ("slow", "behind"):
            asked.append(f"size={rng.randint(*SLOW_BYTES)}")
        if manner == "late":
            asked.append(f"size={rng.randint(*LATE_BYTES)}")
        target = f"/{name}/{key}"
        if asked:
            target += "?" + "&".join(asked)
        body = rng.randbytes(rng.randint(*kind.size))
        patience = kind.patience
        if rng.random() < OTHER_LIMIT_SHARE:
            patience = min(patience, rng.uniform(*OTHER_LIMITS))
        return kept.Draft(key, name, kind.idempotent, target, body, patience)

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
        writer: asyncio.StreamWriter,
        sent: list[losses.Life],
        manner: str,
    ) -> bool:
        if manner in ("slow", "late", "behind"):
            for life in sent:
                life.was_open = False
            transport = typing.cast("asyncio.Transport", writer.transport)
            transport.pause_reading()
            await self._leave_unread(transport, manner)
            transport.resume_reading()
        stays = await super()._read(reader, writer, sent, manner)
        if manner == "half":
            for life in sent:
                if life.ending is losses.Ending.CLOSED:
                    life.ending = losses.Ending.LEFT
        return stays and manner not in ("new", "half", "behind")

    async def _leave_unread(
        self, transport: asyncio.Transport, manner: str
    ) -> None:
        """Wait until the answer is read: at times until the daemon ended."""
        seconds = self._rng.uniform(*SLOW_SECONDS)
        if manner == "late" and self._vm.busy:
            seconds = LATE_SECONDS
        seconds = min(seconds, UNREAD_RATIO * self._fleet.idle_seconds)
        if manner == "late":
            process = fleet_module.running(self._vm)
            await fleet_module.ended(process, seconds)
        elif manner == "behind":
            await _send_behind(transport, seconds)
        else:
            await asyncio.sleep(seconds)


class PromptClient(Client):
    """Reads its answers before a process that stops has to have ended.

    Nobody can send the rest of an answer to a client that waits longer and
    sends more meanwhile: the kernel resets its connection.
    """

    manners = tuple(each for each in Client.manners if each != "behind")


async def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    copies: int = 1,
    grace: float = 0.0,
    kind: type[Client] = Client,
) -> scenario.Report:
    """Run one soak; all that is drawn comes from the seed."""
    rng = random.Random(seed)
    fleet = Fleet(folder, rng, copies, grace or rng.choice(GRACES))
    fleet.idle_timeouts_ms = rng.choice(IDLE_TIMEOUTS_MS)
    try:
        await fleet.open()
        keepers = kept.keep_connections(fleet, KEEPERS, kind)
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
    under_way: set[asyncio.Future[typing.Any]] = set()
    names = fleet.rng.choice(FAULTS)
    await asyncio.sleep(1.0)
    while loop.time() < until:
        name = fleet.rng.choice(names)
        vm = fleet.rng.choice(fleet.vms)
        if not (name in faults.ON_PROCESS and vm.busy):
            fleet.check_alive()
            fleet.note_fault(f"{name} {vm.name}")
            if name == "stop" and fleet.rng.random() < RUNS_SHARE:
                under_way.add(_begin_runs(fleet, vm))
            under_way.add(asyncio.ensure_future(faults.apply(fleet, vm, name)))
        await asyncio.sleep(fleet.rng.uniform(*FAULT_PAUSE))
    await asyncio.gather(*under_way)


def _begin_runs(
    fleet: fleet_module.Fleet, vm: fleet_module.Vm
) -> asyncio.Future[list[int]]:
    """Send long requests of other VMs to the service of one that stops."""
    route = RUN_ROUTES.get(vm.upstream.service, "view")
    kind = KINDS[route]
    calls = []
    for other in fleet.rng.sample(fleet.vms, RUNS):
        seconds = fleet.rng.uniform(*RUN_RATIOS) * kind.patience
        target = f"/{route}/{clients.new_key()}?work={seconds:.3f}"
        calls.append(
            other.client.call(route, kind.idempotent, kind.patience, target)
        )
    return asyncio.gather(*calls)


async def _send_behind(transport: asyncio.Transport, seconds: float) -> None:
    """Send a part of another request, byte by byte.

    The transport would drop what it has received as soon as it can't send.
    """
    if transport.is_closing():
        return
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    descriptor = os.dup(transport.get_extra_info("socket").fileno())
    with socket.socket(fileno=descriptor) as sock:
        data = b"GET /lookup/behind HTTP/1.1\r\nFill: "
        while loop.time() < until:
            with contextlib.suppress(OSError):
                sock.send(data)
            data = b"a"
            await asyncio.sleep(BEHIND_PAUSE)


def _close_if_idle(connection: typing.Any) -> None:
    if connection.idle:
        connection.close()


def _route(target: str) -> str:
    return target.split("/")[1]
