"""The state of one daemon, shared by the parts of its path."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import load
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _events
from sassafrasstair.forwarding import _tokens
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair import clocks
    from sassafrasstair.forwarding import _crash_updates
    from sassafrasstair.forwarding import _polls
    from sassafrasstair.forwarding import _records

PEER_IDLE_SECONDS = 30.0
"""For how long a connection between daemons is kept without a request."""
UPSTREAM_IDLE_SECONDS = 4.0
"""The same towards the upstream, where it does not tell a time."""
BODY_SHARE = 0.3
"""The part of the memory limit that request bodies may take."""


@dataclasses.dataclass(slots=True)
class Daemon:
    """One daemon.

    ``calls`` are under way here as the entrance, ``runs`` at the own
    upstream or waiting for it, by their keys. ``hosts``, ``services`` and
    ``least_importance`` are taken from the view whenever it changes.

    ``guards`` are by instance and when its run started.

    ``broken`` are runs whose connection broke, by their keys, until it is
    known whether the upstream has crashed. ``familiar`` are requests that
    were completed here, the latest last, by method, host, target and body;
    ``familiar_prints`` their fingerprints while crashes are known.

    ``tokens`` are those of customers with a limit, ``allocation`` the
    allocator of the failure domain if it runs here.

    ``ledger`` holds the known crashes, of which peers were sent all up to
    ``crash_sent_version``; ``crash_peers`` are the digests of peers by host.
    ``standings`` are those of requests that may not run freely.

    ``refused`` are keys of the store's unusable items, by their revision.

    ``checks`` are those under way that the store answers.

    ``polls`` of other daemons wait for news, ``encoded`` are answers to
    them by the content that was asked from, and ``woken`` ends what the
    feed waits for. ``foreign_readers`` are hosts in other failure domains.

    ``mark`` names this process in its polls. ``pulling`` are hosts that are
    being asked for what they know more, ``confirming`` while the policy alone
    is read.

    ``names`` are those of header fields, and ``keys`` the same lower-cased.
    ``leaving`` after SIGTERM; the own upstream still takes work until
    ``upstream_leaving``.
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
    source: _dialect.Source
    upstream: httpio.Pool
    view: views.View
    feed: feeds.Feed
    routes: calls.Routes
    gates: admission.Admission = dataclasses.field(
        default_factory=admission.Admission
    )
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
    tokens: _tokens.Tokens = dataclasses.field(default_factory=_tokens.Tokens)
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
    leaving: bool = False
    upstream_leaving: bool = False
    upstream_down: bool = False
    upstream_tried: float = 0.0
    pulled_hosts: set[str] = dataclasses.field(default_factory=set)
    confirming_policy: bool = False


def new_daemon(
    dialect: _dialect.Dialect,
    settings: _dialect.Settings,
    clock: clocks.Clock,
    rng: random.Random,
    journal: _events.Journal,
) -> Daemon:
    """Return a daemon that has not started."""
    domain = settings.failure_domain
    region = settings.regions.get(domain, "")
    return Daemon(
        dialect=dialect,
        settings=settings,
        header_names=dialect.names,
        header_keys=dialect.names.lowercased(),
        clock=clock,
        rng=rng,
        journal=journal,
        counters=_counters.new_counters(),
        memory=httpio.MemoryBudget(int(BODY_SHARE * settings.memory_bytes)),
        source=dialect.source(settings, clock),
        upstream=_upstream_pool(settings, clock),
        view=views.new_view(),
        feed=feeds.new_feed(
            settings.host, _timing(settings), clock.monotonic()
        ),
        routes=calls.Routes(domain, region, try_unreachable=False),
        process_mark=b"%s.%08x" % (settings.vm.encode(), rng.getrandbits(32)),
    )


def pool(daemon: Daemon, host: str) -> httpio.Pool:
    """Return the connections to the daemon at ``host``."""
    found = daemon.pools.get(host)
    if found is None:
        port = daemon.settings.daemons.port
        found = httpio.Pool(host, port, daemon.clock, PEER_IDLE_SECONDS)
        daemon.pools[host] = found
    return found


def apply_settings(daemon: Daemon, settings: _dialect.Settings) -> None:
    """Take settings that have changed; what is under way is not cut."""
    old = daemon.settings
    daemon.settings = settings
    daemon.feed.timing = _timing(settings)
    daemon.memory.limit = int(BODY_SHARE * settings.memory_bytes)
    if settings.upstream != old.upstream:
        daemon.upstream = _upstream_pool(settings, daemon.clock)
    if settings.store != old.store:
        daemon.source.close()
        daemon.source = daemon.dialect.source(settings, daemon.clock)


def _timing(settings: _dialect.Settings) -> feeds.Timing:
    bounds = settings.bounds
    return feeds.timing_for_bound(
        min(bounds.drain_seconds, bounds.propagation_seconds),
        bounds.revocation_seconds,
    )


def slack_part(daemon: Daemon, service: str) -> float:
    """Return this daemon's part of a service's slack for repeats."""
    return requests.slack_part(
        daemon.settings.bounds.budget,
        service,
        daemon.hosts,
        daemon.feed.own_host,
    )


def update_slack_parts(daemon: Daemon) -> None:
    """Take anew the parts of the slack: other daemons are known."""
    for service, window in daemon.retry_windows.items():
        window.slack = slack_part(daemon, service)


def start_task(
    daemon: Daemon, work: typing.Coroutine[typing.Any, typing.Any, None]
) -> None:
    """Run ``work`` beside the loop's callbacks until it ends."""
    task = asyncio.get_running_loop().create_task(work)
    daemon.tasks.add(task)
    task.add_done_callback(daemon.tasks.discard)


def _upstream_pool(
    settings: _dialect.Settings, clock: clocks.Clock
) -> httpio.Pool:
    address = settings.upstream
    return httpio.Pool(
        address.host, address.port, clock, UPSTREAM_IDLE_SECONDS
    )
