"""Serves readiness, metrics and status pages to operators."""

from __future__ import annotations

import math
import typing

import msgspec

from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import load
from sassafrasstair.decisions import memory
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crashes
from sassafrasstair import resident

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions import policies
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

METRICS_PATH = b"/metrics"
FEED_PATH = b"/feed"
CRASHES_PATH = b"/crashes"
QUOTAS_PATH = b"/quotas"
STORE = "store"
_NOBODY = "nobody"


class FeedStatus(msgspec.Struct, frozen=True):
    """The source of a daemon's updates; ages and times in seconds.

    ``parent`` is the host that the daemon follows, ``store`` or ``nobody``,
    and ``since`` for how long. ``view_age`` is the time since the store last
    confirmed the view, and ``store_lost`` the time since the store was lost,
    None while it is reachable. ``revision`` is the store's revision,
    ``content`` that of the last change, and ``policy`` the policy's version,
    -1 without one. ``rank`` is the number of known hosts before this one,
    ``known`` that of all known hosts, and ``waiting`` that of held polls.
    ``avoided`` and ``lost`` are hosts that the daemon skips. ``era`` counts
    how often the store has been restored from an older copy.
    """

    parent: str
    since: float
    view_age: float
    store_lost: float | None
    revision: int
    content: int
    policy: int
    rank: int
    known: int
    waiting: int
    avoided: tuple[str, ...]
    lost: tuple[str, ...]
    era: int = 0


class CrashStatus(msgspec.Struct, frozen=True):
    """One crash that counts against a request; ``age`` is in seconds."""

    instance: str
    age: float


class SuspectStatus(msgspec.Struct, frozen=True):
    """An isolated or blocked request and why; see ``crashes.Verdict``.

    ``fingerprint`` identifies the request by its content. ``strikes`` is the
    number of crashes that count against it, and ``isolated`` the number of
    those in which it was the only suspect. ``familiar`` is set if an instance
    had completed the request before. ``blocked_for`` is the number of seconds
    for which this daemon still blocks it.
    """

    fingerprint: str
    standing: str
    strikes: int
    isolated: int
    familiar: bool
    blocked_for: float
    crashes: tuple[CrashStatus, ...]


class CustomerStatus(msgspec.Struct, frozen=True):
    """A customer with a limit, as this daemon knows it.

    ``rate`` is the limit and ``demand`` the rate of the customer's requests
    to this daemon, both in requests per second. ``tokens`` is the number of
    tokens available here. ``share`` is the part of the limit that this
    daemon allocates, None if another daemon is the allocator.
    """

    customer: str
    rate: float
    demand: float
    tokens: int
    share: float | None


class QuotasStatus(msgspec.Struct, frozen=True):
    """Quotas at one daemon.

    ``allocator`` is the host that grants tokens. ``policy_age`` is the number
    of seconds since the policy was confirmed to be the newest, None if it
    never was.
    """

    allocator: str
    policy_age: float | None
    customers: tuple[CustomerStatus, ...]


def serve(daemon: _state.Daemon, exchange: httpio.Exchange) -> None:
    """Answer one request of an operator or of the platform."""
    path = exchange.request.target.partition(b"?")[0]
    if path == daemon.dialect.ready_path:
        ready = views.knows_policy(daemon.view) and not daemon.leaving
        exchange.respond(200 if ready else 503, [], b"")
    elif path == METRICS_PATH:
        body = _counters.render(daemon.counters, _gauges(daemon))
        exchange.respond(200, [(b"Content-Type", b"text/plain")], body)
    elif path == CRASHES_PATH:
        body = msgspec.json.encode(suspects_status(daemon))
        exchange.respond(200, [(b"Content-Type", b"application/json")], body)
    elif path == QUOTAS_PATH:
        body = msgspec.json.encode(quotas_status(daemon))
        exchange.respond(200, [(b"Content-Type", b"application/json")], body)
    elif path == FEED_PATH:
        body = msgspec.json.encode(feed_status(daemon))
        exchange.respond(200, [(b"Content-Type", b"application/json")], body)
    else:
        exchange.respond(404, [], b"")


def feed_status(daemon: _state.Daemon) -> FeedStatus:
    """Return the current source of the daemon's updates."""
    view, feed = daemon.view, daemon.feed
    now = daemon.clock.monotonic()
    return FeedStatus(
        parent=parent_name(feed.parent),
        since=now - feed.parent_since,
        view_age=view_age(daemon, now),
        store_lost=views.lost_store_seconds(view, now),
        revision=views.number_in_era(view.revision),
        content=views.number_in_era(view.content_revision),
        policy=-1 if view.table is None else view.table.policy.version,
        rank=len(feed.earlier_hosts),
        known=len(feed.hosts),
        waiting=len(daemon.held_polls),
        avoided=_skipped_hosts(feed.avoided_until, now),
        lost=_skipped_hosts(feed.without_store_until, now),
        era=views.era_of(view.revision),
    )


