"""Model the instances of a fleet, their clients, and their crashes."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import itertools
import math
import typing

from sassafrasstair.forwarding import _entrance
from sassafrasstair import httpio
from tests.fleets import networks
from tests.forwarding import place
from tests import notices

if typing.TYPE_CHECKING:
    from tests.fleets import fleet as fleet_module

CONNECT_SECONDS = 0.001
AWAY_SECONDS = 1.5
"""Time from a crash until the instance runs again, under a new id."""
LAPSE_SECONDS = 4.0
"""Time from a crash until the entry of the crashed instance is removed."""
DEADLINE_MS = b"2000"
KEYS = place.NAMES.lowercased()
_serial = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """The start of a request at an instance, or a crash during one."""

    time: float
    target: bytes
    host: str


@dataclasses.dataclass
class Upstreams:
    """All instances of a fleet.

    ``crash_delays`` maps targets to the seconds after which a request for
    them crashes its instance. All other requests take ``service_seconds``.
    ``nested_calls`` maps targets to the targets that an instance calls to
    answer them; the status of the nested call decides the answer.

    Instances on hosts in ``refusing`` run nothing and say so.

    ``rate_limits`` and ``leaving`` are what instances say of themselves in
    their answers, by host; ``oracle`` checks that it is heeded. ``sent`` maps
    the id of a request to the host at which it began and its time.
    """

    fleet: fleet_module.Fleet
    service_seconds: float = 0.03
    crash_delays: dict[bytes, float] = dataclasses.field(default_factory=dict)
    nested_calls: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    crashes: list[Arrival] = dataclasses.field(default_factory=list)
    instances: dict[str, Instance] = dataclasses.field(default_factory=dict)
    rate_limits: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)
    refusing: set[str] = dataclasses.field(default_factory=set)
    oracle: notices.Oracle = dataclasses.field(default_factory=notices.Oracle)
    sent: dict[bytes, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )

    def install(self) -> None:
        """Add an instance to each host; call this before the fleet starts."""
        for host in self.fleet.hosts:
            made = self.instances[host] = Instance(self, host)
            pool = typing.cast("httpio.Pool", made)
            self.fleet.upstream_pools[host] = pool

    def set_rate_limit(self, host: str, limit: float) -> None:
        """Let an instance name a limit from now on, infinity for none."""
        now = asyncio.get_running_loop().time()
        self.rate_limits[host] = limit
        self.oracle.names_limit(host, limit, now)

    def notice_fields(self, host: str) -> httpio.Fields:
        """Return the header fields in which an instance speaks of itself."""
        limit = self.rate_limits.get(host, math.inf)
        fields = []
        if limit < math.inf:
            fields.append((KEYS.rate_limit, b"%.3f" % limit))
        if host in self.leaving:
            fields.append((KEYS.leaving, b"1"))
        return fields

    def call(self, host: str, target: bytes) -> asyncio.Future[int]:
        """Send a request to a host's daemon, and check its answer."""
        serial = b"q%d" % next(_serial)
        now = asyncio.get_running_loop().time()
        self.sent[serial] = host, now
        on_answer = functools.partial(self._passed_on, host)
        return call(self.fleet, host, target, b"", serial, on_answer)

    def _passed_on(self, entrance: str, fields: httpio.Fields) -> None:
        found = {name.lower(): value for name, value in fields}
        instance = found.get(KEYS.signature)
        if instance is not None:
            self.oracle.passed_on(
                instance.decode(),
                entrance,
                KEYS.rate_limit in found,
                KEYS.leaving in found,
                asyncio.get_running_loop().time(),
            )

    def arrival_count(self, target: bytes, since: float = 0.0) -> int:
        """Return how many requests for a target arrived since a time."""
        return sum(
            each.target == target and each.time >= since
            for each in self.arrivals
        )

    def crash_times(self, target: bytes) -> list[float]:
        """Return the times at which a target crashed instances."""
        return [each.time for each in self.crashes if each.target == target]


