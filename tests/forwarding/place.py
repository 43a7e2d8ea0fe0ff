"""A test cluster in one event loop: daemons, a store, upstreams and clients.

Each host is an address of the loopback network. The behaviour of an upstream
is set by a test's script.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from sassafrasstair import clocks
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.forwarding import _daemon
from sassafrasstair.forwarding import _events
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _stops
from tests.forwarding import stores
from tests import loopback

if typing.TYPE_CHECKING:
    from collections import abc

NAMES = forwarding.HeaderNames(
    request_id=b"X-Request",
    deadline_ms=b"X-Deadline-Ms",
    target=b"X-Target",
    caller=b"X-Caller",
    signature=b"X-Signature",
    not_run=b"X-Not-Run",
    key=b"X-Key",
    customer=b"X-Customer",
    rate_limit=b"X-Limit",
    leaving=b"X-Leaving",
)
HOSTS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
LIMITS = policies.ClientLimits(4096, 1_000_000, 2.0, 10.0)
GRACE = 2.0


def route(
    prefix: str,
    service: str,
    idempotent: bool = True,
    timeout: float = 2.0,
    attempts_max: int = 2,
    objective: float = 0.0,
) -> policies.Route:
    """Return a route of ``a.example`` to one service."""
    share = policies.Share(service, 1.0)
    return policies.Route(
        prefix.strip("/"),
        "a.example",
        prefix,
        idempotent,
        timeout,
        objective or timeout / 2,
        5,
        attempts_max,
        (share,),
    )


class Dialect:
    """Header names and settings of one host of the cluster."""

    names = NAMES
    ready_path = b"/ready"

    def __init__(self, cluster: Cluster, host: str, service: str) -> None:
        self._cluster = cluster
        self._host = host
        self._service = service

    def settings(self) -> forwarding.Settings:
        if self._cluster.bad_settings:
            raise forwarding.SettingsError("ip: is missing")
        ports = self._cluster.ports

        def at(port: int) -> forwarding.Address:
            return forwarding.Address(self._host, port)

        return forwarding.Settings(
            vm=self._host,
            host=self._host,
            service=self._service,
            failure_domain="d",
            regions={"d": "r"},
            callers=at(ports[0]),
            daemons=at(ports[1]),
            operators=at(ports[2]),
            metrics=at(self._cluster.extra_ports[0]),
            seeding=at(self._cluster.extra_ports[1]),
            seeds=self._cluster.seeds,
            upstream=at(ports[3]),
            store=at(1),
            memory_bytes=self._cluster.memory_bytes,
            bounds=forwarding.Bounds(
                2.0,
                2.0,
                self._cluster.grace,
                requests.BudgetRules(0.2, 400.0, 10.0),
                self._cluster.revocation_seconds,
            ),
            places_by_objective=self._cluster.places_by_objective,
            admits_by_cost=self._cluster.admits_by_cost,
        )

    def settings_mark(self) -> object:
        return self._cluster.settings_mark

    def source(
        self, settings: forwarding.Settings, clock: clocks.Clock
    ) -> forwarding.Source:
        return stores.StoreClient(self._cluster.source, self._host)


@dataclasses.dataclass
class ReceivedRequest:
    """A request that an upstream received.

    ``line`` is the request line, and ``cut`` is set when the client closes
    the connection before the answer.
    """

    line: bytes
    fields: dict[bytes, bytes]
    body: bytes
    cut: asyncio.Event


Script = typing.Callable[
    [ReceivedRequest, asyncio.StreamWriter], "abc.Awaitable[None]"
]


async def answer(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer as a healthy instance does."""
    writer.write(signed(got, b"whole"))


def signed(
    got: ReceivedRequest, body: bytes, status: bytes = b"200 OK"
) -> bytes:
    """Return an instance's complete, signed answer."""
    return (
        b"HTTP/1.1 %s\r\nX-Request: %s\r\nX-Signature: s\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (status, got.fields[b"x-request"], len(body), body)
    )


class Upstream:
    """An instance whose answers are written by its ``script``."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.got: list[ReceivedRequest] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self.serve, host, port)

    def crash(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            line, _, rest = head.partition(b"\r\n")
            fields = {}
            for field in rest.strip().split(b"\r\n"):
                name, _, value = field.partition(b":")
                name, value = name.strip().lower(), value.strip()
                # Of two fields, an instance may heed either.
                fields[name] = value if name not in fields else b""
            size = int(fields.get(b"content-length", b"0"))
            body = await reader.readexactly(size)
            got = ReceivedRequest(line, fields, body, asyncio.Event())
            self.got.append(got)
            await self._run(got, reader, writer)

    async def _run(
        self,
        got: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        script = asyncio.ensure_future(self.script(got, writer))
        while not script.done():
            await asyncio.wait([script], timeout=0.01)
            if reader.at_eof() or reader.exception():
                got.cut.set()
                script.cancel()
                return


@dataclasses.dataclass
class Answer:
    """An answer to a client; status 0 if the connection ended without one."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    seconds: float


