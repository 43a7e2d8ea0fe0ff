"""What clients sent, what upstreams ran, and what must hold of both."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import typing
import urllib.parse

from tests import notices as notices_module
from tests.platform.soak import customers as customers_module
from tests.platform.soak import departures
from tests.platform.soak import disruptions as disruptions_module
from tests.platform.soak import drains
from tests.platform.soak import losses

if typing.TYPE_CHECKING:
    from collections import abc

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""
DEADLINE_SLACK = 0.5
"""Seconds by which the time left may have grown on its way."""
STABLE_SECONDS = 3.0
"""After a third crash all daemons know of the request that caused it."""
LATE_MAX = 3
"""Arrivals of such a request that are allowed later."""
SIGNATURE = "Sassafrasstair-Response-Signature"
RUN_FIELD = b"soak-run"
"""Names the run of the instance that gave an answer."""
LIMIT_FIELD = b"server-limit"
LEAVING_FIELD = b"server-leaving"


@dataclasses.dataclass
class Sent:
    """One request as its client sent it."""

    key: str
    route: str
    idempotent: bool
    caller: str
    target: str
    body: bytes
    patience: float
    api_key: str = ""
    at: float = 0.0
    entrance: str = ""
    runs: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Run:
    """One run as the upstream saw it."""

    key: str
    service: str
    caller: str
    target: str
    body: bytes
    left: float
    customer: str = ""
    key_seen: bool = False


def body_of(key: str, target: str) -> bytes:
    """Return the one right body of the answer to a request.

    Its target may ask for a size, as ``?size=``.
    """
    block = hashlib.sha256(key.encode()).hexdigest().encode()
    size = asked(target, "size")
    return block * (int(size) // len(block) if size else 8)


def asked(target: str, name: str) -> float:
    """Return the number that a request's target asks for, 0 for none."""
    query = urllib.parse.parse_qs(target.partition("?")[2])
    return float(query.get(name, ["0"])[0])


def signature_of(key: str, status: int) -> str:
    """Return how an upstream signs an answer."""
    return f"{key}.{status}"


@dataclasses.dataclass
class Crashes:
    """When a request reached instances and crashed them; loop times."""

    arrivals: list[float] = dataclasses.field(default_factory=list)
    crashes: list[float] = dataclasses.field(default_factory=list)

    def late(self) -> int:
        """Return the arrivals too long after the third crash."""
        if len(self.crashes) < 3:
            return 0
        since = self.crashes[2] + STABLE_SECONDS
        return sum(at >= since for at in self.arrivals)


