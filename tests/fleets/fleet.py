"""Run the daemons' real code in a model of a fleet, on a virtual clock."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.forwarding import _callee
from sassafrasstair.forwarding import _checks
from sassafrasstair.forwarding import _crash_broadcast
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _events
from sassafrasstair.forwarding import _inbound
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _probes
from sassafrasstair.forwarding import _quotas
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _sync
from sassafrasstair import httpio
from tests.fleets import loops
from tests.fleets import networks
from tests.fleets import stores
from tests.forwarding import place

TICK_SECONDS = 0.05
BOUND = 3.0
"""Seconds within which every daemon must know a change. Half of a bound is
an allowance for delays that the model leaves out."""
PORT = 8300


class Dialect:
    """The names, settings and source of one modelled host."""

    names = place.NAMES
    ready_path = b"/ready"

    def __init__(self, fleet: Fleet, host: str, domain: str) -> None:
        self._fleet = fleet
        self._host = host
        self._domain = domain

    def settings(self) -> forwarding.Settings:
        at = forwarding.Address(self._host, PORT)
        return forwarding.Settings(
            vm=self._host,
            host=self._fleet.advertised_hosts.get(self._host, self._host),
            service=self._fleet.service_of(self._host),
            failure_domain=self._domain,
            regions=self._fleet.regions,
            callers=at,
            daemons=at,
            operators=at,
            metrics=at,
            seeding=None,
            seeds=(),
            upstream=at,
            store=at,
            memory_bytes=100_000_000,
            bounds=forwarding.Bounds(
                self._fleet.bound,
                self._fleet.bound,
                10.0,
                requests.BudgetRules(),
                self._fleet.revocation_bound,
                self._fleet.quota_rules,
            ),
        )

    def settings_mark(self) -> object:
        return None

    def source(self, *_: object) -> forwarding.Source:
        return stores.Client(self._fleet.store, self._host)


@dataclasses.dataclass
class Fleet:
    """A fleet of ``vm_count`` VMs in ``domain_count`` failure domains.

    ``bound`` is the time in seconds within which a change must reach all
    daemons, ``service_for_host`` gives the service of the instance on a
    host. ``advertised_hosts`` holds addresses that daemons take for their
    own in place of those in the store. ``tasks`` are the running loops of
    each daemon, its feed first. ``upstream_pools`` replace the pools by
    which daemons reach their instances. ``policy_version`` is the version
    last published.
    """

    vm_count: int
    domain_count: int
    seed: int = 1
    bound: float = BOUND
    store: stores.Store = dataclasses.field(default_factory=stores.Store)
    network: networks.Network = dataclasses.field(
        default_factory=networks.Network
    )
    daemons: dict[str, _state.Daemon] = dataclasses.field(default_factory=dict)
    tasks: dict[str, list[asyncio.Task[None]]] = dataclasses.field(
        default_factory=dict
    )
    service_for_host: typing.Callable[[str], str] = lambda host: "s"
    idempotent: bool = True
    attempts_max: int = 2
    advertised_hosts: dict[str, str] = dataclasses.field(default_factory=dict)
    upstream_pools: dict[str, httpio.Pool] = dataclasses.field(
        default_factory=dict
    )
    policy_version: int = 0
    customers: tuple[policies.Customer, ...] | None = None
    revocation_bound: float | None = None
    quota_rules: quotas.Rules = dataclasses.field(default_factory=quotas.Rules)

    def service_of(self, host: str) -> str:
        """Return the service of the instance on a host."""
        return self.service_for_host(host)

    @property
    def regions(self) -> dict[str, str]:
        """The region of each failure domain."""
        return {f"d{domain}": "r" for domain in range(self.domain_count)}

    @property
    def hosts(self) -> list[str]:
        """All hosts, grouped by failure domain."""
        return [
            f"10.{domain}.0.{vm + 1}"
            for domain in range(self.domain_count)
            for vm in range(self.vm_count // self.domain_count)
        ]

    async def start(self, settle: float = 8.0) -> None:
        """Start all VMs together, and wait until the fleet has settled."""
        rng = random.Random(self.seed)
        self.publish_policy()
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            loop.call_later(0.3 * rng.random(), self.restart, host)
            loop.call_later(0.8 * rng.random(), self.write_instance, host)
        await asyncio.sleep(settle)

    def restart(self, host: str) -> None:
        """Start a host's daemon anew, with an empty state."""
        self.kill(host)
        self.network.dead_hosts.discard(host)
        loop = asyncio.get_running_loop()
        clock = loops.VirtualClock(typing.cast("loops.VirtualLoop", loop))
        dialect = Dialect(self, host, domain_of(host))
        daemon = _state.new_daemon(
            dialect,
            dialect.settings(),
            clock,
            random.Random(f"{self.seed} {host} {loop.time()}"),
            _events.Journal(_discard),
        )
        daemon.pools = networks.Pools(self.network, host)
        daemon.upstream = self.upstream_pools.get(host, daemon.upstream)
        self.daemons[host] = daemon
        self.network.handlers[host] = functools.partial(
            _inbound.handle, daemon
        )
        coroutines = (
            _sync.update_view_forever(daemon),
            _peers.pull_while_store_lost(daemon),
            _peers.compare_with_peers(daemon),
            _crash_broadcast.broadcast_forever(daemon),
            _tick_forever(daemon, self.network, host),
        )
        self.tasks[host] = [loop.create_task(each) for each in coroutines]

    def kill(self, host: str) -> None:
        """Stop a host's daemon; the host then refuses connections."""
        self.network.dead_hosts.add(host)
        for task in self.tasks.pop(host, []):
            task.cancel()
        stopped = self.daemons.pop(host, None)
        if stopped is not None:
            stopped.held_polls.clear()

    def pause(self, host: str, seconds: float) -> None:
        """Let a host's daemon run nothing for some seconds."""
        now = asyncio.get_running_loop().time()
        self.network.paused_until[host] = now + seconds

    def write_instance(
        self,
        host: str,
        state: views.InstanceState = views.InstanceState.READY,
        cold_seconds: float = 0.0,
        instance_id: str = "",
    ) -> None:
        """Write the store entry of the instance on a host."""
        instance = views.Instance(
            instance_id or f"i-{host}",
            self.service_of(host),
            host,
            80,
            1,
            domain_of(host),
            "r",
            8,
            state,
            cold_seconds,
        )
        self.store.put(instance.id, instance)

    def publish_policy(self) -> int:
        """Write the next policy to the store; return its version."""
        self.policy_version += 1
        routes = tuple(
            place.route(
                f"/{name}/",
                name,
                self.idempotent,
                attempts_max=self.attempts_max,
            )
            for name in sorted({self.service_of(host) for host in self.hosts})
        )
        self.store.put(
            "policy",
            policies.Policy(
                self.policy_version,
                routes,
                place.LIMITS,
                customers=self.customers,
            ),
        )
        return self.policy_version

    def hosts_behind(self) -> list[str]:
        """Return the live hosts that lack the policy last published."""
        return [
            host
            for host, daemon in self.daemons.items()
            if host not in self.network.frozen_hosts
            and policy_version_of(daemon) < self.policy_version
        ]

    async def measure_propagation(
        self, excluded: set[str] | None = None
    ) -> float:
        """Publish a policy; return the seconds until all hosts have it.

        Hosts in ``excluded`` need not receive it. The result is 30.0 if
        others still lack it by then.
        """
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self.publish_policy()
        while set(self.hosts_behind()) - (excluded or set()):
            await asyncio.sleep(0.01)
            if loop.time() > begun + 30.0:
                return 30.0
        return loop.time() - begun

    def first_reader(self, domain: str) -> str:
        """Return the first host of a failure domain that reads the store."""
        found = [
            host
            for host, daemon in self.daemons.items()
            if domain_of(host) == domain and feeds.reads_store(daemon.feed)
        ]
        return feeds.reader_hosts(found)[0]

    def store_readers(self) -> list[str]:
        """Return all hosts that read the store."""
        return [
            host
            for host, daemon in self.daemons.items()
            if feeds.reads_store(daemon.feed)
        ]

    def hosts_in_domain(self, domain: str) -> set[str]:
        """Return the hosts of a failure domain."""
        return {host for host in self.hosts if domain_of(host) == domain}

    def partition(self, hosts: set[str]) -> None:
        """Block the links between these hosts and all others."""
        rest = set(self.hosts) - hosts
        for one in hosts:
            for other in rest:
                self.network.blocked_links |= {(one, other), (other, one)}


def domain_of(host: str) -> str:
    """Return the failure domain of a host."""
    return "d" + host.split(".")[1]


def policy_version_of(daemon: _state.Daemon) -> int:
    """Return the version of the policy that a daemon has in force."""
    table = daemon.view.table
    return -1 if table is None else table.policy.version


async def _tick_forever(
    daemon: _state.Daemon, network: networks.Network, host: str
) -> None:
    while True:
        await asyncio.sleep(max(TICK_SECONDS, network.pause_seconds(host)))
        if network.pause_seconds(host):
            continue
        now = daemon.clock.monotonic()
        _callee.tick(daemon, now)
        _probes.tick(daemon, now)
        _polls.tick(daemon, now)
        _checks.tick(daemon, now)
        _quotas.tick(daemon, now)
        _crashes.tick(daemon, now)
        _learning.apply_news(daemon, views.expire(daemon.view, now), "time")


def _discard(data: bytes) -> int:
    return len(data)