class Cluster:
    """Hosts with one daemon and one upstream each, and a shared store.

    ``ports`` are those for clients, daemons, operators and the upstream, the
    same on each host; metrics and seeding are at the ``extra_ports``.
    ``lines`` collects the log. ``entry_since`` maps
    instances to the revision of their first entry. ``seeds``,
    ``memory_bytes`` and ``revocation_seconds`` are settings of the daemons; a
    ``grace`` is the daemons' grace period, and a
    changed ``settings_mark`` makes the daemons reload them, which fails with
    ``bad_settings``. ``customers`` are those of the next policy.
    """

    def __init__(self) -> None:
        self.source = stores.Source()
        self.ports = loopback.free_ports(4, HOSTS)
        self.extra_ports = self.ports[2], self.ports[1]
        self.seeds: tuple[forwarding.Address, ...] = ()
        self.daemons: dict[str, _daemon.RunningDaemon] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.lines: list[bytes] = []
        self.entry_since: dict[str, int] = {}
        self.settings_mark = 0
        self.bad_settings = False
        self.memory_bytes = 100_000_000
        self.places_by_objective = False
        self.admits_by_cost = False
        self.customers: tuple[policies.Customer, ...] | None = None
        self.revocation_seconds: float | None = None
        self.grace = GRACE
        self._serial = 0

    async def upstream(
        self, host: str, service: str, script: Script = answer, slots: int = 8
    ) -> Upstream:
        """Start an instance and write its entry."""
        upstream = Upstream(script)
        await upstream.open(host, self.ports[3])
        self.upstreams[host] = upstream
        self.put_entry(host, service, slots=slots)
        return upstream

    def put_entry(
        self,
        host: str,
        service: str,
        state: views.InstanceState = views.InstanceState.READY,
        slots: int = 8,
    ) -> None:
        """Write the entry of the instance on a host."""
        self.put_instance(f"i-{host}", host, service, state, slots)

    def put_instance(
        self,
        key: str,
        host: str,
        service: str,
        state: views.InstanceState = views.InstanceState.READY,
        slots: int = 8,
        born: int = 0,
    ) -> None:
        """Write an entry under ``key`` for the instance on a host."""
        since = self.entry_since.setdefault(key, self.source.revision + 1)
        port = self.ports[3]
        self.source.put(
            key,
            views.Instance(
                key,
                service,
                host,
                port,
                since,
                "d",
                "r",
                slots,
                state,
                0.0,
                born,
            ),
        )

    def policy(self, version: int, *routes: policies.Route) -> None:
        """Put a policy in force."""
        self.source.put(
            "policy",
            policies.Policy(version, routes, LIMITS, customers=self.customers),
        )

    async def send_to_peer_port(
        self, host: str, path: str, headers: bytes
    ) -> Answer:
        """Send one request to the port for other daemons."""
        self._serial += 1
        head = (
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Request: r{self._serial}\r\n"
        ).encode()
        reader, writer = await asyncio.open_connection(host, self.ports[1])
        writer.write(head + headers + b"\r\n")
        try:
            started_at = asyncio.get_running_loop().time()
            return await read_answer(reader, started_at)
        finally:
            writer.close()

    async def daemon(self, host: str, service: str) -> _daemon.RunningDaemon:
        """Start a daemon; ``wait_until_known`` waits for its view."""
        dialect = Dialect(self, host, service)
        journal = _events.Journal(self.take_line)
        journal.attach()
        daemon = _state.new_daemon(
            dialect,
            dialect.settings(),
            clocks.SystemClock(),
            random.Random(1),
            journal,
        )
        running = _daemon.RunningDaemon(daemon)
        await _daemon.open_listeners(running)
        _daemon.start(running)
        self.daemons[host] = running
        return running

    async def wait_until_known(self, *hosts: str) -> None:
        """Wait until the daemons know the store's latest revision."""
        for host in hosts:
            view = self.daemons[host].daemon.view
            while view.revision < self.source.revision:
                await asyncio.sleep(0.005)

    async def call(
        self,
        host: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 4000,
        headers: bytes = b"",
    ) -> Answer:
        """Send one request to a daemon on a connection of its own."""
        self._serial += 1
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Request: r{self._serial}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n"
        ).encode()
        reader, writer = await asyncio.open_connection(host, self.ports[0])
        started_at = asyncio.get_running_loop().time()
        writer.write(head + headers + b"\r\n" + body)
        try:
            return await read_answer(reader, started_at)
        finally:
            writer.close()

    async def stop(self, host: str) -> None:
        """Stop a daemon as SIGTERM does, and end its process."""
        running = self.daemons[host]
        await _stops.stop(running)
        for listener in (running.callers, running.daemons, running.operators):
            listener.stop_accepting()
            for connection in list(listener.connections):
                connection._transport.abort()
        for pool in (*running.daemon.pools.values(), running.daemon.upstream):
            pool.close()

    def request(
        self,
        path: str,
        method: str = "GET",
        size: int = 0,
        deadline_ms: int = 4000,
    ) -> tuple[str, bytes]:
        """Return a new request's id, and its head for a body of ``size``."""
        self._serial += 1
        key = f"r{self._serial}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Request: {key}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {size}\r\n\r\n"
        )
        return key, head.encode()

    def take_line(self, data: bytes) -> int:
        """Collect a line of the log."""
        self.lines.append(data)
        return len(data)


async def start_pair(
    timeout: float, script: Script = answer, idempotent: bool = True
) -> Cluster:
    """Start two daemons; the instance of ``/s/`` is on the second host."""
    front, back, _ = HOSTS
    cluster = Cluster()
    cluster.policy(1, route("/s/", "s", idempotent, timeout))
    await cluster.upstream(back, "s", script)
    for host, service in ((front, "front"), (back, "s")):
        await cluster.daemon(host, service)
    await cluster.wait_until_known(front, back)
    return cluster


async def read_answer(
    reader: asyncio.StreamReader, started_at: float
) -> Answer:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", _elapsed(started_at))
    line, _, rest = head.partition(b"\r\n")
    fields = {}
    for field in rest.strip().split(b"\r\n"):
        name, _, value = field.partition(b":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields[b"content-length"]))
    return Answer(int(line.split(b" ")[1]), fields, body, _elapsed(started_at))


def _elapsed(started_at: float) -> float:
    return asyncio.get_running_loop().time() - started_at