class Instance:
    """An instance, in place of its daemon's pool of connections to it."""

    def __init__(self, upstreams: Upstreams, host: str) -> None:
        self.host = host
        self.connections_opened = 0
        self.down = False
        self._upstreams = upstreams
        self._running: dict[httpio.Job, asyncio.TimerHandle] = {}

    def send(self, job: httpio.Job) -> None:
        """Start a request."""
        loop = asyncio.get_running_loop()
        if self.down:
            loop.call_later(CONNECT_SECONDS, job.end, httpio.Failure.NOT_SENT)
            return
        request = networks.parse_request(job.data + job.body)
        upstreams = self._upstreams
        upstreams.arrivals.append(
            Arrival(loop.time(), request.target, self.host)
        )
        self._check_arrival(request)
        job._connection = typing.cast("typing.Any", _Connection(self, job))
        if self.host in upstreams.refusing:
            self._running[job] = loop.call_later(
                CONNECT_SECONDS, self._refuse, job
            )
            return
        crash_delay = upstreams.crash_delays.get(request.target)
        if crash_delay is not None:
            timer = loop.call_later(crash_delay, self.crash, request.target)
        elif request.target in upstreams.nested_calls:
            timer = loop.call_later(
                upstreams.service_seconds, self._call_nested, job, request
            )
        else:
            timer = loop.call_later(
                upstreams.service_seconds, self._answer, job, request
            )
        self._running[job] = timer

    send_on_new = send

    def _check_arrival(self, request: httpio.Request) -> None:
        upstreams = self._upstreams
        known = upstreams.sent.get(request.headers[KEYS.request_id])
        if known is not None:
            entrance, sent_at = known
            now = asyncio.get_running_loop().time()
            upstreams.oracle.arrived(self.host, entrance, sent_at, now)

    def crash(self, target: bytes = b"") -> None:
        """End all running requests, and restart later under a new id."""
        loop = asyncio.get_running_loop()
        self._upstreams.crashes.append(Arrival(loop.time(), target, self.host))
        self.down = True
        running, self._running = self._running, {}
        for job, timer in running.items():
            timer.cancel()
            job.end(httpio.Failure.LOST)
        daemon = self._upstreams.fleet.daemons.get(self.host)
        known = [] if daemon is None else list(daemon.view.instances.values())
        ids = [each.id for each in known if each.host == self.host]
        loop.call_later(AWAY_SECONDS, self._start)
        for instance_id in ids:
            loop.call_later(
                LAPSE_SECONDS, self._upstreams.fleet.store.remove, instance_id
            )

    def cancel(self, job: httpio.Job) -> None:
        """Stop a request whose connection was cut."""
        timer = self._running.pop(job, None)
        if timer is not None:
            timer.cancel()

    def try_connect(self, done: typing.Callable[[bool], None]) -> None:
        """Report whether a connection can be opened."""
        loop = asyncio.get_running_loop()
        loop.call_later(CONNECT_SECONDS, lambda: done(not self.down))

    def drop_idle(self) -> None:
        """Do nothing: no connections are kept."""

    def sweep(self, now: float) -> None:
        """Do nothing: no connections are kept."""

    def _start(self) -> None:
        self.down = False
        self._upstreams.fleet.write_instance(
            self.host, instance_id=f"i-{next(_serial)}"
        )

    def _call_nested(self, job: httpio.Job, request: httpio.Request) -> None:
        upstreams = self._upstreams
        target = upstreams.nested_calls[request.target]
        called = call(upstreams.fleet, self.host, target)

        def done(status: asyncio.Future[int]) -> None:
            if job in self._running:
                succeeded = status.result() == 200
                self._answer(job, request, 200 if succeeded else 500)

        called.add_done_callback(done)

    def _refuse(self, job: httpio.Job) -> None:
        self._running.pop(job, None)
        fields = [(KEYS.not_run, b"1")]
        fields += self._upstreams.notice_fields(self.host)
        parsed = [(name, name, value) for name, value in fields]
        job.end(httpio.Response(503, parsed, dict(fields), b""))

    def _answer(
        self, job: httpio.Job, request: httpio.Request, status: int = 200
    ) -> None:
        self._running.pop(job, None)
        fields = [
            (KEYS.request_id, request.headers[KEYS.request_id]),
            (KEYS.signature, self.host.encode()),
            *self._upstreams.notice_fields(self.host),
        ]
        parsed = [(name, name, value) for name, value in fields]
        job.end(httpio.Response(status, parsed, dict(fields), b"whole"))


class _Connection:
    """The connection that an abandoned job aborts."""

    def __init__(self, instance: Instance, job: httpio.Job) -> None:
        self._instance = instance
        self._job = job

    def abort(self) -> None:
        self._instance.cancel(self._job)


class _Exchange:
    """A client's request and a future of its status."""

    def __init__(
        self,
        request: httpio.Request,
        on_answer: typing.Callable[[httpio.Fields], None],
    ) -> None:
        self.request = request
        self.peer_host = ""
        self.gone: typing.Callable[[], None] | None = None
        self.status: asyncio.Future[int] = asyncio.Future()
        self._on_answer = on_answer

    def respond(
        self,
        status: int,
        fields: httpio.Fields,
        body: bytes,
        close: bool = False,
    ) -> None:
        if not self.status.done():
            self._on_answer(fields)
            self.status.set_result(status)


def call(
    fleet: fleet_module.Fleet,
    host: str,
    target: bytes,
    body: bytes = b"",
    serial: bytes = b"",
    on_answer: typing.Callable[[httpio.Fields], None] = lambda fields: None,
) -> asyncio.Future[int]:
    """Send a request to a host's daemon; return a future of its status.

    ``on_answer`` gets the header fields of the answer.
    """
    daemon = fleet.daemons[host]
    fields = [
        (b"Host", b"a.example"),
        (daemon.header_names.request_id, serial or b"q%d" % next(_serial)),
        (daemon.header_names.deadline_ms, DEADLINE_MS),
    ]
    method = b"POST" if body else b"GET"
    head = httpio.request_head(method, target, fields, len(body))
    request = networks.parse_request(head + body, daemon.clock.monotonic())
    exchange = _Exchange(request, on_answer)
    _entrance.handle(daemon, typing.cast("httpio.Exchange", exchange))
    return exchange.status
