"""A virtual clock, a network that misbehaves, a platform and an oracle.

Nothing here decides: daemons (``daemons.py``) drive the decision cores, and
the oracle notes what ran and what each caller was told.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import typing

import msgspec

from sassafrasstair import bundles
from sassafrasstair.bundles import _signatures
from sassafrasstair.decisions import fleet
from sassafrasstair import outcomes
from tests.fuzz import members
from tests.fuzz import upstreams

if typing.TYPE_CHECKING:
    from collections import abc

    from tests.fuzz import daemons

T = typing.TypeVar("T")
DOMAINS = ("a", "b")
VMS = ("poster-a", "ledger-a", "poster-b", "ledger-b")
PRIVATE = b"k" * 32
LIFETIME = 6.0
LEAVING_IN = 3.0


@functools.cache
def envelope(version: int, salt: int = 0, rollout: str = "") -> bytes:
    """Return an approved bundle; ``salt`` makes a second one of a version."""
    rules = {
        "lookup": ("poster", 9, False),
        "report": ("poster", 2, False),
        "write-down": ("poster", 8, True),
        "ledger-lookup": ("ledger", 9, False),
        "ledger-entry": ("ledger", 8, True),
    }
    classes = {
        name: bundles.RequestClass(
            service, importance, 2_000, once, retries=int(not once)
        )
        for name, (service, importance, once) in rules.items()
    }
    bundle = bundles.Bundle(
        format=1,
        mesh="fuzz",
        version=version,
        supersedes=version - 1,
        failure_domains=dict.fromkeys(DOMAINS, "r"),
        services={
            "poster": bundles.Service(4, 50, ("ledger",)),
            "ledger": bundles.Service(4, 50),
        },
        classes=classes,
        tenants={"shop": bundles.Tenant(), f"salt-{salt}": bundles.Tenant()},
        rollout=tuple(rollout),
        ticket_lifetime_ms=int(LIFETIME * 1000),
    )
    return bundles.approve(msgspec.json.encode(bundle), PRIVATE, "op")


@functools.cache
def approved(text: bytes) -> bundles.ApprovedBundle:
    return bundles.verify(text, {"op": _signatures.public_key_of(PRIVATE)})


def verify(text: bytes) -> bundles.Bundle:
    return approved(text).bundle


@dataclasses.dataclass
class Use:
    """One request of a caller; a repeat of it is another use."""

    root: str
    work: int
    request_class: str
    vm: str
    ticket: str = ""
    repeat: int = 0
    key: str = ""
    open: bool = True
    begun: float = 0.0
    told: tuple[outcomes.Outcome, outcomes.Reason] | None = None


@dataclasses.dataclass
class Oracle:
    """What ran, what was told, and what was found wrong."""

    ran: collections.Counter[tuple[str, int]] = dataclasses.field(
        default_factory=collections.Counter
    )
    tickets_ran: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    roots_ran: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    sends: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    roots_not_run: set[str] = dataclasses.field(default_factory=set)
    not_run: set[str] = dataclasses.field(default_factory=set)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    uses: list[Use] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    delivered: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    doubled: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def deliver(self, root: str, attempt_id: str) -> None:
        """Note a delivery: a doubled one may double what it causes."""
        self.delivered[attempt_id] += 1
        if self.delivered[attempt_id] > 1:
            self.doubled[root] += 1

    def tell(
        self,
        use: Use,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        body: bytes,
    ) -> None:
        """Note the answer to a use, unless its caller went away."""
        if not use.open:
            return
        if use.told:
            self.faults.append(f"{use.root} was answered twice")
        use.told = (outcome, reason)
        self.counts[f"{use.request_class} {outcome.value}"] += 1
        self.counts[reason.value] += 1
        if outcome is outcomes.Outcome.DONE and body != upstreams.answer_to(
            use.work
        ):
            self.faults.append(f"{use.root} got another's answer: {body!r}")
        if outcome is not outcomes.Outcome.NOT_RUN:
            return
        self.roots_not_run.add(use.root)
        if use.ticket:
            self.not_run.add(use.ticket)


@dataclasses.dataclass
class Platform:
    """The VM list and the bundles, with what each domain sees of them."""

    history: list[tuple[tuple[bytes, ...], tuple[fleet.Record, ...]]]
    lag: dict[str, int] = dataclasses.field(default_factory=dict)
    down: bool = False
    reads: int = 0

    def view(
        self, domain: str
    ) -> tuple[int, tuple[bytes, ...], tuple[fleet.Record, ...]] | None:
        if self.down:
            return None
        index = max(1, len(self.history) - self.lag.get(domain, 0))
        return (index, *self.history[index - 1])

    def publish(self, *texts: bytes) -> None:
        kept, records = self.history[-1]
        self.history.append(((*kept, *texts)[-4:], records))

    def list_as(
        self, vm: str, state: typing.Literal["live", "leaving"]
    ) -> None:
        kept, records = self.history[-1]
        changed = tuple(
            msgspec.structs.replace(one, state=state) if one.vm == vm else one
            for one in records
        )
        self.history.append((kept, changed))


def record(vm: str) -> fleet.Record:
    service, domain = vm.split("-")
    return fleet.Record(vm, service, domain, "r", vm)


class World:
    """The loop: events in the order of the virtual clock."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = self.doubled = self.late = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.oracle = Oracle()
        self.upstreams = {vm: upstreams.Upstream() for vm in VMS}
        records = tuple(record(vm) for vm in VMS)
        self.platform = Platform([((envelope(1),), records)])
        self.daemons: dict[str, daemons.Daemon] = {}
        self.starts = 0
        self.disturbed = 0.0
        self.log: list[str] = []
        self._queue: list[
            tuple[float, int, daemons.Daemon | None, abc.Callable[[], object]]
        ] = []
        self._serial = itertools.count()

    def at(
        self,
        delay: float,
        action: abc.Callable[[], object],
        daemon: daemons.Daemon | None = None,
    ) -> None:
        """Do ``action`` later, if the process is then still there."""
        self._push(self.now + delay, action, daemon)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            when, _, daemon, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            if daemon is None:
                action()
            elif daemon.alive and daemon.paused_until > self.now:
                self._push(daemon.paused_until, action, daemon)
            elif daemon.alive:
                action()
        self.now = end

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one[-1], other[-1])) in self.cuts

    def carry(
        self,
        source: str,
        target: str,
        action: abc.Callable[[daemons.Daemon], object],
    ) -> None:
        """Bring a message to whichever process runs on ``target``."""
        if self.is_cut(source, target) or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.doubled else 1
        for copy in range(copies):
            delay = self.rng.uniform(0.001, 0.003)
            if copy or self.rng.random() < self.late:
                delay += self.rng.expovariate(0.3)
            self.at(delay, lambda: self._arrive(target, action))

    def request(
        self,
        source: daemons.Daemon,
        target: str,
        serve: abc.Callable[[daemons.Daemon, abc.Callable[[T], None]], object],
        replied: abc.Callable[[daemons.Daemon, T], object],
        failed: abc.Callable[[bool], object],
        timeout: float,
    ) -> None:
        """Exchange with ``target``; ``failed`` is told if bytes left.

        ``replied`` sees each copy of each reply, also those that come
        after ``failed`` and those that reach a later process.
        """
        vm = source.record.vm
        gone = target not in self.daemons or not self.daemons[target].alive
        if (gone or self.is_cut(vm, target)) and self.rng.random() < 0.5:
            self.at(0.01, lambda: failed(False), source)
            return
        self.at(timeout, lambda: failed(True), source)

        def reply(value: T) -> None:
            self.carry(target, vm, lambda daemon: replied(daemon, value))

        self.carry(vm, target, lambda daemon: serve(daemon, reply))

    def note(self, line: str) -> None:
        self.log.append(f"{self.now:8.3f} {line}")

    def disturb(self) -> None:
        """Note that something abnormal happened now."""
        self.disturbed = self.now

    def check_leaving(self, vm: str) -> None:
        """Check that ``vm`` may still be given new work."""
        since = self.oracle.leaving.get(vm, self.now)
        if self.now - since > LEAVING_IN and self.disturbed < since:
            self.oracle.faults.append(f"{vm} leaves and gets new work")

    def check_stop(self, vm: str) -> None:
        """Check that a planned stop left nobody without an answer."""
        for use in self.oracle.uses:
            if use.vm == vm and use.open and use.told is None:
                self.oracle.faults.append(f"{vm} stopped and cut {use.root}")

    def known_in(self, domain: str) -> fleet.BundleId | None:
        """Return the greatest bundle that a new daemon there can learn."""
        peers = [
            one.bundle
            for one in self.daemons.values()
            if one.record.failure_domain == domain
            and one.alive
            and one.paused_until <= self.now
        ]
        ids = [members.place(bundle) for bundle in peers if bundle]
        return None if self.loss or self.late else max(ids, default=None)

    def _push(
        self,
        when: float,
        action: abc.Callable[[], object],
        daemon: daemons.Daemon | None,
    ) -> None:
        event = (when, next(self._serial), daemon, action)
        heapq.heappush(self._queue, event)

    def _arrive(
        self, target: str, action: abc.Callable[[daemons.Daemon], object]
    ) -> None:
        daemon = self.daemons.get(target)
        if daemon is not None and daemon.alive:
            self.at(0.0, lambda: action(daemon), daemon)
