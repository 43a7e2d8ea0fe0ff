"""Bytes that never end cost neither memory nor other requests."""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import subprocess
import sys
import typing

from tests.platform import endless
from tests.platform import faulty
from tests.platform.soak import clients
from tests.platform.soak import fleet as fleet_module

if typing.TYPE_CHECKING:
    from collections import abc
    import pathlib

    import pytest

KIND_SECONDS = 2.5
SOUND_GAP_SECONDS = 0.05
ENDLESS_GAP_SECONDS = 0.3
CLIENTS = 4
SOUND_SECONDS = 1.2
"""The shortest time-out of a route in a fleet; sound requests take 0.1 s."""
ANSWER_SECONDS = 3.0
MEMORY_BYTES = 300_000_000
"""The limit that a daemon has without a setting."""
ADDRESS_SPACE_BYTES = (2_000_000_000, 2_000_000_000)
"""Keeps a daemon without bounds from taking the machine's memory."""
FAILURES = frozenset({502, 503, 504})
WHOLE_STATUSES = {"behind_an_answer": 200, "not_modified": 304}
"""Of answers that have ended: the bytes behind them belong to no request."""
CROWD_GAP_SECONDS = 0.02
SERVICE = "endless"
_INSTANCE = "i-endless"


class Trial:
    """Daemons of which one is beside an instance whose bytes never end."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.fleet = fleet
        self.beside = next(
            vm for vm in fleet.vms if vm.upstream.service == "edge"
        )
        self.entrances = (
            self.beside,
            next(vm for vm in fleet.vms if vm.upstream.service == "front"),
        )
        self.faults: list[str] = []
        self._serial = 0

    def register(self) -> None:
        """Write the entry of the instance, which takes the edge's place."""
        entry = self.beside.entry | {"service": SERVICE}
        self.fleet.store.put(f"servers/{_INSTANCE}", entry)

    async def play(
        self,
        kind: str,
        endless_requests: bool,
        gap: float = ENDLESS_GAP_SECONDS,
    ) -> None:
        """Send sound requests for a while, and note what goes wrong."""
        calls: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        until = loop.time() + KIND_SECONDS
        next_endless = loop.time()
        while loop.time() < until:
            entrance = self.entrances[len(calls) % 2]
            sound = self._sound(kind, entrance)
            calls.append(asyncio.ensure_future(sound))
            if endless_requests and loop.time() >= next_endless:
                next_endless += gap
                asked = self._endless(kind, entrance)
                calls.append(asyncio.ensure_future(asked))
            await asyncio.sleep(SOUND_GAP_SECONDS)
        await asyncio.gather(*calls)
        for vm in self.entrances:
            self._check_memory(kind, vm)

    async def _sound(self, kind: str, vm: fleet_module.Vm) -> None:
        started = asyncio.get_running_loop().time()
        status = await self._ask(vm, "deep/sound")
        elapsed = asyncio.get_running_loop().time() - started
        if status != 200 or elapsed > SOUND_SECONDS:
            self.faults.append(f"{kind}: sound {status}, {elapsed:.2f} s")

    async def _endless(self, kind: str, vm: fleet_module.Vm) -> None:
        method = b"HEAD" if kind.startswith("head_") else b"GET"
        status = await self._ask(vm, f"endless/{kind}", method)
        whole = WHOLE_STATUSES.get(kind)
        if status != whole and (whole or status not in FAILURES):
            self.faults.append(f"{kind}: endless answered by {status}")

    async def _ask(
        self, vm: fleet_module.Vm, path: str, method: bytes = b"GET"
    ) -> int:
        """Return the status of the answer, 0 without one."""
        self._serial += 1
        with contextlib.suppress(OSError, TimeoutError, IndexError):
            reader, writer = await asyncio.open_connection(
                vm.host, fleet_module.OUTBOUND
            )
            head = (
                b"%s /%s HTTP/1.1\r\nHost: %s\r\n"
                b"Sassafrasstair-Request-Id: e%d\r\n\r\n"
                % (method, path.encode(), clients.HOST, self._serial)
            )
            writer.write(head)
            async with asyncio.timeout(ANSWER_SECONDS):
                line = await reader.readline()
            writer.close()
            return int(line.split(b" ")[1])
        return 0

    def _check_memory(self, kind: str, vm: fleet_module.Vm) -> None:
        peak = faulty.resident_peak(vm)
        if peak > MEMORY_BYTES:
            self.faults.append(f"{kind}: {vm.name} held {peak >> 20} MB")


@contextlib.contextmanager
def _process(*arguments: str) -> abc.Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.platform.endless", *arguments],
        stdout=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _run(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    play: abc.Callable[[Trial], abc.Awaitable[None]],
) -> list[str]:
    routes = fleet_module.ROUTES | {SERVICE: SERVICE}
    monkeypatch.setattr(fleet_module, "ROUTES", routes)

    async def scenario() -> list[str]:
        fleet = fleet_module.Fleet(tmp_path, random.Random(1))
        try:
            trial = Trial(fleet)
            await fleet.open()
            for vm in fleet.vms:
                pid = fleet_module.running(vm).pid
                resource.prlimit(pid, resource.RLIMIT_AS, ADDRESS_SPACE_BYTES)
            await play(trial)
            fleet.check_alive()
            # Requests of the trial are not known to the fleet's clients.
            known = [
                line
                for line in fleet.oracle.broken
                if not line.startswith("UNASKED e")
            ]
            return [*trial.faults, *known]
        finally:
            await fleet.close()

    return asyncio.run(scenario())


async def _play_answers(
    trial: Trial, kinds: abc.Iterable[str], gap: float
) -> None:
    """Put an instance with endless answers in place of the edge's."""
    beside = trial.beside
    beside.upstream.close()
    with _process("serve", beside.host, str(fleet_module.APP)) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == b"listens\n"
        trial.register()
        await asyncio.sleep(0.5)
        for kind in kinds:
            await trial.play(kind, endless_requests=True, gap=gap)


def test_answers_that_never_end_cost_no_other_request(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A daemon held gigabytes of them, and others got no answer."""

    async def play(trial: Trial) -> None:
        kinds = (*endless.ANSWERS, *endless.SPECIAL_ANSWERS)
        await _play_answers(trial, kinds, ENDLESS_GAP_SECONDS)

    assert not _run(tmp_path, monkeypatch, play)


def test_many_endless_answers_at_once_cost_no_other_request(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All of them together fit into a daemon's memory."""

    async def play(trial: Trial) -> None:
        kinds = ("body_until_the_end", "body_in_chunks", "field")
        await _play_answers(trial, kinds, CROWD_GAP_SECONDS)

    assert not _run(tmp_path, monkeypatch, play)


def test_requests_that_never_end_cost_no_other_request(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A daemon held gigabytes of them, and others got no answer."""

    async def play(trial: Trial) -> None:
        for kind in endless.REQUESTS:
            address = trial.beside.host, str(fleet_module.OUTBOUND)
            with _process("send", *address, kind, str(CLIENTS)):
                await trial.play(kind, endless_requests=False)

    assert not _run(tmp_path, monkeypatch, play)
