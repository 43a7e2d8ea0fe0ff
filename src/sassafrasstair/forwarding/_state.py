"""The state of one daemon, shared by the modules of this package."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import load
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import stops
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _events
from sassafrasstair.forwarding import _tokens
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair import clocks
    from sassafrasstair.decisions import memory
    from sassafrasstair.forwarding import _crash_updates
    from sassafrasstair.forwarding import _polls
    from sassafrasstair.forwarding import _records
    from sassafrasstair import notices

PEER_IDLE_SECONDS = 30.0
"""Time after which an idle connection to another daemon is closed."""
UPSTREAM_IDLE_SECONDS = 4.0
"""The same for connections to an upstream that announces no timeout."""
BODY_SHARE = 0.3
"""The fraction of the memory limit that request bodies may occupy."""
RESPONSE_SHARE = 0.2
"""The same for responses that arrive, or that clients have not read."""


@dataclasses.dataclass(slots=True)
class Daemon:
    """The state of one daemon.

    ``calls`` are the requests of clients in flight here. ``executions`` are
    the requests that run at this VM's upstream or wait for it, by key;
    ``execution_serial`` is the last key given. ``hosts``, ``services`` (a
    count) and ``least_importance`` are derived from the view whenever it
    changes.

    ``allowances`` hold the shares of requests that are admitted by their cost
    at services that are short of room, ``ledger`` what this VM's upstream's
    calls cost, and ``demand`` the work that arrives for the upstream. They
    are used if ``settings.admits_by_cost`` is set.

    ``gates`` hold the state of load shedding by route where costs are not
    known, ``callers`` the calls by route and calling service, ``chains`` the
    loads reported with answers on routes that only upstreams call, and
    ``parents`` the counts from which the rank of such a call is derived.
    ``retry_windows`` hold the retry budget of each service, which ``depths``
    divides among the hops of a chain, and ``pools`` the connections to other
    daemons by host. ``guards`` are keyed by an instance's id and start.

    ``broken_results`` are the results of executions whose connection broke,
    by key, until it is known whether the upstream crashed.
    ``completed_requests`` are requests completed here, the latest last, by
    method, host, target and body. ``completed_fingerprints`` are their
    fingerprints, computed only while crashes are known.

    ``crash_ledger`` holds the known crashes; peers have been sent its changes
    up to ``crash_sent_version``. ``crash_peers`` are the digests of peers, by
    host of those asked, by mark of those that ask. ``crash_changed`` and
    ``crash_urgent`` signal changes to be sent. ``suspect_standings`` are the
    standings of isolated and blocked requests, by fingerprint.

    ``last_notices`` hold what instances last said of themselves in their
    answers, by instance; those that say nothing are left out.

    ``tokens`` are the quota tokens of customers with a limit. ``allocation``
    is the allocator of the failure domain, if it runs in this daemon.

    ``refused_items`` maps the keys of unusable items of the store to their
    revisions. ``store_checks`` are the pending checks of the store.

    ``held_polls`` are the polls of other daemons that wait for changes, and
    ``encoded_answers`` the answers to them by the revision that they start
    from. ``feed_woken`` interrupts the feed's waiting. ``foreign_readers``
    are hosts in other failure domains.

    ``process_mark`` identifies this process in its polls and pings.
    ``pulled_hosts`` are hosts that are being asked for newer data.
    ``confirming_policy`` is set while only the policy is being read, and
    ``asking_versions`` while peers are asked which policy they have.

    ``header_names`` are the platform's names of header fields, and
    ``header_keys`` the same in lower case. ``leaving_since`` says since
    when an instance on this VM is known to leave, or its entry has vanished.
    ``leaving`` is set from SIGTERM
    on, and ``stop`` has the state of the stop; this VM's upstream still
    gets work until ``upstream_leaving`` is set. ``upstream_down`` is set
    while the upstream accepts no connections, and ``upstream_tried`` is the
    time of the last connection attempt. ``beats`` counts the ticks.
    """

    dialect: _dialect.Dialect
    settings: _dialect.Settings
    header_names: _dialect.HeaderNames
    header_keys: _dialect.HeaderNames
    clock: clocks.Clock
    rng: random.Random
    journal: _events.Journal
    counters: _counters.Counters
    memory: httpio.MemoryBudget
    response_memory: httpio.ResponseMemory
    source: _dialect.Source
    upstream: httpio.Pool
    view: views.View
    feed: feeds.Feed
    tokens: _tokens.Tokens
    routes: calls.Routes
    gates: admission.Admission = dataclasses.field(
        default_factory=admission.Admission
    )
    allowances: admission.Allowances = dataclasses.field(
        default_factory=admission.Allowances
    )
    ledger: costs.Ledger = dataclasses.field(default_factory=costs.Ledger)
    demand: costs.Demand = dataclasses.field(default_factory=costs.Demand)
    callers: admission.Callers = dataclasses.field(
        default_factory=admission.Callers
    )
    chains: admission.CalleeLoads = dataclasses.field(
        default_factory=admission.CalleeLoads
    )
    parents: admission.Parents = dataclasses.field(
        default_factory=admission.Parents
    )
    retry_windows: dict[str, requests.Window] = dataclasses.field(
        default_factory=dict
    )
    depths: requests.Depths = dataclasses.field(
        default_factory=requests.new_depths
    )
    guards: dict[tuple[str, int], load.Guard] = dataclasses.field(
        default_factory=dict
    )
    pools: dict[str, httpio.Pool] = dataclasses.field(default_factory=dict)
    calls: set[_records.Call] = dataclasses.field(default_factory=set)
    executions: dict[str, _records.Execution] = dataclasses.field(
        default_factory=dict
    )
    broken_results: dict[str, httpio.Response | httpio.Failure] = (
        dataclasses.field(default_factory=dict)
    )
    completed_requests: collections.OrderedDict[
        tuple[bytes, bytes, bytes, bytes], None
    ] = dataclasses.field(default_factory=collections.OrderedDict)
    completed_fingerprints: collections.OrderedDict[int, None] | None = None
    crash_ledger: crashes.Ledger = dataclasses.field(
        default_factory=crashes.new_ledger
    )
    suspect_standings: dict[int, crashes.Standing] = dataclasses.field(
        default_factory=dict
    )
    crash_peers: dict[str, _crash_updates.PeerDigest] = dataclasses.field(
        default_factory=dict
    )
    crash_sent_version: int = 0
    crash_changed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    crash_urgent: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    last_notices: dict[str, notices.Notice] = dataclasses.field(
        default_factory=dict
    )
    allocation: _tokens.Allocation | None = None
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    store_checks: set[asyncio.Future[int]] = dataclasses.field(
        default_factory=set
    )
    refused_items: dict[str, int] = dataclasses.field(default_factory=dict)
    hosts: list[str] = dataclasses.field(default_factory=list)
    foreign_readers: list[str] = dataclasses.field(default_factory=list)
    held_polls: list[_polls.HeldPoll] = dataclasses.field(default_factory=list)
    encoded_answers: dict[int, bytes] = dataclasses.field(default_factory=dict)
    feed_woken: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    services: int = 0
    least_importance: int = 0
    execution_serial: int = 0
    process_mark: bytes = b""
    leaving_since: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: bool = False
    stop: stops.Stop | None = None
    upstream_leaving: bool = False
    upstream_down: bool = False
    upstream_tried: float = 0.0
    beats: int = 0
    pulled_hosts: set[str] = dataclasses.field(default_factory=set)
    confirming_policy: bool = False
    asking_versions: bool = False


def new_daemon(
    dialect: _dialect.Dialect,
    settings: _dialect.Settings,
    clock: clocks.Clock,
    rng: random.Random,
    journal: _events.Journal,
) -> Daemon:
    """Create the state of a daemon that has not started."""
    domain = settings.failure_domain
    region = settings.regions.get(domain, "")
    counters = _counters.new_counters()
    response_memory = httpio.ResponseMemory(
        int(RESPONSE_SHARE * settings.memory_bytes),
        clock,
        functools.partial(_note_given_up, journal, counters),
    )
    return Daemon(
        dialect=dialect,
        settings=settings,
        header_names=dialect.names,
        header_keys=dialect.names.lowercased(),
        clock=clock,
        rng=rng,
        journal=journal,
        counters=counters,
        memory=httpio.MemoryBudget(int(BODY_SHARE * settings.memory_bytes)),
        response_memory=response_memory,
        source=dialect.source(settings, clock),
        upstream=_upstream_pool(settings, clock, response_memory),
        view=views.new_view(),
        feed=feeds.new_feed(
            settings.host, _timing(settings), clock.monotonic()
        ),
        routes=calls.Routes(domain, region, try_unreachable=False),
        allowances=admission.Allowances(least_share=settings.least_share),
        process_mark=b"%s.%08x" % (settings.vm.encode(), rng.getrandbits(32)),
        tokens=_tokens.Tokens(quotas.new_ballot(clock.monotonic())),
    )


def pool(daemon: Daemon, host: str) -> httpio.Pool:
    """Return the connection pool of the daemon at ``host``."""
    found = daemon.pools.get(host)
    if found is None:
        port = daemon.settings.daemons.port
        found = httpio.Pool(
            host,
            port,
            daemon.clock,
            PEER_IDLE_SECONDS,
            daemon.response_memory,
        )
        daemon.pools[host] = found
    return found


def _note_given_up(
    journal: _events.Journal,
    counters: _counters.Counters,
    kind: memory.Kind,
    size: int,
    peer: str,
) -> None:
    """Record who was given up, as responses held too much memory."""
    journal.request("memory_given_up", kind.value, bytes=size, peer=peer)
    _counters.count_given_up(counters, kind.value)


def apply_settings(daemon: Daemon, settings: _dialect.Settings) -> None:
    """Apply changed settings without interrupting requests in flight."""
    old = daemon.settings
    daemon.settings = settings
    daemon.feed.timing = _timing(settings)
    daemon.memory.limit = int(BODY_SHARE * settings.memory_bytes)
    daemon.response_memory.limit = int(RESPONSE_SHARE * settings.memory_bytes)
    daemon.allowances.least_share = settings.least_share
    if settings.upstream != old.upstream:
        daemon.upstream = _upstream_pool(
            settings, daemon.clock, daemon.response_memory
        )
    if settings.store != old.store:
        daemon.source.close()
        daemon.source = daemon.dialect.source(settings, daemon.clock)


def _timing(settings: _dialect.Settings) -> feeds.Timing:
    bounds = settings.bounds
    return feeds.timing_for_bound(
        min(bounds.drain_seconds, bounds.propagation_seconds),
        bounds.revocation_seconds,
    )


def slack_part(daemon: Daemon, service: str, hop: requests.Hop) -> float:
    """Return this daemon's part of a service's slack for retries."""
    return requests.slack_part(
        daemon.settings.bounds.budget,
        service,
        daemon.hosts,
        daemon.feed.own_host,
        hop,
    )


def update_slack_parts(daemon: Daemon) -> None:
    """Recompute the parts of the slack after the known daemons changed."""
    for service, window in daemon.retry_windows.items():
        window.slack = slack_part(daemon, service, window.hop)


def start_task(
    daemon: Daemon, work: typing.Coroutine[typing.Any, typing.Any, None]
) -> None:
    """Run ``work`` as a task, and keep a reference to it until it ends."""
    task = asyncio.get_running_loop().create_task(work)
    daemon.tasks.add(task)
    task.add_done_callback(daemon.tasks.discard)


def _upstream_pool(
    settings: _dialect.Settings,
    clock: clocks.Clock,
    memory: httpio.ResponseMemory,
) -> httpio.Pool:
    address = settings.upstream
    return httpio.Pool(
        address.host,
        address.port,
        clock,
        UPSTREAM_IDLE_SECONDS,
        memory,
        is_remote=False,
    )
