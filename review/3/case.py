"""One machine is cut off while a tenant sends more than its quota.

Two zones with two machines each. The machine that hands out the tenant's
quota in one zone is cut off from the store and all other machines for 5.5 s;
its clients and its own instance still reach it.

Exit code 1 if within some ``quota_window_s`` more requests of the tenant were
sent and ran than (rate x window + burst) x (1 + over) + slack (QUOTA).
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

RATE, BURST = 40, 40
WINDOW, OVER, SLACK = 5.0, 0.25, 20
MOST = (RATE * WINDOW + BURST) * (1.0 + OVER) + SLACK
CUT_SECONDS = 5.5
DEMAND = 60.0
"""Requests a second of the tenant at each machine."""
KEY = "2thhkmgjqnirth5mgjy5"
TENANT = "pulo780"


def config() -> dict[str, object]:
    return {
        "version": "r5",
        "routes": {
            "look": {
                "host": standins.HOST.decode(),
                "prefix": "/look/",
                "type": "safe",
                "timeout_ms": 2500,
                "target_latency_ms": 2004,
                "priority": 2,
                "service": "alpha",
                "max_attempts": 2,
                "allow_anonymous": False,
            }
        },
        "services": {"alpha": {}},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": {
            TENANT: {
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": RATE,
                "burst": BURST,
            }
        },
        "base_version": "r1",
    }


def greatest(runs: list[tuple[float, float]]) -> tuple[int, float]:
    """Return the most that was sent and ran in one window, and its start."""
    runs = sorted(runs)
    found = (0, 0.0)
    for first, (since, _) in enumerate(runs):
        count = sum(ran <= since + WINDOW for _, ran in runs[first:])
        found = max(found, (count, since))
    return found


async def script() -> int:
    record = standins.Record(FOLDER / "record.txt")
    fleet = standins.Fleet(record)
    fleet.bounds += (
        f",revoke_strict=true,revoke_ms=5000,quota_window_s={WINDOW:.0f},"
        f"quota_over={OVER},quota_slack={SLACK}"
    )
    for zone in ("north", "south"):
        for _ in range(2):
            fleet.add(zone, "alpha", linked=True, slots=57)
    answers: dict[str, standins.Answered] = {}
    asked: list[asyncio.Future[None]] = []
    customers: list[standins.Daemon] = []
    kept: dict[str, list[standins.Stream]] = {
        daemon.name: [] for daemon in fleet.daemons
    }

    async def ask(daemon: standins.Daemon) -> None:
        answered = await standins.send(
            record,
            fleet.clients_at(daemon),
            "GET",
            "/look/x",
            deadline_ms=2500,
            fields={"Api-Key": KEY},
            kept=kept[daemon.name],
        )
        answers[answered.key] = answered

    async def ask_all(seconds: float) -> None:
        until = time.monotonic() + seconds
        due = time.monotonic()
        while due < until:
            for daemon in customers:
                asked.append(asyncio.ensure_future(ask(daemon)))
            due += 1.0 / DEMAND
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def allocator() -> standins.Daemon | None:
        for daemon in fleet.daemons:
            if daemon.zone == "north":
                told = json.loads((await fleet.page(daemon, "/quotas"))[1])
                if told["allocator"] == daemon.told:
                    return daemon
        return None

    try:
        await fleet.open(config())
        await asyncio.sleep(3.0)
        customers += [each for each in fleet.daemons if each.zone == "north"]
        await ask_all(8.0)
        holder = await allocator()
        if holder is None:
            record.say("no machine hands out the quota")
            return 2
        began = time.monotonic()
        if standins.trouble():
            record.say(f"cut off for {CUT_SECONDS} s: {holder.name}")
            fleet.cut_off(holder)
        await ask_all(CUT_SECONDS)
        if standins.trouble():
            record.say("the cut ends")
            fleet.join(holder)
        await ask_all(3.0)
        await asyncio.gather(*asked)
        runs = [
            (answers[key].sent_at, at)
            for daemon in fleet.daemons
            if daemon.instance is not None
            for (at, _), key in zip(
                daemon.instance.runs, daemon.instance.keys, strict=True
            )
        ]
        count, since = greatest(runs)
        where = f"in the {WINDOW:.0f} s from {since - began:+.1f} s on"
        for daemon in fleet.daemons:
            ran = sum(
                since <= answers[key].sent_at and at <= since + WINDOW
                for (at, _), key in zip(
                    daemon.instance.runs, daemon.instance.keys, strict=True
                )
            )
            record.say(f"{daemon.name}: {ran} ran at its instance {where}")
        if count > MOST:
            record.say(f"QUOTA broken: {count} ran {where}, {MOST:.0f} may")
            return 1
        record.say(f"held: at most {count} ran {where}, {MOST:.0f} may")
        return 0
    finally:
        fleet.close()


if __name__ == "__main__":
    standins.run(script())
