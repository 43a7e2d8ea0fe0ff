"""VMs of a soak: a daemon process, an upstream, a client and a link each."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import typing

from tests.platform.soak import clients
from tests.platform.soak import customers as customers_module
from tests.platform.soak import disruptions
from tests.platform.soak import drains
from tests.platform.soak import oracle as oracle_module
from tests.platform.soak import records
from tests.platform.soak import relays
from tests.platform.soak import store as store_module
from tests.platform.soak import upstreams

if typing.TYPE_CHECKING:
    import pathlib
    import random

OUTBOUND, INBOUND, READY, APP, STORE = 18304, 18300, 18302, 18301, 18309
NETS = range(20, 220)
GRACE = 3.0
TIMEOUTS_MS = (1200, 1500)
IDLE_TIMEOUTS_MS = (10_000, 12_000)
"""Clients use connections again that were idle for up to 0.8 of them."""
HEADER_TIMEOUTS_MS = (4_000, 5_000)
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = (1 << 20, 1 << 21)
RETRY_RATIOS = (0.12, 0.2)
LAPSE_SECONDS = 2.5
"""From the return of a crashed instance until its entry before is gone."""
QUESTION_SECONDS = 0.5
STOP_SLACK = 2.0
"""Seconds beside the grace for a process to start and end in, on a machine
that is busy with the other processes."""
CODE_VARIABLE = "SOAK_CODE"
"""Names a folder with the sources of another version of the daemon."""
_seq = itertools.count(1)
SERVICES = ("front", "front", "deep", "deep", "deep", "edge")
"""By VM. ``front`` calls ``deep``; ``edge`` has clients only."""
ROUTES = {"front": "front", "deep": "deep", "once": "deep", "long": "deep"}
"""Services by route."""
IDEMPOTENT_ROUTES = frozenset({"deep", "long"})
LONG_TIMEOUT_MS = 5_000
"""Of requests that outlast the time within which clients leave a daemon."""


@dataclasses.dataclass
class Vm:
    """One VM; ``host`` is its own address, ``link.host`` the told one."""

    name: str
    host: str
    link: relays.Link
    upstream: upstreams.Upstream
    client: clients.Client
    boot: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    busy: bool = False
    registered: str = ""

    @property
    def entry(self) -> dict[str, object]:
        """What the instance writes in the store."""
        return {
            "service": self.upstream.service,
            "address": f"{self.link.host}:{APP}",
            "zone": "z",
            "version": "v1",
            "slots": upstreams.SLOTS,
            "state": "ready",
            "warmup_ms": 0,
            "seq": next(_seq),
            "born": self.upstream.born,
        }


class Fleet:
    """All VMs and the store, on loopback addresses of this process.

    There are ``copies`` VMs of each of ``services``. ``routes`` are the
    services by route. The daemons run the code below ``CODE_VARIABLE``, if
    that is set, or else this one.
    """

    services: tuple[str, ...] = SERVICES
    idle_timeouts_ms: tuple[int, ...] = IDLE_TIMEOUTS_MS
    max_body_bytes: tuple[int, ...] = MAX_BODY_BYTES

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        copies: int = 1,
        grace: float = GRACE,
    ) -> None:
        self.rng = rng
        self.grace = grace
        self.timeline = records.Timeline(folder)
        self.timeline.note(f"grace {grace} s")
        self.customers = customers_module.Customers(rng)
        self.oracle = oracle_module.Oracle(
            {name: {service} for name, service in self.routes.items()},
            self.customers,
            self.timeline.note,
        )
        self.store = store_module.Store(
            self.timeline.note, self.oracle.disruptions
        )
        self.store.changed = self._note_server
        self.faults: list[str] = []
        self._timers: asyncio.Future[None] | None = None
        self.crashed = 0
        self._returns: set[asyncio.Task[None]] = set()
        net, self._claim = _claim_net()
        self.store_host = f"{net}.0.1"
        self.vms = [
            self._vm(folder, net, index, service)
            for index, service in enumerate(self.services * copies, 2)
        ]
        self.version = 0
        self.idle_seconds = 0.0
        """Idle time-out of clients' connections in the newest policy."""

    @property
    def routes(self) -> dict[str, str]:
        """The services by route."""
        return ROUTES

    def _vm(
        self, folder: pathlib.Path, net: str, index: int, service: str
    ) -> Vm:
        host = f"{net}.1.{index}"
        client = clients.Client(self.oracle, host, OUTBOUND, service, self.rng)
        upstream = self._upstream(host, service, client)
        link = relays.Link(f"{net}.2.{index}", host, INBOUND)
        name = f"vm-{index}"
        made = Vm(
            name,
            host,
            link,
            upstream,
            client,
            folder / f"{name}.conf",
            folder / f"{name}.log",
        )
        upstream.crashed = functools.partial(self._crashed, made)
        return made

    def _upstream(
        self, host: str, service: str, client: clients.Client
    ) -> upstreams.Upstream:
        """Return the instance of a VM, which makes calls as ``client``."""

        async def call(left: float) -> bool:
            calls = [client.call("deep", True, left) for _ in range(2)]
            return await clients.all_ok(calls)

        return upstreams.Upstream(
            service,
            self.oracle,
            self.rng,
            call if service == "front" else None,
        )

    def _crashed(self, vm: Vm) -> None:
        """Bring a crashed instance back, under its new id."""
        self.timeline.note(f"crashed {vm.name} {vm.registered}")
        self.crashed += 1
        task = asyncio.ensure_future(self._bring_back(vm, vm.registered))
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def _bring_back(self, vm: Vm, before: str) -> None:
        kind = disruptions.Kind.INSTANCE
        with self.oracle.disruptions.disrupted(vm.host, kind):
            await vm.upstream.restart()
        self.timeline.note(f"returned {vm.name} {vm.upstream.id}")
        self.register(vm)
        await asyncio.sleep(LAPSE_SECONDS)
        if before != vm.registered:
            self.store.remove(f"servers/{before}")

    async def watcher(self) -> Vm | None:
        """Return the VM whose daemon reads the store, None if none does."""
        for vm in self.vms:
            told = await self.feed_status(vm)
            if told is not None and told["parent"] == "store":
                return vm
        return None

    async def feed_status(self, vm: Vm) -> dict[str, typing.Any] | None:
        """Return what the VM's daemon tells of its feed, None if nothing."""
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            reader, writer = await asyncio.open_connection(vm.host, READY)
            writer.write(b"GET /feed HTTP/1.1\r\nHost: a\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(65_536), 0.5)
            writer.close()
            found = json.loads(answer.partition(b"\r\n\r\n")[2])
            return typing.cast("dict[str, typing.Any]", found)
        return None

    async def open(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self._timers = asyncio.ensure_future(
            self.timeline.watch_timers(self._note_link_wait)
        )
        await self.store.open(self.store_host, STORE)
        now = asyncio.get_running_loop().time()
        for _ in range(customers_module.KEYS_EACH):
            self.customers.add(customers_module.FREE, now)
            self.customers.add(customers_module.LIMITED, now)
        self.configure()
        for vm in self.vms:
            await vm.link.open()
            await vm.upstream.open(vm.host, APP)
            self.register(vm)
            self.write_settings(vm)
            self.start(vm)
        for vm in self.vms:
            await self.ready(vm)

    def _note_link_wait(self, seconds: float) -> None:
        """Note that this process, which is all links, stood still."""
        hosts = [vm.host for vm in self.vms]
        self.oracle.disruptions.note_link_wait(hosts, seconds)

    def note_fault(self, fault: str) -> None:
        """Note a fault that begins now."""
        self.faults.append(fault)
        self.timeline.note(f"fault {fault}")

    def configure(self) -> None:
        """Write the next version of the policy."""
        self.version += self.rng.randint(1, 3)
        keys = [key.text for key in self.customers.valid()]
        self.timeline.note(f"policy {self.version} {keys}")
        self.customers.rate = self.rng.choice(customers_module.RATES)
        routes = self._policies()
        self.oracle.losses.configured(
            {
                name: typing.cast("int", route["timeout_ms"]) / 1000.0
                for name, route in routes.items()
            }
        )
        limits = {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": self.rng.choice(self.max_body_bytes),
            "header_timeout_ms": self.rng.choice(HEADER_TIMEOUTS_MS),
            "idle_timeout_ms": self.rng.choice(self.idle_timeouts_ms),
        }
        self.idle_seconds = limits["idle_timeout_ms"] / 1000.0
        self.store.put(
            "op/config",
            {
                "version": f"r{self.version}",
                "routes": routes,
                "tenants": self.customers.policy(),
                "limits": limits,
            },
        )

    def _policies(self) -> dict[str, dict[str, object]]:
        """Return the policy's routes, some of them drawn."""
        timeout_ms = self.rng.choice(TIMEOUTS_MS)
        timeouts = dict.fromkeys(self.routes, timeout_ms)
        timeouts["long"] = LONG_TIMEOUT_MS
        return {
            name: route_policy(
                name,
                service,
                name in IDEMPOTENT_ROUTES,
                timeouts[name],
                LONG_TIMEOUT_MS if name == "long" else 400,
            )
            for name, service in self.routes.items()
        }

    def _note_server(self, key: str, state: str) -> None:
        """Note whether the store knows that an instance leaves."""
        prefix, _, instance = key.partition("/")
        if prefix != "servers":
            return
        self.timeline.note(f"instance {instance} {state or 'removed'}")
        if state == "ready":
            self.oracle.drains.returns(instance)
        else:
            self.oracle.drains.leaves(instance)

    def register(self, vm: Vm, state: str = "ready") -> None:
        """Write the entry of the VM's instance."""
        if vm.upstream.service != "edge":
            entry = vm.entry | {"state": state}
            vm.registered = vm.upstream.id
            self.store.put(f"servers/{vm.upstream.id}", entry)

    def write_settings(self, vm: Vm) -> None:
        """Write the daemon's settings, some of them drawn."""
        values = {
            "node_id": vm.name,
            "ip": vm.link.host,
            "zone": "z",
            "zones.z": "r",
            "service": vm.upstream.service,
            "app_addr": f"{vm.host}:{APP}",
            "listen.outbound": f"{vm.host}:{OUTBOUND}",
            "listen.inbound": f"{vm.host}:{INBOUND}",
            "listen.readiness": f"{vm.host}:{READY}",
            "platform.address": f"{self.store_host}:{STORE}",
            "bounds": (
                f"grace_s={self.grace},drain_ms=2000,revoke_strict=true,"
                f"revoke_ms={customers_module.REVOKE_SECONDS * 1000:.0f},"
                f"quota_window_s={customers_module.WINDOW_SECONDS},"
                f"quota_over={customers_module.OVER},"
                f"quota_slack={customers_module.SLACK},"
                f"retry_budget_ratio={self.rng.uniform(*RETRY_RATIOS):.4f}"
            ),
        }
        written = vm.boot.with_suffix(".new")
        written.write_text(
            "".join(f"{key}={value}\n" for key, value in values.items())
        )
        written.replace(vm.boot)

    def start(self, vm: Vm) -> None:
        """Start the VM's daemon."""
        code = os.environ.get(CODE_VARIABLE, "").split()
        environment = {
            "PATH": os.environ["PATH"],
            "SASSAFRASSTAIR_BOOT": str(vm.boot),
            "PYTHONPATH": os.pathsep.join([*code, *sys.path]),
        }
        self.timeline.note(f"started {vm.name}")
        self.oracle.disruptions.note(vm.host, disruptions.Kind.PLANNED)
        with vm.log.open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, "-m", "sassafrasstair.console.forwarder"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def ready(self, vm: Vm, seconds: float = 20.0) -> bool:
        """Wait until the daemon says that it is ready."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if await self._says_ready(vm):
                return True
            await asyncio.sleep(0.05)
        return False

    async def _says_ready(self, vm: Vm) -> bool:
        try:
            reader, writer = await asyncio.open_connection(vm.host, READY)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def _stays_ready(self, vm: Vm) -> bool:
        """Return whether a daemon is not taken out in time after SIGTERM."""
        loop = asyncio.get_running_loop()
        until = loop.time() + drains.READY_SECONDS
        process = running(vm)
        unanswered = 0
        while loop.time() < until:
            unanswered = 0 if await self._says_ready(vm) else unanswered + 1
            if unanswered >= drains.QUESTIONS or process.poll() is not None:
                return False
            await asyncio.sleep(QUESTION_SECONDS)
        return process.poll() is None

    async def stop(self, vm: Vm) -> None:
        """Stop the daemon as planned; it must end by itself with 0."""
        process = running(vm)
        was_ready = await self._says_ready(vm)
        self.timeline.note(f"stops {vm.name}")
        self.oracle.losses.stops(vm.host, self.grace)
        process.send_signal(signal.SIGTERM)
        stays_ready = asyncio.ensure_future(self._stays_ready(vm))
        kind = disruptions.Kind.PLANNED
        with self.oracle.disruptions.disrupted(vm.host, kind):
            code = await ended(process, self.grace + STOP_SLACK)
        if code != 0:
            self.oracle.broken.append(f"STOP {vm.name}: code {code}")
        still_ready = await stays_ready
        if was_ready:
            self.oracle.drains.stopped(still_ready)
        self.oracle.notices.excuse(vm.host)

    async def kill(self, vm: Vm) -> None:
        """End the daemon at once."""
        process = running(vm)
        self.timeline.note(f"kills {vm.name}")
        kind = disruptions.Kind.PROCESS
        with self.oracle.disruptions.disrupted(vm.host, kind):
            process.kill()
            await ended(process, STOP_SLACK)
        self.oracle.notices.excuse(vm.host)

    def check_alive(self) -> None:
        """Note daemons that ended by themselves."""
        for vm in self.vms:
            if not vm.busy and running(vm).poll() is not None:
                code = running(vm).returncode
                self.oracle.broken.append(f"EXIT {vm.name}: code {code}")

    async def close(self) -> None:
        """End all daemons and stop all stand-ins."""
        if self._timers is not None:
            self._timers.cancel()
        for task in self._returns:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                await self.kill(vm)
            vm.link.close()
            vm.upstream.close()
        self.store.close()
        self._claim.close()
        await asyncio.sleep(0.05)


def route_policy(
    name: str,
    service: str,
    idempotent: bool,
    timeout_ms: int,
    objective_ms: int,
) -> dict[str, object]:
    """Return what the policy says of a route."""
    return {
        "host": clients.HOST.decode(),
        "prefix": f"/{name}/",
        "type": "safe" if idempotent else "unsafe",
        "timeout_ms": timeout_ms,
        "target_latency_ms": objective_ms,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        "allow_anonymous": name != clients.KEYED_ROUTE,
    }


def _claim_net() -> tuple[str, socket.socket]:
    """Return a loopback network that no other soak uses.

    It is claimed for as long as the socket is open.
    """
    first = os.getpid() % len(NETS)
    for number in (*NETS[first:], *NETS[:first]):
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.0.2", STORE))
        except OSError:
            claim.close()
            continue
        return f"127.{number}", claim
    raise RuntimeError("all loopback networks are in use")


def running(vm: Vm) -> subprocess.Popen[bytes]:
    """Return the VM's process, which has been started."""
    return typing.cast("subprocess.Popen[bytes]", vm.process)


async def ended(
    process: subprocess.Popen[bytes], seconds: float
) -> int | None:
    """Wait for the end of a process; None if it does not come."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while process.poll() is None and loop.time() < until:
        await asyncio.sleep(0.02)
    return process.poll()
