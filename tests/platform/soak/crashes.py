"""Requests that crash what runs them, on real daemons without other faults."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import records
from tests.platform.soak import upstreams

if typing.TYPE_CHECKING:
    import pathlib

GOOD_PER_SECOND = 60.0
POPULAR_PER_SECOND = 15.0
POPULAR = "/deep/popular"
CALM_SECONDS = 2.0
"""Before the first crash, and at least so long after the last."""
RETURN_SECONDS = 1.0
"""After its return an instance is known to all and runs requests again."""
SETTLE_SECONDS = upstreams.AWAY_SECONDS + RETURN_SECONDS + CALM_SECONDS


@dataclasses.dataclass(frozen=True)
class Case:
    """What crashes instances, for ``seconds``.

    So many requests come by turns, four times a second in all; they are
    ``idempotent`` or not, and all daemons are restarted by turns if
    ``rolling``. ``ordinary`` crashes are of so many instances a second.
    """

    name: str
    requests: int = 1
    idempotent: bool = True
    rolling: bool = False
    ordinary: int = 0
    seconds: float = 14.0

    @property
    def route(self) -> str:
        """The route of the requests that crash instances."""
        return "deep" if self.idempotent else "once"


CASES = (
    Case("one"),
    Case("one_that_may_run_once", idempotent=False),
    Case("one_in_a_roll", rolling=True, seconds=20.0),
    Case("five", requests=5, seconds=20.0),
    Case("ordinary", requests=0, ordinary=1),
)


@dataclasses.dataclass
class Report:
    """What one run showed; shares of requests answered with success.

    ``late`` is that of the request with the most late arrivals, ``calm`` is
    from a second after the return from the last crash on. ``calm_failures``
    lists the others among the ``calm_answers``.
    """

    crashes: int = 0
    ordinary: int = 0
    late: int = 0
    served: float = 0.0
    popular: float = 0.0
    calm: float = 0.0
    broken: tuple[str, ...] = ()
    calm_answers: int = 0
    calm_failures: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class _Answer:
    at: float
    entrance: str
    popular: bool
    status: int


async def run(case: Case, seed: int, folder: pathlib.Path) -> Report:
    """Run one case."""
    fleet = fleet_module.Fleet(folder, random.Random(seed))
    answers: list[_Answer] = []
    calls: set[asyncio.Future[None]] = set()
    try:
        await fleet.open()
        traffic = asyncio.ensure_future(_traffic(fleet, answers, calls))
        await asyncio.sleep(CALM_SECONDS)
        crashes = asyncio.ensure_future(_crash(fleet, case))
        if case.rolling:
            await _roll(fleet)
        await crashes
        await asyncio.sleep(SETTLE_SECONDS)
        traffic.cancel()
        # The daemons are killed at the end, which must cut off no request.
        await asyncio.gather(*calls)
        fleet.check_alive()
    finally:
        await fleet.close()
        records.write_report(folder, _report(fleet, answers))
    return _report(fleet, answers)


def _report(fleet: fleet_module.Fleet, answers: list[_Answer]) -> Report:
    known = list(fleet.oracle.crashing.values())
    last = max((max(each.crashes, default=0.0) for each in known), default=0.0)
    since = last + upstreams.AWAY_SECONDS + RETURN_SECONDS
    calm = [each for each in answers if each.at > since and each.status]
    return Report(
        sum(len(each.crashes) for each in known),
        fleet.crashed - sum(len(each.crashes) for each in known),
        max((each.late() for each in known), default=0),
        _share([each for each in answers if not each.popular]),
        _share([each for each in answers if each.popular]),
        _share(calm),
        tuple(fleet.oracle.broken),
        len(calm),
        tuple(
            f"{each.status} of {each.entrance} {each.at - since:.3f} s in,"
            f" popular {each.popular}"
            for each in calm
            if each.status != 200
        ),
    )


def _share(answers: list[_Answer]) -> float:
    owed = [each for each in answers if each.status]
    if not owed:
        return 1.0
    return sum(each.status == 200 for each in owed) / len(owed)


async def _traffic(
    fleet: fleet_module.Fleet,
    answers: list[_Answer],
    calls: set[asyncio.Future[None]],
) -> None:
    """Send requests until cancelled; ``calls`` are those under way."""
    loop = asyncio.get_running_loop()
    per_second = GOOD_PER_SECOND + POPULAR_PER_SECOND
    while True:
        popular = fleet.rng.random() < POPULAR_PER_SECOND / per_second
        vm = fleet.rng.choice([vm for vm in fleet.vms if not vm.busy])

        async def call(
            vm: fleet_module.Vm = vm, popular: bool = popular
        ) -> None:
            target = POPULAR if popular else ""
            at = loop.time()
            status = await vm.client.call("deep", True, 2.0, target)
            answers.append(_Answer(at, vm.name, popular, status))
            if status not in (0, 200):
                took = loop.time() - at
                fleet.timeline.note(
                    f"answer {status} of {vm.name}, popular {popular},"
                    f" after {took:.3f} s"
                )

        task = asyncio.ensure_future(call())
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(fleet.rng.expovariate(per_second))


async def _crash(fleet: fleet_module.Fleet, case: Case) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + case.seconds
    targets = [f"/{case.route}/bad-{each}" for each in range(case.requests)]
    sent: list[asyncio.Future[int]] = []
    for target in targets:
        fleet.oracle.crashing[target.encode()] = oracle_module.Crashes()
    deep = [vm for vm in fleet.vms if vm.upstream.service == "deep"]
    number = 0
    while loop.time() < until:
        if case.ordinary:
            for vm in fleet.rng.sample(deep, case.ordinary):
                vm.upstream.crash()
            await asyncio.sleep(1.0)
            continue
        vm = fleet.vms[number % len(fleet.vms)]
        if not vm.busy:
            target = targets[number % len(targets)]
            call = vm.client.call(case.route, case.idempotent, 2.0, target)
            sent.append(asyncio.ensure_future(call))
        number += 1
        await asyncio.sleep(0.25)
    await asyncio.gather(*sent)


async def _roll(fleet: fleet_module.Fleet) -> None:
    for vm in fleet.vms:
        vm.busy = True
        await fleet.stop(vm)
        fleet.start(vm)
        await fleet.ready(vm)
        vm.busy = False
