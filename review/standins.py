"""Stand-ins for the scripts of the review: store, instances and clients.

They speak what PROTOCOL.md says, on loopback addresses, and use the standard
library only. A ``Fleet`` starts daemons with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random as _random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = b"review.example"
_serial = itertools.count(1)
random = _random.SystemRandom()


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Note a line and print it."""
        self.note(text)
        print(text, flush=True)


class Message:
    """One request or answer: the first line, the fields and the body."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.line, self.fields, self.body = line, fields, body

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length or in chunks; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields: dict[str, str] = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif length := int(fields.get("content-length", "0")):
        body = await reader.readexactly(length)
    return Message(lines[0], fields, body)


def answer(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's metadata store, for reading."""

    PAGE = 500

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.revision = 100
        self.calls = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def open(self, host: str, port: int) -> None:
        self._servers.append(
            await asyncio.start_server(self._serve, host, port)
        )

    def put(self, key: str, value: bytes | dict[str, object]) -> int:
        """Write an item and return its revision: the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def _note(self, event: dict[str, object]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (asked := await read_message(reader)) is not None:
                self.calls += 1
                status, told = await self._answer(asked.line.split(" ")[1])
                fields = {"Content-Type": "application/json"}
                writer.write(answer(status, fields, json.dumps(told).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/kv-key":
            item = self.items.get(asked["key"])
            if item is None:
                return 404, {}
            return 200, item | {"store_revision": self.revision}
        prefix = asked.get("prefix", "")
        if path == "/-/kv-range":
            after = asked.get("after", "")
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            page = [self.items[key] for key in keys[: self.PAGE]]
            return 200, {
                "items": page,
                "has_more": len(keys) > self.PAGE,
                "store_revision": self.revision,
            }
        if path != "/-/kv-watch":
            return 404, {}
        since = int(asked["after"])
        until = time.monotonic() + int(asked["wait_ms"]) / 1000.0
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > since
                and str(event["key"]).startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0.0:
                return 200, {"events": found, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Link:
    """A link to the store that can be cut: silent both ways, no reset."""

    def __init__(self, host: str, port: int, to: tuple[str, int]) -> None:
        self.host, self.port, self.to = host, port, to
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.to)
            await asyncio.gather(
                self._pass(reader, far_writer), self._pass(far_reader, writer)
            )
        writer.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class Cut:
    """The machine that is cut off from all others, if one is."""

    def __init__(self) -> None:
        self.pid = 0
        self.healed = asyncio.Event()
        self._ports: set[int] = set()

    def begin(self, pid: int) -> None:
        self.pid = pid
        self.healed.clear()
        self._ports = _local_ports(pid)

    def end(self) -> None:
        self.pid = 0
        self.healed.set()

    async def allow(self, target: int, port: int, new: bool = False) -> None:
        """Wait while a connection from a local port to a process is cut."""
        if new and self.pid and port not in self._ports:
            self._ports = _local_ports(self.pid)
        while self.pid and (self.pid == target or port in self._ports):
            await self.healed.wait()


def _local_ports(pid: int) -> set[int]:
    """Return the local ports of a process that this script started."""
    inodes = set()
    for each in os.scandir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(each.path))
    ports = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if f"socket:[{columns[9]}]" in inodes:
            ports.add(int(columns[1].rpartition(":")[2], 16))
    return ports


class PeerLink:
    """The way to one daemon; silent, without a reset, where it is cut."""

    def __init__(self, host: str, to: tuple[str, int], cut: Cut) -> None:
        self.host, self.to, self.cut = host, to, cut
        self.pid = 0

    async def open(self) -> None:
        await asyncio.start_server(self._serve, self.host, self.to[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("peername")[1]
        with contextlib.suppress(OSError):
            await self.cut.allow(self.pid, port, new=True)
            far_reader, far_writer = await asyncio.open_connection(*self.to)
            await asyncio.gather(
                self._pass(reader, far_writer, port),
                self._pass(far_reader, writer, port),
            )
        writer.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self.cut.allow(self.pid, port)
                writer.write(data)
                await writer.drain()
        writer.close()


class Instance:
    """One application instance. It notes what arrives and what it runs."""

    def __init__(
        self,
        record: Record,
        service: str,
        slots: int = 32,
        work: float = 0.02,
    ) -> None:
        self.record, self.service, self.slots = record, service, slots
        self.work = work
        self.id = f"i-{random.getrandbits(32):08x}"
        self.running = 0
        self.runs: list[tuple[float, Message]] = []
        """When each request reached the instance and was run."""
        self.answer_bytes = 500
        self.read_delay = 0.0
        """Pause after each 64 KiB of a request, as a slow reader makes."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 17
        )

    @property
    def keys(self) -> list[str]:
        """The ids of the requests that it ran."""
        return [
            request.fields.get("sassafrasstair-request-id", "")
            for _, request in self.runs
        ]

    def end(self) -> None:
        """End as a process does: its connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await self._read(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Message | None:
        if not self.read_delay:
            return await read_message(reader)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return None
        empty = asyncio.StreamReader()
        empty.feed_data(head.replace(b"Content-Length", b"Old-Length"))
        message = await read_message(empty)
        assert message is not None
        left = int(message.fields.get("old-length", "0"))
        while left:
            data = await reader.read(min(left, 65_536))
            if not data:
                return None
            left -= len(data)
            await asyncio.sleep(self.read_delay)
        return message

    async def _handle(self, request: Message) -> bytes:
        fields = request.fields
        key = fields.get("sassafrasstair-request-id", "")
        if request.line.startswith("GET /healthz "):
            return answer(200, {"Sassafrasstair-Instance-Id": self.id})
        if fields.get("sassafrasstair-target-instance") != self.id:
            return answer(421, {"Sassafrasstair-Instance-Id": self.id})
        echo = {"Sassafrasstair-Request-Id": key}
        if self.running >= self.slots:
            return answer(503, echo | {"Sassafrasstair-Not-Executed": "1"})
        self.running += 1
        self.runs.append((time.monotonic(), request))
        self.record.note(
            f"runs {key} at {self.service}/{self.id}: {request.line}"
        )
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        signature = f"{key}.{self.answer_bytes}"
        return answer(
            200,
            echo | {"Sassafrasstair-Response-Signature": signature},
            b"x" * self.answer_bytes,
        )


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Answered:
    """What a client got: the status (0 for none) and the answer."""

    def __init__(
        self, key: str, sent_at: float, message: Message | None = None
    ) -> None:
        self.key, self.sent_at, self.message = key, sent_at, message
        self.status = 0 if message is None else message.status


async def send(
    record: Record,
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b"",
    deadline_ms: int = 5000,
    fields: dict[str, str] | None = None,
    kept: list[Stream] | None = None,
) -> Answered:
    """Send one request and return its answer.

    ``kept`` are idle connections of the client; without, a new one is opened
    and closed.
    """
    key = f"{next(_serial):08x}{random.getrandbits(32):08x}"
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST.decode()}",
        f"Sassafrasstair-Request-Id: {key}",
        f"Sassafrasstair-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in (fields or {}).items()),
        *([f"Content-Length: {len(body)}"] if body else []),
    ]
    head = "\r\n".join([*lines, "", ""]).encode()
    record.note(f"sends {key} {method} {target} to {address[0]}")
    sent_at, message = time.monotonic(), None
    try:
        if kept:
            reader, writer = kept.pop()
        else:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*address), 1.0
            )
    except (OSError, TimeoutError):
        record.note(f"answer {key} none: no connection")
        return Answered(key, sent_at)
    try:
        writer.write(head + body)
        message = await asyncio.wait_for(
            read_message(reader), deadline_ms / 1000.0 + 1.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    closes = message is None or "connection" in message.fields
    if kept is None or closes:
        writer.close()
    else:
        kept.append((reader, writer))
    answered = Answered(key, sent_at, message)
    record.note(f"answer {key} {answered.status or 'none'}")
    return answered


class Daemon:
    """A daemon process with the instance beside it."""

    def __init__(self, name: str, host: str, zone: str, told: str) -> None:
        self.name, self.host, self.zone, self.told = name, host, zone, told
        self.process: subprocess.Popen[bytes] | None = None
        self.link: Link | None = None
        self.peer_link: PeerLink | None = None
        self.instance: Instance | None = None
        self.boot = pathlib.Path()
        self.log = pathlib.Path()

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid


class Fleet:
    """A store, daemons and instances on addresses of their own."""

    def __init__(self, record: Record, memory_mb: int = 300) -> None:
        self.record, self.memory_mb = record, memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        base = random.randrange(20_000, 30_000)
        self.outbound, self.inbound, self.ready, self.app, self.store_port = (
            range(base, base + 5)
        )
        self.store = Store(record)
        self.store_host = f"{self.net}.0.1"
        self.daemons: list[Daemon] = []
        self.cut = Cut()
        self.zones: list[str] = []
        self.bounds = (
            "seed_lag_s=3,reuse_after_s=2,stable_ms=3000,ack_ms=4000,"
            "catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,"
            "propagation_ms=2000,downgrade_ms=250,skew_max_ms=5000,"
            "retry_budget_ratio=0.2,budget_window_s=10,budget_slack=48,"
            "recover_s=15"
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["forwarder"]["run"].split()

    def add(
        self, zone: str, service: str, linked: bool = False, **options: object
    ) -> Daemon:
        """Add a machine; if ``linked``, others reach it over a link."""
        number = len(self.daemons) + 2
        host = f"{self.net}.1.{number}"
        told = f"{self.net}.2.{number}" if linked else host
        daemon = Daemon(f"sidecar-{zone}-{number}", host, zone, told)
        if linked:
            daemon.peer_link = PeerLink(told, (host, self.inbound), self.cut)
        daemon.instance = Instance(self.record, service, **options)
        daemon.boot = self.folder / f"{daemon.name}.conf"
        daemon.log = self.folder / f"{daemon.name}.log"
        daemon.link = Link(
            f"{self.net}.3.{number}",
            self.store_port,
            (self.store_host, self.store_port),
        )
        self.daemons.append(daemon)
        if zone not in self.zones:
            self.zones.append(zone)
        return daemon

    def entry(self, daemon: Daemon, **changes: object) -> dict[str, object]:
        assert daemon.instance is not None
        return {
            "service": daemon.instance.service,
            "address": f"{daemon.told}:{self.app}",
            "zone": daemon.zone,
            "version": "v1",
            "slots": daemon.instance.slots,
            "state": "ready",
            "warmup_ms": 0,
            "seq": next(_serial),
        } | changes

    def register(self, daemon: Daemon, **changes: object) -> None:
        assert daemon.instance is not None
        key = f"servers/{daemon.instance.id}"
        self.store.put(key, self.entry(daemon, **changes))

    def start(self, daemon: Daemon) -> None:
        """Write the settings and start the process."""
        assert daemon.instance is not None and daemon.link is not None
        values = {
            "node_id": daemon.name,
            "role": "forwarder",
            "machine_class": "sidecar",
            "serves": "sidecar,control_plane",
            "ip": daemon.told,
            "zone": daemon.zone,
            "region": "r",
            **{f"zones.{zone}": "r" for zone in self.zones},
            "listen.inbound": f"{daemon.host}:{self.inbound}",
            "listen.outbound": f"{daemon.host}:{self.outbound}",
            "listen.readiness": f"{daemon.host}:{self.ready}",
            "seeds": "",
            "first_start": "true",
            "limits.memory_mb": self.memory_mb,
            "limits.max_fds": 4100,
            "heartbeat_ms": 1500,
            "bounds": self.bounds,
            "app_addr": f"{daemon.host}:{self.app}",
            "service": daemon.instance.service,
            "platform.address": f"{daemon.link.host}:{daemon.link.port}",
            "platform.form": "read",
            "platform.reads_per_s": 2000,
            "platform.history_s": 20,
        }
        daemon.boot.write_text(
            "".join(f"{key}={value}\n" for key, value in values.items())
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SASSAFRASSTAIR_BOOT"] = str(daemon.boot)
        with daemon.log.open("ab") as log:
            daemon.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        if daemon.peer_link is not None:
            daemon.peer_link.pid = daemon.pid
        self.record.note(f"starts {daemon.name} {daemon.host}")

    async def open(self, config: dict[str, object]) -> None:
        """Start everything; raises ``RuntimeError`` if not all get ready."""
        await self.store.open(self.store_host, self.store_port)
        self.store.put("op/config", config)
        for daemon in self.daemons:
            assert daemon.instance is not None
            assert daemon.link is not None
            await daemon.link.open()
            if daemon.peer_link is not None:
                await daemon.peer_link.open()
            await daemon.instance.open(daemon.host, self.app)
            self.register(daemon)
            self.start(daemon)
        for daemon in self.daemons:
            if not await self.wait_ready(daemon):
                raise RuntimeError(f"{daemon.name} is not ready")

    async def is_ready(self, daemon: Daemon) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            status, _ = await self.page(daemon, "/-/readyz")
            return status == 200
        return False

    async def wait_ready(self, daemon: Daemon, seconds: float = 20.0) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready(daemon):
                return True
            await asyncio.sleep(0.1)
        return False

    async def page(self, daemon: Daemon, path: str) -> tuple[int, bytes]:
        """Get a page of the readiness address."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(daemon.host, self.ready), 1.0
        )
        writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        try:
            told = await asyncio.wait_for(read_message(reader), 1.0)
        finally:
            writer.close()
        return (0, b"") if told is None else (told.status, told.body)

    def cut_off(self, daemon: Daemon) -> None:
        """Cut a machine off from the store and from all other machines."""
        assert daemon.link is not None
        daemon.link.cut()
        self.cut.begin(daemon.pid)

    def join(self, daemon: Daemon) -> None:
        """End the cut of a machine."""
        assert daemon.link is not None
        daemon.link.heal()
        self.cut.end()

    def clients_at(self, daemon: Daemon) -> tuple[str, int]:
        """Return the address to which a machine's clients send."""
        return daemon.host, self.outbound

    def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            process = daemon.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_net() -> str:
    """Return the first half of addresses on which nothing listens."""
    while True:
        net = f"127.{random.randrange(20, 220)}"
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((f"{net}.0.1", random.randrange(30_000, 32_000)))
                return net


def trouble() -> bool:
    """Return whether the script brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    script: typing.Coroutine[object, object, int], seconds: float = 115.0
) -> None:
    """Run a script and exit: 1 broken, 0 held, 2 it couldn't run."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    # Connections of stand-ins end with the script, which is no error.
    loop.set_exception_handler(lambda loop, context: None)
    task = loop.create_task(asyncio.wait_for(script, seconds))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", flush=True)
        code = 2
    sys.stdout.flush()
    os._exit(code)
