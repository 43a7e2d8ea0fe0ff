"""A small deployment of stand-ins around daemons of the deploy file.

The store and the links between daemons are the project's own stand-ins
(``tests.platform.soak``). Instances and clients are new ones: they speak what
PROTOCOL.md says, and note what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import typing

from tests.platform.soak import relays
from tests.platform.soak import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[1]
INBOUND, APP, READY, OUTBOUND, CONTROL, STORE = (
    8300, 8301, 8302, 8304, 8306, 8309,
)
HOST = "shop.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_SECONDS = 1.5
KEPT_SECONDS = 20.0
"""Clients use a connection again that was idle for less than that."""
SOCK_DIAG = 20
_serial = itertools.count(1)


class CouldNotRun(Exception):
    """The case could not run."""


def claim_net() -> tuple[str, list[socket.socket]]:
    """Return a loopback network that is free, and what keeps it claimed."""
    numbers = list(range(30, 230))
    random.shuffle(numbers)
    for number in numbers:
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.9.9", STORE))
        except OSError:
            claim.close()
            continue
        return f"127.{number}", [claim]
    raise CouldNotRun("no loopback network is free")


def inode_of(local: tuple[str, int], remote: tuple[str, int]) -> int:
    """Return the inode of the socket with these addresses, 0 if none has.

    The system is asked for this one socket (``sock_diag``): its whole table,
    which is read where that fails, can take long.
    """
    with contextlib.suppress(OSError):
        return _asked_inode(local, remote)
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        if parts[1] == _in_table(local) and parts[2] == _in_table(remote):
            return int(parts[9])
    return 0


def _in_table(address: tuple[str, int]) -> str:
    host = socket.inet_aton(address[0])
    return f"{int.from_bytes(host, sys.byteorder):08X}:{address[1]:04X}"


def _asked_inode(local: tuple[str, int], remote: tuple[str, int]) -> int:
    ends = struct.pack("!HH", local[1], remote[1])
    for host, _ in (local, remote):
        ends += socket.inet_aton(host) + bytes(12)
    ends += struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    asked = struct.pack(
        "=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF
    )
    body = asked + ends
    head = struct.pack("=IHHII", 16 + len(body), SOCK_DIAG, 1, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as diag:
        diag.settimeout(0.5)
        diag.send(head + body)
        told = diag.recv(4096)
    if struct.unpack("=H", told[4:6])[0] != SOCK_DIAG:
        return 0
    return int(struct.unpack("=I", told[84:88])[0])


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """End the file."""
        self._file.close()


class Link(relays.Link):
    """The link to one daemon, which knows from which daemon bytes come.

    ``is_cut`` tells by the sender's name whether nothing passes: neither
    bytes nor the end of a connection, as behind a partition.
    """

    def __init__(
        self,
        host: str,
        target: str,
        port: int,
        sender_of: typing.Callable[
            [tuple[str, int], tuple[str, int]], str
        ],
        is_cut: typing.Callable[[str], bool],
    ) -> None:
        super().__init__(host, target, port)
        self._sender_of = sender_of
        self._is_cut = is_cut

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sender = self._sender_of(
            writer.get_extra_info("peername"),
            writer.get_extra_info("sockname"),
        )
        if not sender:
            # It was closed before it could be looked up.
            writer.transport.abort()
            return
        self._writers.add(writer)
        far: typing.Any = None
        # The end of the case cancels what still waits.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far = await asyncio.open_connection(self._target, self._port)
            self._writers.add(far[1])
            await asyncio.gather(
                self._pass_on(reader, far[1], sender),
                self._pass_on(far[0], writer, sender),
            )
        for end in (writer, *([far[1]] if far else [])):
            end.transport.abort()
            self._writers.discard(end)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(relays.CHUNK):
                while self._is_cut(sender):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        while self._is_cut(sender):
            await asyncio.sleep(0.02)
        writer.close()


@dataclasses.dataclass
class Head:
    """A request or response that was read."""

    first: list[str]
    fields: dict[str, str]
    body: bytes = b""


async def read_message(
    reader: asyncio.StreamReader, is_answer: bool
) -> Head | None:
    """Return the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields.setdefault(name.strip().lower(), value.strip())
    found = Head(lines[0].split(" ", 2), fields)
    length = int(fields.get("content-length", "0"))
    if length:
        try:
            found.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return found


