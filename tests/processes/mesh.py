"""A few real processes on loopback, which tests stop, pause and cut."""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import json
import pathlib
import subprocess
import sys
import typing

from sassafrasstair import bundles
from sassafrasstair import configservice
from sassafrasstair.standins import _answers
from sassafrasstair.standins import _http
from tests import loopback

if typing.TYPE_CHECKING:
    from collections import abc

BIN = pathlib.Path(sys.executable).parent
HOST = "127.0.0.1"
UNTIL_SECONDS = 20.0
CLASSES = {
    "binding": {
        "service": "poster",
        "importance": 9,
        "deadline_ms": 20_000,
        "once": True,
        "caller_repeats": 50,
    },
    "lookup": {"service": "poster", "importance": 9, "deadline_ms": 5_000},
}


Story = typing.Callable[["Mesh"], typing.Awaitable[None]]


def free_port() -> int:
    return loopback.free_ports(1)[0]


@dataclasses.dataclass
class Vm:
    """An upstream and its daemon; ``peer`` is what other daemons dial."""

    name: str
    domain: str
    caller: int = dataclasses.field(default_factory=free_port)
    operator: int = dataclasses.field(default_factory=free_port)
    listen: int = dataclasses.field(default_factory=free_port)
    upstream: int = dataclasses.field(default_factory=free_port)
    state: str = "live"
    peer: int = 0
    platform: int = 0
    daemon: subprocess.Popen[bytes] | None = None
    served: subprocess.Popen[bytes] | None = None

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The running daemon."""
        assert self.daemon is not None
        return self.daemon


@dataclasses.dataclass(frozen=True)
class Told:
    """What a caller was told: a status and an outcome, or "lost"."""

    status: int
    outcome: str
    reason: str = ""


class Mesh:
    """The platform's stand-in and VMs of the one service ``poster``."""

    def __init__(self, directory: pathlib.Path, vms: list[Vm]) -> None:
        self.directory = directory
        self.vms = vms
        self.http = _http.Http()
        self.reader, self.control = free_port(), free_port()
        self.serials = itertools.count(1)
        self.private, self.public = bundles.new_key_pair()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.version = 1
        self.log = (directory / "log").open("ab")

    def spawn(self, program: str, *options: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [str(BIN / program), *options], stdout=self.log, stderr=self.log
        )
        self.processes.append(process)
        return process

    def start_platform(self) -> subprocess.Popen[bytes]:
        options = ["--listen", f"{HOST}:{self.reader}"]
        options += ["--control", f"{HOST}:{self.control}"]
        return self.spawn("sassafras-standin", "platform", *options)

    def start_upstream(self, vm: Vm, service_ms: int = 20) -> None:
        options = ["--listen", f"{HOST}:{vm.upstream}", "--service", "poster"]
        options += ["--slots", "20", "--service-ms", str(service_ms)]
        vm.served = self.spawn("sassafras-standin", "upstream", *options)

    def start_daemon(self, vm: Vm) -> None:
        public = base64.b64encode(self.public).decode()
        seeds = [f"{HOST}:{one.peer or one.listen}" for one in self.vms]
        peers = {"listen": f"{HOST}:{vm.listen}", "seeds": seeds}
        if vm.peer:
            peers["advertise"] = f"{HOST}:{vm.peer}"
        reader = vm.platform or self.reader
        settings = {
            "vm": vm.name,
            "service": "poster",
            "failure_domain": vm.domain,
            "region": "tt-north",
            "callers": {"listen": f"{HOST}:{vm.caller}"},
            "peers": peers,
            "operators": {"listen": f"{HOST}:{vm.operator}"},
            "upstream": {"url": f"http://{HOST}:{vm.upstream}"},
            "platform": {"urls": [f"http://{HOST}:{reader}"]},
            "keys": [{"name": "ops-1", "public": public}],
        }
        path = self.directory / f"{vm.name}.json"
        path.write_text(json.dumps(settings))
        vm.daemon = self.spawn("sassafrasstaird", "--settings", str(path))

    async def start(self) -> None:
        """Start what does not run; return once all daemons serve."""
        if not self.processes:
            self.start_platform()
            await self.until(self.publish_vms)
        await self.publish(self.version)
        for vm in self.vms:
            if vm.served is None:
                self.start_upstream(vm)
            if vm.daemon is None or vm.daemon.poll() is not None:
                self.start_daemon(vm)
        await self.all_serve(self.version)

    def close(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.log.close()

    async def ask(
        self, method: str, port: int, path: str, body: bytes | None = None
    ) -> bytes:
        """Return the answer's body, empty if there is none."""
        url = f"http://{HOST}:{port}{path}"
        try:
            answer = await self.http.request(method, url, {}, body, 2.0)
        except (_http.NotSent, _http.Lost):
            return b""
        return answer.body or b"{}"

    async def until(
        self, holds: abc.Callable[[], abc.Awaitable[typing.Any]]
    ) -> None:
        async with asyncio.timeout(UNTIL_SECONDS):
            while not await holds():
                await asyncio.sleep(0.02)

    async def publish_vms(self) -> bytes:
        entries = [
            {
                "vm": vm.name,
                "service": "poster",
                "failure_domain": vm.domain,
                "region": "tt-north",
                "address": f"{HOST}:{vm.peer or vm.listen}",
                "state": vm.state,
            }
            for vm in self.vms
        ]
        path = f"/keys/{configservice.VMS_KEY}"
        body = json.dumps(entries).encode()
        return await self.ask("PUT", self.control, path, body)

    async def publish(self, version: int, extra_classes: int = 0) -> None:
        """Publish a bundle, made larger by classes that nobody calls."""
        unused = {
            f"unused-{number}": CLASSES["lookup"]
            for number in range(extra_classes)
        }
        payload = {
            "format": 1,
            "mesh": "test",
            "version": version,
            "supersedes": version - 1,
            "failure_domains": dict.fromkeys(
                (vm.domain for vm in self.vms), "tt-north"
            ),
            "services": {"poster": {"slots": 20, "connections": 100}},
            "classes": CLASSES | unused,
            "tenants": {"t": {}},
        }
        envelope = bundles.approve(
            json.dumps(payload).encode(), self.private, "ops-1"
        )
        path = f"/keys/{configservice.BUNDLE_IN_FORCE_KEY}"
        assert await self.ask("PUT", self.control, path, envelope)

    async def status(self, vm: Vm) -> dict[str, typing.Any]:
        body = await self.ask("GET", vm.operator, "/status") or b"{}"
        status: dict[str, typing.Any] = json.loads(body)
        return status

    async def held(self, vm: Vm) -> int:
        """Return the version in force at a daemon, 0 if it serves not."""
        status = await self.status(vm)
        if status.get("state") != "serving":
            return 0
        return int(status["in_force"]["bundle"]["version"])

    async def all_serve(self, version: int) -> None:
        """Return once all have the version in force and see all members."""

        async def holds() -> bool:
            for vm in self.vms:
                members = (await self.status(vm)).get("members", 0)
                if members != len(self.vms) or await self.held(vm) != version:
                    return False
            return True

        await self.until(holds)

    async def all_ran(self) -> collections.Counter[str]:
        """Return how often the upstreams together began each work."""
        counts: collections.Counter[str] = collections.Counter()
        for vm in self.vms:
            body = await self.ask("GET", vm.upstream, "/ran")
            counts.update(json.loads(body)["nonces"])
        return counts

    async def ran(self, nonce: str) -> int:
        return (await self.all_ran())[nonce]

    async def started(self, nonce: str, call: asyncio.Task[Told]) -> None:
        """Return once an upstream has begun the work of the call."""

        async def holds() -> bool:
            assert not call.done(), call.result()
            return await self.ran(nonce) > 0

        await self.until(holds)

    async def slow(self, vm: Vm, service_ms: int) -> None:
        body = json.dumps({"service_ms": service_ms}).encode()
        assert await self.ask("PUT", vm.upstream, "/behaviour", body)

    async def any_ticket(self, entrance: Vm) -> str:
        """Return a ticket, empty if none was issued."""
        url = f"http://{HOST}:{entrance.caller}/v1/ticket/poster"
        try:
            answer = await self.http.post(url, _who("binding"), b"", 2.0)
        except (_http.NotSent, _http.Lost):
            return ""
        return str(json.loads(answer.body).get("ticket", ""))

    async def ticket(self, owner: Vm) -> str:
        """Return a ticket of ``owner``: it prefers its own instance."""
        ticket = await self.any_ticket(owner)
        assert ticket.startswith(owner.name + "~")
        return ticket

    def nonce(self) -> str:
        return f"{next(self.serials):032x}"

    async def call(
        self,
        entrance: Vm,
        nonce: str,
        ticket: str = "",
        repeat: int = 0,
        timeout_ms: int = 5_000,
    ) -> Told:
        """Call through ``entrance``; with a ticket it is a binding."""
        headers = _who("binding" if ticket else "lookup")
        headers["Sassafras-Repeat"] = str(repeat)
        headers["Sassafras-Timeout-Ms"] = str(timeout_ms)
        if ticket:
            headers["Sassafras-Ticket"] = ticket
        body = nonce.encode()
        url = f"http://{HOST}:{entrance.caller}/v1/call/poster/work"
        try:
            answer = await self.http.post(
                url, headers, body, timeout_ms / 1000 + 2
            )
        except _http.NotSent:
            return Told(0, "not-run", "not_sent")
        except _http.Lost as error:
            return Told(0, "lost", str(error))
        if answer.status == 200:
            assert _answers.decode(answer.body, nonce, body) is not None
        told = answer.headers
        return Told(
            answer.status,
            told["sassafras-outcome"],
            told.get("sassafras-reason", ""),
        )


def _who(request_class: str) -> dict[str, str]:
    return {
        "Sassafras-Class": request_class,
        "Sassafras-Tenant": "t",
        "Sassafras-Caller": "c",
    }


def run(
    mesh: Mesh,
    story: Story,
    first: abc.Callable[[], abc.Awaitable[None]] | None = None,
) -> None:
    """Do what comes first, start what does not run, run the story on it."""

    async def whole() -> None:
        mesh.http = _http.Http()
        try:
            if first is not None:
                await first()
            await mesh.start()
            await story(mesh)
        except BaseException:
            sys.stderr.write((mesh.directory / "log").read_text()[-20_000:])
            raise
        finally:
            await mesh.http.close()

    asyncio.run(whole())


@contextlib.contextmanager
def of(directory: pathlib.Path, *vms: Vm) -> abc.Iterator[Mesh]:
    """Give a mesh that starts nothing yet; end all of it afterwards."""
    mesh = Mesh(directory, list(vms))
    try:
        yield mesh
    finally:
        mesh.close()
