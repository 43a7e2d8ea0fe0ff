"""An entry of another writer in the store, then a new configuration.

Two zones of two machines. The route ``/move/`` goes to ``alpha``. Another
writer leaves an entry whose ``warmup_ms`` is a whole number of 401 digits,
which names no instance to use. More than three seconds later the operator
sends ``/move/`` to ``beta``; then a daemon is stopped and started again.

Exit code 1 if ``alpha`` runs a request that was sent later than
``propagation_ms`` after the store's answer (CONFIG). Whether the restarted
daemon gets ready is told besides.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

PROPAGATION = 2.0
STABLE = 3.0
AFTER = 15.0
"""Seconds for which requests are sent after the new configuration."""
GRACE = 6.0
READY_SECONDS = 15.0
PAUSE = 0.25
TOO_LARGE = "1" + 400 * "0"


def config(version: str, service: str) -> dict[str, object]:
    return {
        "version": version,
        "routes": {
            "move": {
                "host": standins.HOST.decode(),
                "prefix": "/move/",
                "type": "unsafe",
                "timeout_ms": 3000,
                "target_latency_ms": 1500,
                "priority": 0,
                "service": service,
                "max_attempts": 2,
            }
        },
        "services": {"alpha": {}, "beta": {}},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "base_version": "r1",
    }


class Case:
    """Four machines, and what their clients sent and got."""

    def __init__(self) -> None:
        self.record = standins.Record(FOLDER / "record.txt")
        self.fleet = standins.Fleet(self.record)
        for zone in ("north", "south"):
            for service in ("alpha", "beta"):
                self.fleet.add(zone, service)
        self.answers: dict[str, standins.Answered] = {}

    async def ask(self, daemon: standins.Daemon) -> None:
        answered = await standins.send(
            self.record,
            self.fleet.clients_at(daemon),
            "POST",
            "/move/x",
            b"count",
        )
        self.answers[answered.key] = answered

    async def ask_all(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        asked = []
        while time.monotonic() < until:
            asked += [
                asyncio.ensure_future(self.ask(daemon))
                for daemon in self.fleet.daemons
            ]
            await asyncio.sleep(PAUSE)
        await asyncio.gather(*asked)

    def write_entry(self) -> None:
        """Write the entry as another writer does."""
        first = self.fleet.daemons[0]
        text = json.dumps(self.fleet.entry(first, warmup_ms=-1))
        text = text.replace('"warmup_ms": -1', f'"warmup_ms": {TOO_LARGE}')
        self.fleet.store.put("servers/i-another-writer", text.encode())
        self.record.say("an entry of another writer: warmup_ms of 401 digits")

    async def restart(self) -> bool:
        """Restart the last daemon as planned; return whether it gets ready."""
        daemon = self.fleet.daemons[-1]
        assert daemon.process is not None
        daemon.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE
        while daemon.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if daemon.process.poll() is None:
            daemon.process.kill()
            daemon.process.wait()
        self.fleet.start(daemon)
        return await self.fleet.wait_ready(daemon, READY_SECONDS)

    def judge(self, acknowledged: float) -> int:
        late = {
            key: each
            for key, each in self.answers.items()
            if each.sent_at > acknowledged + PROPAGATION
        }
        old = [
            late[key]
            for daemon in self.fleet.daemons
            if daemon.instance is not None
            and daemon.instance.service == "alpha"
            for key in daemon.instance.keys
            if key in late
        ]
        if not old:
            self.record.say(f"CONFIG held: {len(late)} requests, none at alpha")
            return 0
        last = max(each.sent_at for each in old) - acknowledged
        self.record.say(
            f"CONFIG broken: of {len(late)} requests sent later than "
            f"{PROPAGATION} s after r8, alpha ran {len(old)}; the last one "
            f"was sent {last:.1f} s after it"
        )
        return 1


async def script() -> int:
    case = Case()
    try:
        await case.fleet.open(config("r5", "alpha"))
        await case.ask_all(STABLE)
        if any(each.status != 200 for each in case.answers.values()):
            case.record.say("requests fail before any disruption")
            return 2
        if standins.trouble():
            case.write_entry()
        await case.ask_all(STABLE + 0.5)
        case.fleet.store.put("op/config", config("r8", "beta"))
        acknowledged = time.monotonic()
        case.record.say("r8 is acknowledged: /move/ goes to beta")
        await case.ask_all(AFTER)
        code = case.judge(acknowledged)
        ready = await case.restart()
        case.record.say(
            f"a restarted daemon is {'' if ready else 'not '}ready after "
            f"at most {READY_SECONDS:.0f} s"
        )
        return code
    finally:
        case.fleet.close()


if __name__ == "__main__":
    standins.run(script())