class Oracle:
    """Notes what happens and each promise that is broken."""

    def __init__(
        self,
        services: dict[str, set[str]],
        customers: customers_module.Customers,
        note: abc.Callable[[str], None] = lambda text: None,
    ) -> None:
        self._note = note
        self.customers = customers
        self.services = services
        """Which services a route ever led to."""
        self.sent: dict[str, Sent] = {}
        self.broken: list[str] = []
        self.notices = notices_module.Oracle()
        self.disruptions = disruptions_module.Record()
        self.losses = losses.Oracle(self.disruptions)
        self.drains = drains.Oracle(self.disruptions)
        self.departures = departures.Oracle(self.disruptions)
        self.crashing: dict[bytes, Crashes] = {}
        """Targets of requests that crash the instances that run them."""
        self.served = 0
        self.refused = 0
        self.failed = 0

    def send(self, sent: Sent) -> None:
        """Note a request before its first byte leaves."""
        self.sent[sent.key] = sent
        self.losses.began(
            sent.key, sent.route, sent.entrance, sent.at, sent.patience
        )

    def arrived(self, key: str, run: str, host: str) -> None:
        """Note a request that reached a run of the instance at a VM."""
        sent = self.sent.get(key)
        if sent is not None:
            now = asyncio.get_running_loop().time()
            self.notices.arrived(run, sent.entrance, sent.at, now)
            self.departures.arrived(key, host)
            instance, _, _ = run.partition("@")
            self.drains.arrived(
                drains.Arrival(key, instance, sent.entrance, host, sent.at)
            )

    def passed_on(self, entrance: str, found: dict[bytes, bytes]) -> None:
        """Note what an answer that an entrance passed on says."""
        if RUN_FIELD in found:
            self.notices.passed_on(
                found[RUN_FIELD].decode(),
                entrance,
                LIMIT_FIELD in found,
                LEAVING_FIELD in found,
                asyncio.get_running_loop().time(),
            )

    def ran(self, run: Run) -> None:
        """Check a run against what its client sent."""
        sent = self.sent.get(run.key)
        if sent is None:
            self._break("UNASKED", run.key, "nobody sent it")
            return
        sent.runs += 1
        if run.target.encode() in self.crashing:
            known = self.crashing[run.target.encode()]
            known.arrivals.append(asyncio.get_running_loop().time())
        if (run.target, run.body) != (sent.target, sent.body):
            self._break("UNASKED", run.key, "path or body changed")
        if run.caller != sent.caller:
            self._break("UNASKED", run.key, f"caller {run.caller}")
        if run.service not in self.services[sent.route]:
            self._break("ROUTE", run.key, f"run by {run.service}")
        if run.left > sent.patience + DEADLINE_SLACK:
            self._break("BUDGET", run.key, f"left {run.left}")
        self._check_customer(sent, run)
        if sent.runs > 1 and not sent.idempotent:
            self._break("TWICE", run.key, f"{sent.runs} runs")
        self._check_refusals(sent)

    def crashes(self, target: bytes) -> None:
        """Note that an instance crashed under a request."""
        now = asyncio.get_running_loop().time()
        self.crashing[target].crashes.append(now)

    def answered(
        self, key: str, status: int, signature: str, body: bytes
    ) -> None:
        """Check an answer against the request that it belongs to."""
        sent = self.sent[key]
        sent.statuses.append(status)
        signed = signature == signature_of(key, status)
        self.losses.lives[key].end(
            losses.Ending.ANSWERED if signed else losses.Ending.REPLACED
        )
        if 200 <= status < 300:
            self.served += 1
            whole = body == body_of(key, sent.target)
            if not whole or signature != signature_of(key, status):
                self._break("MIXED", key, f"{status} signed {signature!r}")
        elif signature and signature != signature_of(key, status):
            self._break("MIXED", key, f"{status} signed {signature!r}")
        elif status in NOT_RUN:
            self.refused += 1
        else:
            self.failed += 1
        denied = status in (400, 401, 403, 404, 413, 431)
        if denied and not self._may_be_denied(sent, status):
            since = asyncio.get_running_loop().time() - sent.at
            detail = f"at {sent.entrance}, sent {since:.3f} s before"
            about = self.customers.describe(sent.api_key, sent.at)
            self._break("DENIED", key, f"status {status} {detail}, {about}")
        self._check_refusals(sent)

    def check_notices(self) -> None:
        """Look at what instances said of themselves and then got."""
        self.broken += self.notices.broken()

    def check_drains(self) -> None:
        """Look at instances and daemons that were to be left."""
        self.broken += self.drains.broken()

    def check_losses(self) -> None:
        """Look at the requests that ended around signals."""
        self._note(f"around stops: {self.losses.count()}")
        self._note(f"kept and in touch: {self.losses.count_sound()}")
        for lost in self.losses.broken():
            rule, _, detail = lost.partition(" ")
            key, _, detail = detail.partition(": ")
            self._break(rule, key, detail)

    def check_departures(self) -> None:
        """Look at what went on for clients that had left."""
        lives = self.losses.lives
        idempotent = frozenset(
            sent.key for sent in self.sent.values() if sent.idempotent
        )
        self._note(f"gone: {self.departures.count(lives, idempotent)}")
        self.broken += self.departures.broken(lives, idempotent)

    def check_quotas(self) -> None:
        """Look at all windows of the customer with a limit."""
        most = self.customers.most()
        if most > customers_module.allowed():
            self._break("QUOTA", customers_module.LIMITED, f"{most} runs")

    def _check_customer(self, sent: Sent, run: Run) -> None:
        if run.key_seen:
            self._break("UNASKED", run.key, "the key itself was passed on")
        if not sent.api_key:
            if run.customer:
                self._break("UNASKED", run.key, f"customer {run.customer}")
            return
        now = asyncio.get_running_loop().time()
        wrong = self.customers.broken_by_run(
            sent.api_key, run.customer, sent.at, now
        )
        if wrong:
            rule, _, detail = wrong.partition(": ")
            self._break(rule, run.key, detail)

    def _may_be_denied(self, sent: Sent, status: int) -> bool:
        keyed = status == 401 and bool(sent.api_key)
        return keyed and self.customers.may_be_denied(sent.api_key, sent.at)

    def _check_refusals(self, sent: Sent) -> None:
        refused = any(status in NOT_RUN for status in sent.statuses)
        if refused and sent.runs and not sent.idempotent:
            self._break("REFUSED", sent.key, f"{sent.statuses}")

    def _break(self, rule: str, key: str, detail: str) -> None:
        self.broken.append(f"{rule} {key}: {detail}")
        self._note(f"broken {self.broken[-1]}")
