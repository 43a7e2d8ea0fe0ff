"""Daemons in two services: one that misbehaves, and a sound one beside it."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import resource
import subprocess
import sys
import typing

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests.platform import endless
from tests.platform.soak import clients
from tests.platform.soak import fleet as fleet_module

if typing.TYPE_CHECKING:
    from collections import abc

LIMIT_SECONDS = 3.0
"""The time-out of both routes."""
LATE_SECONDS = 0.5
"""An answer may come so long after its request's limit."""
MEMORY_BYTES = 300_000_000
"""The limit that a daemon has without a setting."""
ROOM_RATIO = 0.8
"""Of the limit, what a daemon may hold at most: there is room to spare."""
ADDRESS_SPACE_BYTES = (2_000_000_000, 2_000_000_000)
"""Keeps a daemon without bounds from taking the machine's memory."""
BODY_BYTES_MAX = 64 * 1024 * 1024
SOUND_GAP_SECONDS = 1.0 / 30.0
FAULTY = "alpha"
SOUND = "beta"


class Fleet(fleet_module.Fleet):
    """Three VMs of the faulty service and one of the sound one."""

    services = (FAULTY, FAULTY, FAULTY, SOUND)
    max_body_bytes = (BODY_BYTES_MAX,)

    @property
    def routes(self) -> dict[str, str]:
        """The services by route."""
        return {"faulty": FAULTY, "order": FAULTY, "sound": SOUND}

    def _policies(self) -> dict[str, dict[str, object]]:
        return {
            name: fleet_module.route_policy(
                name, service, name != "order", int(LIMIT_SECONDS * 1000), 400
            )
            for name, service in self.routes.items()
        }


@dataclasses.dataclass
class Load:
    """Requests for the faulty service.

    They are for the ``paths`` by turns. ``gap`` is the time between two, in
    seconds. With a ``body`` they are uploads of so many bytes. ``patience`` is
    the time after which a client leaves, None if it waits for the answer.
    """

    paths: tuple[str, ...]
    gap: float
    body: int = 0
    patience: float | None = None