def suspects_status(daemon: _state.Daemon) -> list[SuspectStatus]:
    """Return the requests that this daemon isolates or blocks, and why."""
    now = daemon.clock.monotonic()
    return [
        SuspectStatus(
            fingerprint=crashes.format_fingerprint(fingerprint),
            standing=verdict.standing.value,
            strikes=verdict.evidence.strikes,
            isolated=verdict.evidence.isolated,
            familiar=verdict.evidence.familiar,
            blocked_for=max(0.0, verdict.blocked_until - now),
            crashes=tuple(
                CrashStatus(crash.key[0], now - crash.crashed_at)
                for crash in verdict.evidence.crashes
            ),
        )
        for fingerprint, verdict in _crashes.suspects(daemon, now)
    ]


def quotas_status(daemon: _state.Daemon) -> QuotasStatus:
    """Return the customers with a limit, and the allocator of their tokens."""
    now = daemon.clock.monotonic()
    table = daemon.view.table
    customers = () if table is None else table.policy.customers or ()
    age = views.unconfirmed_seconds(daemon.view, now)
    return QuotasStatus(
        allocator=daemon.tokens.allocator,
        policy_age=None if math.isinf(age) else age,
        customers=tuple(
            _customer_status(daemon, customer, now)
            for customer in customers
            if customer.rate > 0.0
        ),
    )


def _customer_status(
    daemon: _state.Daemon, customer: policies.Customer, now: float
) -> CustomerStatus:
    stock = daemon.tokens.stocks.by_customer.get(customer.name)
    allocation = daemon.allocation
    share = None
    if allocation is not None and not allocation.allocator.shares.adopting:
        share = quotas.allocated_share(
            allocation.allocator, customer.name, now
        )
    return CustomerStatus(
        customer.name,
        customer.rate,
        0.0 if stock is None else quotas.demand_rate(stock, now),
        0 if stock is None else stock.tokens,
        share,
    )


def parent_name(parent: str | None) -> str:
    """Return the name of the followed host for logs and status pages."""
    return _NOBODY if parent is None else parent or STORE


def _gauges(daemon: _state.Daemon) -> dict[str, float]:
    table = daemon.view.table
    feed = daemon.feed
    now = daemon.clock.monotonic()
    standings = list(daemon.suspect_standings.values())
    return {
        "reads_store": int(feeds.reads_store(feed)),
        "feed_rank": len(feed.earlier_hosts),
        "feed_seconds": now - feed.parent_since,
        "view_age_seconds": view_age(daemon, now),
        "polls_held": len(daemon.held_polls),
        "policy_version": 0 if table is None else table.policy.version,
        "store_revision": views.number_in_era(daemon.view.revision),
        "store_era": views.era_of(daemon.view.revision),
        "calls_in_flight": len(daemon.calls),
        "runs_in_flight": len(daemon.executions),
        "instances_known": len(daemon.view.instances),
        "body_bytes_held": daemon.memory.held_bytes,
        **_response_gauges(daemon),
        "resident_bytes": resident.resident_bytes(),
        "memory_limit_bytes": daemon.settings.memory_bytes,
        "upstream_rate_limit": _rate_limit(daemon),
        "upstream_waiting": sum(
            len(guard.waiting) for guard in daemon.guards.values()
        ),
        "upstream_connections_opened": daemon.upstream.connections_opened,
        "leaving": int(daemon.leaving),
        "upstream_leaving": int(daemon.upstream_leaving),
        "allocates": int(daemon.allocation is not None),
        "requests_waiting_for_tokens": sum(
            map(len, daemon.tokens.waiting.values())
        ),
        "crashes_known": len(daemon.crash_ledger.crashes),
        "requests_suspected": standings.count(crashes.Standing.ISOLATED),
        "requests_blocked": standings.count(crashes.Standing.BLOCKED),
    }


def _response_gauges(daemon: _state.Daemon) -> dict[str, float]:
    """Return what is held of responses that arrive, and of unread ones."""
    held = daemon.response_memory.held_by_kind()
    unread = held.pop(memory.Kind.UNREAD)
    return {
        "response_bytes_held": sum(held.values()),
        "unread_bytes_held": unread,
    }


def _rate_limit(daemon: _state.Daemon) -> float:
    """Return the limit of this VM's upstream, -1 without one."""
    limits = [load.rate_limit(guard) for guard in daemon.guards.values()]
    lowest = min(limits, default=math.inf)
    return lowest if lowest < math.inf else -1.0


def view_age(daemon: _state.Daemon, now: float) -> float:
    """Return the age of the last answer of the store, in seconds.

    The answer may have come directly or through another daemon. Before the
    first one the age counts from the daemon's start.
    """
    return now - max(daemon.view.store_answered_at, daemon.feed.started_at)


def _skipped_hosts(
    skipped_until: dict[str, float], now: float
) -> tuple[str, ...]:
    return tuple(
        sorted(host for host, end in skipped_until.items() if end > now)
    )