class Instance:
    """An instance with ``slots``: it runs requests for ``work`` seconds."""

    def __init__(self, vm: Vm, work: float, slots: int) -> None:
        self.vm = vm
        self.id = f"i-{next(_serial):04x}"
        self.born = time.time_ns() // 1_000_000
        self.work = work
        self.slots = slots
        self.at_work = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.vm.host, APP
        )

    def close(self) -> None:
        """Stop listening and cut all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader, False)) is not None:
                status, extra, body = await self.handle(request, reader)
                key = request.fields.get("sassafrasstair-request-id", "")
                lines = [
                    f"HTTP/1.1 {status} X",
                    f"Sassafrasstair-Request-Id: {key}",
                    f"Content-Length: {len(body)}",
                    *extra,
                ]
                writer.write(
                    ("\r\n".join(lines) + "\r\n\r\n").encode() + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The end of the case cancels what still waits.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def handle(
        self, request: Head, reader: asyncio.StreamReader
    ) -> tuple[int, list[str], bytes]:
        """Run a request; return the answer."""
        place = self.vm.place
        fields = request.fields
        key = fields.get("sassafrasstair-request-id", "")
        not_run = ["Sassafrasstair-Not-Executed: 1"]
        if fields.get("sassafrasstair-target-instance", self.id) != self.id:
            place.record.note(f"arrived {key} at {self.id}: 421")
            return 421, not_run, b""
        if self.at_work >= self.slots:
            place.record.note(f"arrived {key} at {self.id}: full")
            return 503, not_run, b""
        now = place.record.now()
        tenant = fields.get("sassafrasstair-tenant", "")
        place.record.note(f"run {key} at {self.id} tenant={tenant}")
        place.ran(key, tenant, self, now)
        self.at_work += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.at_work -= 1
        return 200, [f"Sassafrasstair-Response-Signature: s.{key}"], b"done"


@dataclasses.dataclass(eq=False)
class Vm:
    """A VM: its daemon, its instance and the link to its daemon."""

    place: Place
    name: str
    zone: str
    service: str
    host: str
    told: str
    folder: pathlib.Path
    instance: Instance = dataclasses.field(init=False)
    link: Link = dataclasses.field(init=False)
    process: subprocess.Popen[bytes] | None = None
    seq: int = 0
    is_listed: bool = True
    """Whether the instance writes its entry."""
    state: str = "ready"
    """What the instance says of itself there."""
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, float]] = (
        dataclasses.field(default_factory=list)
    )
    """Connections of clients that may be used again."""

    @property
    def boot(self) -> pathlib.Path:
        """The settings file."""
        return self.folder / f"{self.name}.conf"

    def write_settings(self) -> None:
        """Write the settings as DEPLOY.md shows them."""
        place = self.place
        lines = [
            f"node_id={self.name}",
            "role=forwarder",
            "machine_class=sidecar",
            "serves=sidecar,control_plane",
            f"ip={self.told}",
            f"zone={self.zone}",
            "region=r",
            *(f"zones.{zone}=r" for zone in place.zones),
            f"listen.inbound={self.host}:{INBOUND}",
            f"listen.outbound={self.host}:{OUTBOUND}",
            f"listen.readiness={self.host}:{READY}",
            f"listen.control={self.host}:{CONTROL}",
            "seeds=",
            "limits.cpu_share=0.86",
            "limits.cores=2",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "heartbeat_ms=1500",
            f"bounds={place.bounds}",
            f"app_addr={self.host}:{APP}",
            f"service={self.service}",
            f"platform.address={place.store_host}:{STORE}",
            "platform.form=read",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.value_bytes=1048576",
        ]
        written = self.boot.with_suffix(".new")
        written.write_text("\n".join(lines) + "\n")
        written.replace(self.boot)

    def start(self) -> None:
        """Start the daemon with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "SASSAFRASSTAIR_BOOT": str(self.boot),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self.place.record.note(f"start {self.name}")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "sassafrasstair.console.forwarder"],
                cwd=self.folder, env=environment, stdout=log, stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.place.record.note(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the daemon at once."""
        if self.process is not None and self.process.poll() is None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def register(self, state: str = "") -> None:
        """Write the instance's entry, with another state if one is given."""
        self.state = state or self.state
        self.seq += 1
        self.place.store.put(
            f"servers/{self.instance.id}",
            {
                "service": self.service, "address": f"{self.told}:{APP}",
                "zone": self.zone, "version": "v1",
                "slots": self.instance.slots, "state": self.state,
                "warmup_ms": 0, "seq": self.seq, "born": self.instance.born,
            },
        )

    async def says_ready(self) -> bool:
        """Ask the daemon as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, READY)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


@dataclasses.dataclass
class Sent:
    """A request as its client sent it."""

    key: str
    sent_at: float
    status: int = 0
    runs: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )
    """When it ran, the tenant that the instance was told, and where."""


class Place:
    """All VMs, the store, and what clients sent."""

    def __init__(
        self, folder: pathlib.Path, zones: typing.Sequence[str], bounds: str
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.zones = tuple(zones)
        self.bounds = bounds
        self.net, self._claims = claim_net()
        self.store_host = f"{self.net}.0.1"
        self.store = store_module.Store()
        self.vms: list[Vm] = []
        self.sent: dict[str, Sent] = {}
        self.cut: set[str] = set()
        """The zones that are cut off from all others."""
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self._beats: asyncio.Task[None] | None = None
        self.version = 0

    def add(
        self,
        zone: str,
        service: str,
        work: float = 0.02,
        slots: int = 64,
        linked: bool = False,
    ) -> Vm:
        """Add a VM; others reach a ``linked`` one by a link of its own."""
        number = len(self.vms) + 1
        host = f"{self.net}.1.{number}"
        told = f"{self.net}.2.{number}" if linked else host
        vm = Vm(
            self, f"vm-{number}", zone, service, host, told, self.folder
        )
        vm.instance = Instance(vm, work, slots)
        vm.link = Link(
            vm.told, vm.host, INBOUND, self._sender,
            lambda sender: self._is_cut(vm, sender),
        )
        self.vms.append(vm)
        return vm

    def _sender(self, peer: tuple[str, int], own: tuple[str, int]) -> str:
        """Return the VM whose daemon opened a connection, by its socket."""
        inode = inode_of(peer, own)
        for vm in self.vms:
            if vm.process is None:
                continue
            with contextlib.suppress(OSError):
                folder = f"/proc/{vm.process.pid}/fd"
                for name in os.listdir(folder):
                    with contextlib.suppress(OSError):
                        found = os.stat(f"{folder}/{name}")
                        if found.st_ino == inode:
                            return vm.name
        return ""

    def _is_cut(self, vm: Vm, sender: str) -> bool:
        zones = {vm.zone}
        zones |= {each.zone for each in self.vms if each.name == sender}
        return len(zones) > 1 and bool(zones & self.cut)

    def configure(
        self,
        routes: typing.Mapping[str, typing.Mapping[str, object]],
        tenants: typing.Mapping[str, object] | None = None,
    ) -> None:
        """Write the next configuration."""
        self.version += 2
        config: dict[str, object] = {
            "version": f"r{self.version}",
            "routes": dict(routes),
            "services": {vm.service: {} for vm in self.vms},
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }
        if tenants is not None:
            config["tenants"] = dict(tenants)
        self.record.note(f"configuration r{self.version}")
        self.store.put("op/config", config)

    async def open(self) -> None:
        """Start all, and wait until all daemons are ready."""
        await self.store.open(self.store_host, STORE)
        for vm in self.vms:
            if vm.told != vm.host:
                await vm.link.open()
            await vm.instance.open()
            vm.write_settings()
            vm.register()
        self._beats = asyncio.ensure_future(self._beat())
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await self.wait_ready(vm)

    async def wait_ready(self, vm: Vm, seconds: float = 20.0) -> None:
        """Wait until a daemon is ready; raises ``CouldNotRun``."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await vm.says_ready():
                self.record.note(f"ready {vm.name}")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{vm.name} is not ready")

    async def _beat(self) -> None:
        while True:
            for vm in list(self.vms):
                await asyncio.sleep(HEARTBEAT_SECONDS / len(self.vms))
                if vm.is_listed:
                    vm.register()

    def ran(
        self, key: str, tenant: str, instance: Instance, now: float
    ) -> None:
        """Note a run."""
        sent = self.sent.get(key)
        if sent is not None:
            sent.runs.append((now, tenant, instance.id))

    async def request(
        self,
        vm: Vm,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        fields: typing.Sequence[str] = (),
        deadline_ms: int = 5000,
    ) -> Sent:
        """Send one request on a new connection and await its answer."""
        key = f"q{next(_serial):06x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Sassafrasstair-Request-Id: {key}",
            f"Sassafrasstair-Deadline-Ms: {deadline_ms}",
            *fields,
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        sent = self.sent[key] = Sent(key, self.record.now())
        self.record.note(f"sent {key} to {vm.name} {method} {path}")
        answer = None
        try:
            reader, writer = await self._connect(vm)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer = await asyncio.wait_for(
                read_message(reader, True), deadline_ms / 1000 + 1.0
            )
        except (OSError, TimeoutError) as error:
            self.record.note(f"unanswered {key} {type(error).__name__}")
            return sent
        if answer is None:
            writer.transport.abort()
        else:
            sent.status = int(answer.first[1])
            if answer.fields.get("connection", "").lower() == "close":
                writer.close()
            else:
                vm.idle.append((reader, writer, time.monotonic()))
        self.record.note(f"answered {key} {sent.status}")
        return sent

    async def _connect(
        self, vm: Vm
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a kept connection to the VM's daemon, or a new one."""
        while vm.idle:
            reader, writer, since = vm.idle.pop()
            is_open = not reader.at_eof() and not writer.is_closing()
            if is_open and time.monotonic() - since < KEPT_SECONDS:
                return reader, writer
            writer.transport.abort()
        return await asyncio.open_connection(vm.host, OUTBOUND)

    async def close(self) -> None:
        """End all that was started."""
        if self._beats is not None:
            self._beats.cancel()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
            vm.kill()
            vm.link.close()
            vm.instance.close()
        self.store.close()
        for claim in self._claims:
            claim.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS", "")
        if keep:
            for vm in self.vms:
                log = self.folder / f"{vm.name}.log"
                pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def with_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    case: typing.Callable[[Place], typing.Coroutine[typing.Any, typing.Any, bool]],
    make: typing.Callable[[], Place],
) -> None:
    """Run a case; it returns whether the rule held."""

    async def run() -> int:
        place = make()
        try:
            held = await asyncio.wait_for(case(place), 112.0)
        except CouldNotRun as error:
            place.record.note(f"could not run: {error}")
            print(f"could not run: {error}")
            return COULD_NOT_RUN
        except TimeoutError:
            print("could not run: it took too long")
            return COULD_NOT_RUN
        finally:
            await place.close()
        return HELD if held else BROKEN

    try:
        code = asyncio.run(run())
    except (CouldNotRun, OSError) as error:
        print(f"could not run: {error}")
        code = COULD_NOT_RUN
    sys.exit(code)