class Trial:
    """What clients of a fleet were answered."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.faults: list[str] = []
        self.statuses: list[int] = []
        """Of the faulty service's answers, 0 where there was none."""
        self._serial = 0
        self._pools = [
            httpio.Pool(
                vm.host, fleet_module.OUTBOUND, clocks.SystemClock(), 5.0
            )
            for vm in fleet.vms
        ]

    async def play(self, load: Load, seconds: float) -> None:
        """Send requests to both services, and check the sound answers."""
        asked = asyncio.ensure_future(
            self._repeat(lambda: self._ask_faulty(load), load.gap, seconds)
        )
        await self._repeat(self._ask_sound, SOUND_GAP_SECONDS, seconds)
        await asked
        self.check_memory()

    async def ask(
        self, path: str, wait: float, body: int = 0
    ) -> tuple[int, float]:
        """Return the status, 0 for none, and how long the answer took."""
        loop = asyncio.get_running_loop()
        self._serial += 1
        number = self._serial
        method = b"POST" if body else b"GET"
        fields = [
            (b"Host", clients.HOST),
            (b"Sassafrasstair-Request-Id", b"e%d" % number),
        ]
        route, _, kind = path.strip("/").partition("/")
        target = f"/{route}/{number}/{kind}".encode()
        head = httpio.request_head(method, target, fields, body)
        ended: asyncio.Future[httpio.Response | httpio.Failure] = (
            loop.create_future()
        )
        job = httpio.Job(
            head + bytes(body),
            lambda result: None if ended.done() else ended.set_result(result),
        )
        began_at = loop.time()
        pool = self._pools[number % len(self._pools)]
        (pool.send_on_new if number % 3 == 0 else pool.send)(job)
        status = 0
        try:
            async with asyncio.timeout(wait):
                result = await ended
            if isinstance(result, httpio.Response):
                status = result.status
        except TimeoutError:
            job.abort()
        return status, loop.time() - began_at

    async def leave_unread(
        self, ahead: int, gap: float, seconds: float
    ) -> None:
        """Ask for large answers on connections that nobody reads.

        Each sends ``ahead`` requests at once.
        """
        writers: list[asyncio.StreamWriter] = []

        async def ask() -> None:
            self._serial += 1
            vm = self.fleet.vms[self._serial % len(self.fleet.vms)]
            _, writer = await asyncio.open_connection(
                vm.host, fleet_module.OUTBOUND, limit=1
            )
            # The stream holds what it has read until its end.
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writers.append(writer)
            for number in range(ahead):
                writer.write(
                    b"GET /faulty/u%d.%d/%s HTTP/1.1\r\nHost: %s\r\n"
                    b"Sassafrasstair-Request-Id: eu%d.%d\r\n\r\n"
                    % (
                        self._serial,
                        number,
                        endless.LARGE_ANSWER.encode(),
                        clients.HOST,
                        self._serial,
                        number,
                    )
                )

        await self._repeat(ask, gap, seconds)
        for writer in writers:
            writer.transport.abort()

    async def read_large(self, gap: float, seconds: float) -> None:
        """Ask for large answers that are read; each has to come."""

        async def ask() -> None:
            path = f"/faulty/{endless.LARGE_ANSWER}"
            status, elapsed = await self.ask(path, LIMIT_SECONDS)
            if status != 200:
                fault = f"large answer {status} after {elapsed:.2f} s"
                self.faults.append(fault)

        await self._repeat(ask, gap, seconds)

    async def _ask_sound(self) -> None:
        status, seconds = await self.ask("/sound/x", LIMIT_SECONDS)
        if status != 200:
            self.faults.append(f"sound {status} after {seconds:.2f} s")

    async def _ask_faulty(self, load: Load) -> None:
        longest = LIMIT_SECONDS + LATE_SECONDS
        wait = load.patience or longest
        path = load.paths[self._serial % len(load.paths)]
        status, seconds = await self.ask(path, wait, load.body)
        self.statuses.append(status)
        if load.patience is None and not status:
            self.faults.append(f"faulty {status} after {seconds:.2f} s")

    async def _repeat(
        self,
        ask: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
        gap: float,
        seconds: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        due_at = loop.time()
        calls = []
        while loop.time() < until:
            calls.append(asyncio.ensure_future(ask()))
            due_at += gap
            await asyncio.sleep(max(0.0, due_at - loop.time()))
        await asyncio.gather(*calls)

    def check_memory(self) -> None:
        """Note daemons that held more than they may."""
        self.fleet.check_alive()
        for vm in self.fleet.vms:
            peak = resident_peak(vm)
            if peak > ROOM_RATIO * MEMORY_BYTES:
                self.faults.append(f"{vm.name} held {peak / 1e6:.0f} MB")

    def report(self) -> str:
        """Return the greatest resident memory of each daemon, in MB."""
        peaks = [resident_peak(vm) / 1e6 for vm in self.fleet.vms]
        return ", ".join(f"{peak:.0f}" for peak in peaks)


def resident_peak(vm: fleet_module.Vm) -> int:
    """Return the most that a daemon has held, in bytes; 0 if it is gone."""
    pid = fleet_module.running(vm).pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return sum(
        int(line.split()[1]) * 1024
        for line in status.splitlines()
        if line.startswith("VmHWM:")
    )


@contextlib.contextmanager
def endless_process(*arguments: str) -> abc.Iterator[None]:
    """Run a server of bytes without end."""
    with subprocess.Popen(
        [sys.executable, "-m", "tests.platform.endless", *arguments],
        stdout=subprocess.PIPE,
    ) as process:
        try:
            assert process.stdout is not None
            assert process.stdout.readline() == b"listens\n"
            yield
        finally:
            process.kill()


def run(
    folder: pathlib.Path,
    play: abc.Callable[[Trial], abc.Awaitable[None]],
    bytes_per_s: float | None = None,
) -> Trial:
    """Play a trial; the faulty instances send so many bytes a second.

    With None they are those of an ordinary soak.
    """

    async def scenario() -> Trial:
        fleet = Fleet(folder, random.Random(1))
        trial = Trial(fleet)
        try:
            await fleet.open()
            for vm in fleet.vms:
                pid = fleet_module.running(vm).pid
                resource.prlimit(pid, resource.RLIMIT_AS, ADDRESS_SPACE_BYTES)
            with contextlib.ExitStack() as stack:
                for vm in fleet.vms:
                    if bytes_per_s is None or vm.upstream.service == SOUND:
                        continue
                    vm.upstream.close()
                    address = vm.host, str(fleet_module.APP)
                    stack.enter_context(
                        endless_process("serve", *address, str(bytes_per_s))
                    )
                await play(trial)
            # Requests of the trial are not known to the fleet's clients.
            trial.faults += [
                line
                for line in fleet.oracle.broken
                if not line.startswith("UNASKED e")
            ]
            return trial
        finally:
            await fleet.close()

    return asyncio.run(scenario())
