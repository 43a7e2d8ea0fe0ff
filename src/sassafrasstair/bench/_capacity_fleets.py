"""A fleet of decision cores on a virtual clock, with faults.

Not a cluster simulator: it carries messages with delay and loss, and the
faults are plain sets that the runs below and the tests fill.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import typing

from sassafrasstair.bench import _capacity_platform
from sassafrasstair.bench import _capacity_wire
from sassafrasstair.decisions import fleet

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles

TICK = 0.25
RESOLUTION = 0.02
SAME_DOMAIN_DELAY = 0.000_3
OTHER_DOMAIN_DELAY = 0.001_5
OTHER_REGION_DELAY = 0.015


@dataclasses.dataclass(slots=True)
class _Flight:
    """One exchange under way; no ``delay`` means that there is no way."""

    sender: str
    node: fleet.Node
    receiver: str
    request: bytes
    open_until: float
    delay: float | None
    ended: bool = False


@dataclasses.dataclass(slots=True)
class Fleet:
    """Daemons by address, the platform, the faults, and what was seen.

    ``down`` holds vanished VMs, ``paused`` the end of each pause, ``cuts``
    the failure domains that cannot reach each other or, paired with "",
    the platform, ``broken`` the pairs of addresses between which the first
    cannot call the second. ``loss`` is the share of exchanges that get
    lost.
    """

    verify: abc.Callable[[bytes], bundles.ApprovedBundle]
    platform: _capacity_platform.Platform
    rng: random.Random
    loss: float = 0.0
    now: float = 0.0
    nodes: dict[str, fleet.Node] = dataclasses.field(default_factory=dict)
    down: set[str] = dataclasses.field(default_factory=set)
    paused: dict[str, float] = dataclasses.field(default_factory=dict)
    cuts: set[frozenset[str]] = dataclasses.field(default_factory=set)
    broken: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    watching: dict[str, int] = dataclasses.field(default_factory=dict)
    in_force: dict[str, list[tuple[float, int]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    reports: list[tuple[float, str, fleet.ReportEvent]] = dataclasses.field(
        default_factory=list
    )
    wire: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    kinds: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    connections: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    _events: list[tuple[float, int, abc.Callable[[], None]]] = (
        dataclasses.field(default_factory=list)
    )
    _order: abc.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )

    def start(
        self,
        record: fleet.Record,
        seeds: tuple[str, ...],
        delay: float = 0.0,
    ) -> None:
        """Start a daemon, in place of any that ran at its address."""
        self.at(delay, lambda: self._start(record, seeds))

    def adopt(self, node: fleet.Node) -> None:
        """Take in a daemon that was made ready outside."""
        self.nodes[node.local_record.address] = node
        self.at(
            self.rng.uniform(0, TICK),
            lambda: self._tick(node.local_record.address, node),
        )

    def at(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` seconds."""
        event = (self.now + delay, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(
        self,
        seconds: float,
        until: abc.Callable[[], bool] | None = None,
        every: float = RESOLUTION,
    ) -> bool:
        """Let time pass, or until the condition holds; say if it did."""
        end = self.now + seconds
        look = self.now
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if until is not None and self.now >= look:
                look = self.now + every
                if until():
                    return True
        self.now = end
        return False

    def perform(self, address: str, effects: list[fleet.Effect]) -> None:
        """Carry out the effects of the daemon at ``address``."""
        for effect in effects:
            if isinstance(effect, fleet.Exchange):
                self._exchange(address, effect)
            elif isinstance(effect, fleet.InForce):
                seen = (self.now, effect.bundle.version)
                self.in_force[address].append(seen)
            elif isinstance(effect, fleet.ReadPlatform):
                self._read_later(address, effect.delay)
            elif isinstance(effect, fleet.Watch):
                self._watch(address, effect.enabled)
            else:
                self.reports.append((self.now, address, effect))

    def stop(self, address: str) -> None:
        """Have the VM at ``address`` vanish."""
        self.down.add(address)
        self.watching.pop(address, None)

    def pause(self, address: str, seconds: float) -> None:
        """Have the process at ``address`` stand still for a while."""
        self.paused[address] = self.now + seconds

    def cut(self, *names: str, alone: bool = True) -> None:
        """Cut off each failure domain from all others, or as a group."""
        domains = {
            node.local_record.failure_domain for node in self.nodes.values()
        }
        for name in names:
            for other in domains - ({name} if alone else set(names)):
                self.cuts.add(frozenset((name, other)))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def publish(self, **changes: typing.Any) -> None:
        """Change what the platform holds; watches answer."""
        self.platform.publish(**changes)
        for address in list(self.watching):
            self.at(
                _capacity_platform.LATENCY,
                functools.partial(self._answer_watch, address),
            )

    def platform_goes(self, up: bool) -> None:
        """Stop or start the platform; its watches are lost at a stop."""
        self.platform.up = up
        if up:
            return
        lost, self.watching = list(self.watching), {}
        for address in lost:
            self._platform_failed(address)

    def versions(self) -> dict[str, int]:
        """Return the version in force at each running daemon."""
        return {
            address: bundle.version if bundle else 0
            for address, node in self.nodes.items()
            if address not in self.down
            for bundle in (fleet.in_force(node),)
        }

    def at_version(self, version: int) -> bool:
        """Return whether all running daemons have it in force."""
        return all(found >= version for found in self.versions().values())

    def _start(self, record: fleet.Record, seeds: tuple[str, ...]) -> None:
        address = record.address
        self.down.discard(address)
        self.watching.pop(address, None)
        incarnation = f"{int(self.now * 1000):012x}{next(self._order):04x}"
        node = fleet.new_node(
            record, incarnation, seeds, self.verify, self.now, self.rng
        )
        self.nodes[address] = node
        self.at(self.rng.uniform(0, TICK), lambda: self._tick(address, node))

    def _tick(self, address: str, node: fleet.Node) -> None:
        if self.nodes.get(address) is not node or address in self.down:
            return
        if self._wait_out(address, lambda: self._tick(address, node)):
            return
        self.perform(address, fleet.tick(node, self.now, self.rng))
        self.at(TICK, lambda: self._tick(address, node))

    def _wait_out(self, address: str, action: abc.Callable[[], None]) -> bool:
        """Put ``action`` off to the end of a pause, if there is one."""
        end = self.paused.get(address, 0.0)
        if end <= self.now:
            return False
        self.at(end - self.now, action)
        return True

    def _exchange(self, sender: str, effect: fleet.Exchange) -> None:
        self.kinds[type(effect.message).__name__] += 1
        flight = _Flight(
            sender,
            self.nodes[sender],
            effect.address,
            fleet.encode(effect.message),
            self.now + effect.timeout,
            self._delay(sender, effect.address),
        )
        self.at(effect.timeout, lambda: self._fail(flight))
        if flight.delay is not None and self.rng.random() >= self.loss:
            self.at(flight.delay, lambda: self._arrive(flight))

    def _arrive(self, flight: _Flight) -> None:
        receiver = self.nodes.get(flight.receiver)
        if receiver is None or flight.receiver in self.down:
            return
        if self._wait_out(flight.receiver, lambda: self._arrive(flight)):
            return
        message = fleet.decode(flight.request)
        reply, effects = fleet.handle_request(
            receiver, message, self.now, self.rng
        )
        self.perform(flight.receiver, effects)
        if reply is not None and flight.delay is not None:
            data = fleet.encode(reply)
            self.at(flight.delay, lambda: self._finish(flight, data))

    def _finish(self, flight: _Flight, reply: bytes) -> None:
        if flight.ended or self.now >= flight.open_until:
            return
        if self._wait_out(flight.sender, lambda: self._finish(flight, reply)):
            return
        flight.ended = True
        if not self._runs(flight.sender, flight.node):
            return
        self._count(flight, len(reply))
        message = fleet.decode(reply)
        effects = fleet.process_reply(
            flight.node, flight.receiver, message, self.now, self.rng
        )
        self.perform(flight.sender, effects)

    def _fail(self, flight: _Flight) -> None:
        if flight.ended or self._wait_out(
            flight.sender, lambda: self._fail(flight)
        ):
            return
        flight.ended = True
        if not self._runs(flight.sender, flight.node):
            return
        self._count(flight, 0)
        effects = fleet.update_after_failed_exchange(
            flight.node, flight.receiver, self.now, self.rng
        )
        self.perform(flight.sender, effects)

    def _runs(self, address: str, node: fleet.Node) -> bool:
        return self.nodes.get(address) is node and address not in self.down

    def _count(self, flight: _Flight, reply: int) -> None:
        request = len(flight.request)
        size = _capacity_wire.SYN
        pair = (flight.sender, flight.receiver)
        if reply:
            size = _capacity_wire.exchange_bytes(request, reply)
            idle = self.now - self.connections.get(pair, -1e9)
            if idle > _capacity_wire.IDLE_CONNECTION_SECONDS:
                size += _capacity_wire.connection_bytes()
            self.connections[pair] = self.now
        self.wire[flight.sender] += size
        self.wire[flight.receiver] += size

    def _delay(self, sender: str, receiver: str) -> float | None:
        """Return the seconds one way, or None if there is no way."""
        one, other = self.nodes.get(sender), self.nodes.get(receiver)
        if one is None or other is None or receiver in self.down:
            return None
        if (sender, receiver) in self.broken:
            return None
        ends = (
            one.local_record.failure_domain,
            other.local_record.failure_domain,
        )
        if ends[0] == ends[1]:
            return SAME_DOMAIN_DELAY
        if frozenset(ends) in self.cuts:
            return None
        if one.local_record.region != other.local_record.region:
            return OTHER_REGION_DELAY
        return OTHER_DOMAIN_DELAY

    def _reaches_platform(self, address: str) -> bool:
        domain = self.nodes[address].local_record.failure_domain
        return self.platform.up and frozenset((domain, "")) not in self.cuts

    def _read_later(self, address: str, delay: float) -> None:
        node = self.nodes[address]
        self.at(
            delay + _capacity_platform.LATENCY,
            lambda: self._read(address, node),
        )

    def _read(self, address: str, node: fleet.Node) -> None:
        if not self._runs(address, node):
            return
        if self._wait_out(address, lambda: self._read(address, node)):
            return
        self.platform.count(self.now)
        if not self._reaches_platform(address):
            self._platform_failed(address)
            return
        self._deliver(address)
        if node.watching:
            self._arm(address)

    def _deliver(self, address: str) -> None:
        node, contents = self.nodes[address], self.platform.contents
        vms = list(contents.vms)
        effects = fleet.process_platform_vms(
            node, vms, contents.index, self.now, self.rng
        )
        effects += fleet.process_platform_bundles(
            node, list(contents.bundles), contents.index, self.now, self.rng
        )
        self.perform(address, effects)

    def _platform_failed(self, address: str) -> None:
        node = self.nodes[address]
        self.perform(
            address, fleet.process_platform_failure(node, self.now, self.rng)
        )

    def _watch(self, address: str, on: bool) -> None:
        if on:
            self.kinds["Watch"] += 1
            self._read_later(address, 0.0)
        else:
            self.watching.pop(address, None)

    def _arm(self, address: str) -> None:
        """Hold a blocking watch, counted anew each time it is renewed."""
        turn = next(self._order)
        self.watching[address] = turn
        self.at(
            _capacity_platform.BLOCKING_SECONDS,
            lambda: self._renew(address, turn),
        )

    def _renew(self, address: str, turn: int) -> None:
        if self.watching.get(address) == turn:
            self.platform.count(self.now)
            self._arm(address)

    def _answer_watch(self, address: str) -> None:
        if address not in self.watching or address in self.down:
            return
        if self._wait_out(address, lambda: self._answer_watch(address)):
            return
        if not self._reaches_platform(address):
            del self.watching[address]
            self._platform_failed(address)
            return
        self._deliver(address)
        self.platform.count(self.now)
        self._arm(address)


def records(
    daemons: int, services: int, domains: int = 6, regions: int = 2
) -> list[fleet.Record]:
    """Return the VM list of a fleet spread evenly."""
    return [
        fleet.Record(
            f"vm-{number:04d}",
            f"service-{number // domains % services:02d}",
            f"domain-{number % domains}",
            f"region-{number % domains * regions // domains}",
            f"10.{number % domains}.{number // 256}.{number % 256}:7400",
        )
        for number in range(daemons)
    ]
