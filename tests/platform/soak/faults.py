"""Faults of a soak: what disturbs a VM, its link or instance, or the store."""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal
import typing

from tests.platform.soak import clients
from tests.platform.soak import disruptions
from tests.platform.soak import fleet as fleet_module
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import upstreams

SERIES = 3
SERIES_PAUSE = (0.05, 0.8)
SERIES_SIGNALS = {"term": signal.SIGTERM, "hup": signal.SIGHUP}
BAD_TIMES = 12
BAD_PAUSE = 0.25
"""A request that crashes instances comes so often, at all VMs by turns."""
WORKS_EACH = 4
WORK_SECONDS = (0.2, 0.8)
LONG_SHARE = 0.5
LONG_WORKS = 2
LONG_WORK_SECONDS = (4.05, 4.1)
"""A daemon must still run when clients are to have left it. The instance's
daemon may stop a second sooner, and can then wait no longer than that."""
LONG_GRACE_SECONDS = 6.0
LONG_PATIENCE = 6.0
CROWD = 3 * 3 * upstreams.SLOTS
"""Three times what the instances of ``deep`` run at once."""
CROWD_LEAVES_SECONDS = (0.02, 0.2)
CROWD_WORK_SECONDS = (1.0, 1.4)
CROWD_CRASH_SECONDS = 0.6
DRAINING_SHARE = 0.7
RATE_LIMITS = (0.0, 1.0, 2.0, 5.0, 10.0)
LIMIT_SECONDS = 8.0
"""The time until a rate limit binds, a window to count in, and a second."""

BEYOND_A_FLOAT = 10**400
"""A number that neither a float nor 64 bits hold."""
ENDLESS_SHARE = 0.05
"""Of the answers of an instance that misbehaves, those that never end."""
FORGERIES: tuple[dict[str, object], ...] = (
    {"state": "zombie"},
    {"slots": 0},
    {"service": "unknown"},
    {"address": "10.0.0.1:99999"},
    {"warmup_ms": -1},
    {"born": 1.5},
    {"zone": None},
)

Fault = typing.Callable[
    [fleet_module.Fleet, fleet_module.Vm], typing.Awaitable[None]
]


async def apply(
    fleet: fleet_module.Fleet, vm: fleet_module.Vm, name: str
) -> None:
    """Apply a fault to a VM, and note what it excuses."""
    disrupted: contextlib.AbstractContextManager[None]
    disrupted = contextlib.nullcontext()
    if name in UNPLANNED:
        kind = UNPLANNED[name]
        disrupted = fleet.oracle.disruptions.disrupted(vm.host, kind)
    with disrupted:
        if name not in ON_PROCESS:
            await FAULTS[name](fleet, vm)
            return
        vm.busy = True
        try:
            await FAULTS[name](fleet, vm)
        finally:
            vm.busy = False
            fleet.timeline.note(f"ended {name} {vm.name}")


