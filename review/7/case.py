"""DRAIN: the only instance of a service is taken away without a report."""

from __future__ import annotations

import asyncio
import pathlib

from review import standins_2

FOLDER = pathlib.Path(__file__).resolve().parent
DRAIN_SECONDS = 2.0
SERVES_ON_SECONDS = 3.5
"""For how long the instance serves after its entry was removed: ``drain_ms``
and a little longer."""
BOUNDS = (
    "seed_lag_s=3,reuse_after_s=2,stable_ms=3000,ack_ms=4000,catch_up_s=4,"
    "drain_ms=2000,grace_s=6,loss_slack_ms=200,propagation_ms=2000,"
    "downgrade_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2,"
    "budget_window_s=10,budget_slack=48,recover_s=15"
)
WORK_SECONDS, SLOTS = 0.3, 8
BUNCH, BUNCH_SECONDS = 2, 0.9
"""Requests that each of the other VMs sends at once, and how often: 24 in
0.9 s, of which the instance can run 24 in 0.9 s."""
REMOVED_AFTER = 0.35
"""From the last bunch before it until the entry is removed."""
ROUNDS = 6
CALM_SECONDS = 4.0
"""Before the entry is removed: more than ``stable_ms``."""


def make() -> standins_2.Place:
    """Return a zone with one instance of ``ledger`` and twelve other VMs."""
    place = standins_2.Place(FOLDER, ("pos-a",), BOUNDS)
    place.add("pos-a", "ledger", work=WORK_SECONDS, slots=SLOTS)
    for service in ("pricer", "poster", "intake") * 4:
        place.add("pos-a", service)
    return place


async def case(place: standins_2.Place) -> bool:
    """Return whether nothing reached the instance after ``drain_ms``."""
    place.configure(
        {
            "ledger-view": {
                "host": standins_2.HOST, "prefix": "/ledger/", "type": "safe",
                "timeout_ms": 4000, "target_latency_ms": 1500, "priority": 1,
                "max_attempts": 2, "service": "ledger",
            }
        }
    )
    await place.open()
    requests: list[asyncio.Task[standins_2.Sent]] = []
    load = [
        asyncio.ensure_future(drive(place, vm, requests))
        for vm in place.vms[1:]
    ]
    late = 0
    began = asyncio.get_running_loop().time()
    for _ in range(ROUNDS):
        await asyncio.sleep(CALM_SECONDS)
        passed = asyncio.get_running_loop().time() - began
        await asyncio.sleep(
            BUNCH_SECONDS - passed % BUNCH_SECONDS + REMOVED_AFTER
        )
        if standins_2.with_trouble():
            late += await take_away(place)
        else:
            await asyncio.sleep(SERVES_ON_SECONDS)
    for task in load:
        task.cancel()
    await asyncio.gather(*requests)
    served = sum(sent.status == 200 for sent in place.sent.values())
    text = (
        f"{late} requests reached an instance later than "
        f"{DRAIN_SECONDS:g} s after the store had acknowledged that it is "
        f"gone, in {ROUNDS} rounds; {served} of {len(place.sent)} served"
    )
    place.record.note(text)
    print(text)
    return not late and served > 0


async def take_away(place: standins_2.Place) -> int:
    """Remove the entry, then replace the instance; return late arrivals."""
    vm = place.vms[0]
    gone = vm.instance
    vm.is_listed = False
    place.store.remove(f"servers/{gone.id}")
    at = place.record.now()
    place.record.note(f"the store has removed {gone.id}")
    await asyncio.sleep(SERVES_ON_SECONDS)
    place.record.note(f"{gone.id} ends")
    gone.close()
    vm.instance = standins_2.Instance(vm, WORK_SECONDS, SLOTS)
    await vm.instance.open()
    vm.is_listed = True
    vm.register()
    place.record.note(f"{vm.instance.id} starts")
    arrived = sorted(
        ran_at - at
        for sent in place.sent.values()
        for ran_at, _, instance in sent.runs
        if instance == gone.id and ran_at > at
    )
    late = [seconds for seconds in arrived if seconds > DRAIN_SECONDS]
    place.record.note(
        f"{gone.id}: {len(arrived)} arrived after its removal, the last "
        f"{arrived[-1] if arrived else 0.0:.3f} s after it, {len(late)} late"
    )
    return len(late)


async def drive(
    place: standins_2.Place,
    vm: standins_2.Vm,
    requests: list[asyncio.Task[standins_2.Sent]],
) -> None:
    """Send requests for ``ledger`` in bunches, all VMs at the same time."""
    loop = asyncio.get_running_loop()
    due = loop.time()
    while True:
        for _ in range(BUNCH):
            requests.append(
                asyncio.ensure_future(place.request(vm, "/ledger/x"))
            )
        due += BUNCH_SECONDS
        await asyncio.sleep(due - loop.time())


standins_2.main(case, make)