async def _crash(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    vm.upstream.crash()


async def _crash_again(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Send one request that crashes what runs it, again and again."""
    target = f"/deep/bad-{len(fleet.oracle.crashing)}"
    fleet.oracle.crashing[target.encode()] = oracle_module.Crashes()
    sent = []
    for number in range(BAD_TIMES):
        client = fleet.vms[number % len(fleet.vms)].client
        call = client.call("deep", True, 0.0, target)
        sent.append(asyncio.ensure_future(call))
        await asyncio.sleep(BAD_PAUSE)
    await asyncio.gather(*sent)


async def crowd(fleet: fleet_module.Fleet) -> None:
    """Send more requests than instances can run; their clients leave.

    Later an instance crashes, under which there should be none of them left
    that would be sent again.
    """
    calls = []
    for _ in range(CROWD):
        seconds = fleet.rng.uniform(*CROWD_WORK_SECONDS)
        target = f"/deep/{clients.new_key()}?work={seconds:.3f}"
        wait = fleet.rng.uniform(*CROWD_LEAVES_SECONDS)
        client = fleet.rng.choice(fleet.vms).client
        calls.append(client.call("deep", True, 2.0, target, wait))
    await asyncio.gather(*calls)
    await asyncio.sleep(CROWD_CRASH_SECONDS)
    deep = [vm for vm in fleet.vms if vm.upstream.service == "deep"]
    fleet.rng.choice(deep).upstream.crash()


async def _crowd(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    await crowd(fleet)


async def _break_watcher(
    fleet: fleet_module.Fleet, vm: fleet_module.Vm
) -> None:
    """Kill, stop or pause the daemon that the others follow."""
    watcher = await fleet.watcher()
    if watcher is None or watcher.busy:
        return
    await apply(fleet, watcher, fleet.rng.choice(["kill", "stop", "pause"]))


async def _limit(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Name limits, raise and lower them, and drop the last one."""
    loop = asyncio.get_running_loop()
    until = loop.time() + LIMIT_SECONDS
    while loop.time() < until:
        vm.upstream.name_rate_limit(fleet.rng.choice(RATE_LIMITS))
        await asyncio.sleep(fleet.rng.uniform(0.5, LIMIT_SECONDS))
    vm.upstream.name_rate_limit(math.inf)


async def leave(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Say in all answers that the instance leaves; its entry may lag."""
    run, before = vm.upstream.run, vm.upstream.id
    vm.upstream.leaving = True
    if fleet.rng.random() < 0.5:
        await asyncio.sleep(fleet.rng.uniform(0.0, 2.0))
        fleet.store.remove(f"servers/{before}")
    await asyncio.sleep(fleet.rng.uniform(2.0, 5.0))
    fleet.store.remove(f"servers/{before}")
    if vm.upstream.run == run:
        vm.upstream.renew()
    fleet.register(vm)


async def _kill(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    await fleet.kill(vm)
    await asyncio.sleep(fleet.rng.uniform(0.1, 1.0))
    fleet.start(vm)
    await fleet.ready(vm)


async def stop(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Stop a daemon among other signals and changes, and start another.

    It may still wait for answers when its clients are to have left it.
    """
    waits = fleet.rng.random() < LONG_SHARE
    waits = waits and fleet.grace >= LONG_GRACE_SECONDS
    work = _begin_long_work(fleet, vm, LONG_WORKS if waits else 0)
    changes = asyncio.ensure_future(_change_in_series(fleet, vm))
    await fleet.stop(vm)
    changes.cancel()
    fleet.start(vm)
    await fleet.ready(vm)
    await work


def _begin_long_work(
    fleet: fleet_module.Fleet, vm: fleet_module.Vm, count: int
) -> asyncio.Future[list[int]]:
    """Send requests that outlast most of a planned stop."""
    calls = []
    for _ in range(count):
        seconds = fleet.rng.uniform(*LONG_WORK_SECONDS)
        target = f"/long/{clients.new_key()}?work={seconds:.3f}"
        calls.append(vm.client.call("long", True, LONG_PATIENCE, target))
    return asyncio.gather(*calls)


async def _stop(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Stop one or several daemons at once."""
    others = [each for each in fleet.vms if not each.busy]
    chosen = fleet.rng.sample(
        others, min(len(others), fleet.rng.randint(0, 2))
    )
    for other in chosen:
        fleet.note_fault(f"stop {other.name}")
        other.busy = True
    await asyncio.gather(*(stop(fleet, each) for each in (vm, *chosen)))
    for other in chosen:
        other.busy = False


async def _change_in_series(
    fleet: fleet_module.Fleet, vm: fleet_module.Vm
) -> None:
    """Send signals to a daemon that stops, and write policies."""
    if fleet.rng.random() < 0.5:
        return
    while True:
        await asyncio.sleep(fleet.rng.uniform(*SERIES_PAUSE))
        change = fleet.rng.choice(["term", "hup", "configure"])
        process = fleet_module.running(vm)
        if change == "configure":
            fleet.configure()
        elif process.poll() is None:
            fleet.timeline.note(f"{change} {vm.name}")
            if change == "hup":
                fleet.oracle.losses.hangs_up(vm.host)
            process.send_signal(SERIES_SIGNALS[change])


async def _pause(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    process = fleet_module.running(vm)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fleet.rng.uniform(0.2, 2.5))
    fleet.oracle.notices.excuse(vm.host)
    process.send_signal(signal.SIGCONT)


async def _hup(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Send SIGHUP, mostly with changed settings, and policies beside it."""
    for _ in range(fleet.rng.randint(1, SERIES)):
        work = _begin_work(fleet, [vm])
        if fleet.rng.random() < 0.8:
            fleet.write_settings(vm)
        fleet.oracle.losses.hangs_up(vm.host)
        fleet_module.running(vm).send_signal(signal.SIGHUP)
        if fleet.rng.random() < 0.3:
            fleet.configure()
        await asyncio.sleep(fleet.rng.uniform(*SERIES_PAUSE))
        await work


async def _store_away(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    fleet.store.mode = fleet.rng.choice(["busy", "reset", "silent"])
    await asyncio.sleep(fleet.rng.uniform(0.5, 3.0))
    fleet.store.mode = ""


async def _store_older(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Bring the store back from a copy that is some seconds old."""
    copy = fleet.store.copy()
    await asyncio.sleep(fleet.rng.uniform(0.5, 4.0))
    fleet.store.mode = fleet.rng.choice(["busy", "reset", "silent"])
    await asyncio.sleep(fleet.rng.uniform(0.0, 1.5))
    away = fleet.rng.uniform(0.0, 1.5)
    fleet.store.restore(copy, away)
    fleet.store.mode = ""
    await asyncio.sleep(away)
    fleet.store.write_again()


async def _forget(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    fleet.store.forget_history()


async def _configure(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Write policies, one after the other."""
    work = _begin_work(fleet, fleet.vms)
    for _ in range(fleet.rng.randint(1, SERIES)):
        fleet.configure()
        await asyncio.sleep(fleet.rng.uniform(*SERIES_PAUSE))
    await work


def _begin_work(
    fleet: fleet_module.Fleet, vms: list[fleet_module.Vm]
) -> asyncio.Future[list[int]]:
    """Send requests that instances will still work on for a while."""
    calls = []
    for vm in vms:
        for _ in range(WORKS_EACH):
            seconds = fleet.rng.uniform(*WORK_SECONDS)
            target = f"/deep/{clients.new_key()}?work={seconds:.3f}"
            calls.append(vm.client.call("deep", True, 2.0, target))
    return asyncio.gather(*calls)


async def _revoke(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Take keys away, one after the other, also while the store is away."""
    for _ in range(fleet.rng.randint(1, 3)):
        fleet.customers.revoke(asyncio.get_running_loop().time())
        fleet.configure()
        await asyncio.sleep(fleet.rng.uniform(0.0, 0.5))


async def _delay(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    vm.link.delay = fleet.rng.uniform(0.01, 0.15)
    await asyncio.sleep(fleet.rng.uniform(0.5, 2.0))
    vm.link.delay = 0.0


async def _reset(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    vm.link.reset()


async def _one_way(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    way = fleet.rng.choice([vm.link.forth, vm.link.back])
    way.clear()
    await asyncio.sleep(fleet.rng.uniform(0.5, 3.0))
    way.set()


async def _silence(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    vm.link.forth.clear()
    vm.link.back.clear()
    await asyncio.sleep(fleet.rng.uniform(0.5, 3.0))
    vm.link.reset()
    vm.link.heal()


async def _renew(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Restart the instance; its old entry stays for a while."""
    before = vm.upstream.id
    vm.upstream.renew()
    fleet.register(vm)
    await asyncio.sleep(fleet.rng.uniform(0.5, 2.0))
    fleet.store.remove(f"servers/{before}")


async def _restart(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Restart the instance under its id; a heartbeat of before comes late."""
    before = vm.entry
    vm.upstream.renew(same_id=True)
    await asyncio.sleep(fleet.rng.uniform(0.0, 1.0))
    fleet.register(vm)
    await asyncio.sleep(fleet.rng.uniform(0.0, 0.5))
    if vm.upstream.service != "edge":
        fleet.store.put(f"servers/{vm.upstream.id}", before)


async def _scribble(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Another writer leaves entries that name no instance."""
    forged = vm.entry | fleet.rng.choice(FORGERIES)
    fleet.store.put(f"servers/forged-{fleet.rng.randint(1, 5)}", forged)
    for field in ("warmup_ms", "born"):
        beyond = vm.entry | {field: BEYOND_A_FLOAT}
        fleet.store.put(f"servers/forged-{field}", beyond)


async def _drain(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    """Let an instance drain, or just take its entry away.

    It serves for longer than it is to get requests.
    """
    before = vm.upstream.id
    says_so = fleet.rng.random() < DRAINING_SHARE
    if says_so:
        fleet.register(vm, "draining")
    if not says_so or fleet.rng.random() < 0.3:
        await asyncio.sleep(fleet.rng.uniform(0.0, 1.0))
        fleet.store.remove(f"servers/{before}")
    await asyncio.sleep(fleet.rng.uniform(2.5, 5.0))
    fleet.store.remove(f"servers/{before}")
    if vm.upstream.id == before:
        vm.upstream.renew()
    fleet.register(vm)


async def _misbehave(fleet: fleet_module.Fleet, vm: fleet_module.Vm) -> None:
    vm.upstream.lose_share = fleet.rng.uniform(0.0, 0.4)
    vm.upstream.extra_share = fleet.rng.uniform(0.0, 0.4)
    vm.upstream.slow = fleet.rng.choice([1.0, 5.0])
    vm.upstream.endless_share = ENDLESS_SHARE
    await asyncio.sleep(fleet.rng.uniform(0.5, 3.0))
    vm.upstream.lose_share = vm.upstream.extra_share = 0.0
    vm.upstream.endless_share = 0.0
    vm.upstream.slow = 1.0


FAULTS: dict[str, Fault] = {
    "break_watcher": _break_watcher,
    "configure": _configure,
    "crash": _crash,
    "crash_again": _crash_again,
    "crowd": _crowd,
    "delay": _delay,
    "drain": _drain,
    "forget": _forget,
    "hup": _hup,
    "kill": _kill,
    "leave": leave,
    "limit": _limit,
    "misbehave": _misbehave,
    "one_way": _one_way,
    "pause": _pause,
    "renew": _renew,
    "reset": _reset,
    "restart": _restart,
    "revoke": _revoke,
    "scribble": _scribble,
    "silence": _silence,
    "stop": _stop,
    "store_away": _store_away,
    "store_older": _store_older,
}
ON_PROCESS = frozenset({"hup", "kill", "pause", "stop"})
"""Faults of a VM's process come one at a time."""
UNPLANNED = {
    "delay": disruptions.Kind.LINK,
    "kill": disruptions.Kind.PROCESS,
    "misbehave": disruptions.Kind.INSTANCE,
    "one_way": disruptions.Kind.LINK,
    "pause": disruptions.Kind.PROCESS,
    "renew": disruptions.Kind.INSTANCE,
    "reset": disruptions.Kind.LINK,
    "restart": disruptions.Kind.INSTANCE,
    "silence": disruptions.Kind.LINK,
}
"""What excuses losses at a VM; crashes are noted as they come."""
