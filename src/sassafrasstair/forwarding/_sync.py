"""Keeping the view: from the store, and from peers where it is away."""

from __future__ import annotations

import asyncio
import functools
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from collections import abc

WATCH_SECONDS = 5.0
"""How long one watch waits. Each is a call that counts against the store's
rate, and a store that falls silent is noticed only at its end; peers tell
sooner, with each request."""
WATCH_SECONDS_A_HOST = 0.02
"""More hosts wait longer each, so that the calls of all stay bounded."""
RETRY_SECONDS = 0.25
RETRY_SECONDS_MAX = 1.0
"""Between two calls to a store that does not answer."""
BEHIND_SECONDS = 0.6
"""Left to the own watch, its pace included, before a peer is asked."""
ASK_SECONDS = 0.3
"""Between two questions to peers while the store is away."""
PACE_SECONDS = 0.4
PACE_SECONDS_A_HOST = 0.001
"""Between two watches: changes come in series (entries of cold instances
change with each heartbeat), and one call brings all. A change may be seen so
much later, against bounds of 2 s. The more hosts, the longer, since each
change ends the watches of all: 1,300 hosts that start together would else
make 26,000 calls a second of 2,000."""


REFUSED_KEPT = 1_000
"""Keys of unusable items whose revision is remembered, so that each is
logged once."""
KEY_SHOWN = 200
"""Characters of a key or reason in a log line; the store takes no longer
keys."""


async def follow(daemon: _state.Daemon) -> None:
    """Follow the store until cancelled."""
    pause = RETRY_SECONDS
    whole = True
    while True:
        try:
            reading = await _read(daemon, whole)
        except _dialect.SourceError as error:
            whole = whole or error.reason is _dialect.SourceReason.HISTORY_GONE
            if error.reason is _dialect.SourceReason.HISTORY_GONE:
                daemon.journal.note("store_history_gone")
                continue
            _failed(daemon, error)
            await asyncio.sleep(pause * (0.5 + daemon.rng.random()))
            pause = min(RETRY_SECONDS_MAX, 2.0 * pause)
            continue
        pause = RETRY_SECONDS
        whole = False
        _took(daemon, reading)
        pace = PACE_SECONDS + PACE_SECONDS_A_HOST * len(daemon.hosts)
        await asyncio.sleep(pace)


async def ask_peers(daemon: _state.Daemon) -> None:
    """While the store is away, ask peers what they know."""
    while True:
        await asyncio.sleep(ASK_SECONDS * (0.5 + daemon.rng.random()))
        now = daemon.clock.monotonic()
        away = daemon.view.failing < now or not views.knows(daemon.view)
        if not away or daemon.pulling:
            continue
        hosts = [
            _dialect.Address(host, daemon.settings.daemons.port)
            for host in daemon.hosts
        ]
        hosts = hosts or list(daemon.settings.seeds)
        if hosts:
            pull(daemon, hosts[int(daemon.rng.random() * len(hosts))])


def heard(daemon: _state.Daemon, host: str, content: int) -> None:
    """Note what a peer knows; ask it if that stays more for a moment."""
    if content <= daemon.view.content or daemon.pulling:
        return
    daemon.pulling = True
    wait = BEHIND_SECONDS if views.knows(daemon.view) else 0.0
    asyncio.get_running_loop().call_later(
        wait, _pull_if_behind, daemon, host, content
    )


def pull(daemon: _state.Daemon, address: _dialect.Address) -> None:
    """Ask a daemon for its view."""
    daemon.pulling = True
    target = b"%s?after=%d" % (_wire.VIEW_PATH, daemon.view.content)
    head = httpio.request_head(
        b"GET", target, [(b"Host", address.host.encode())], 0
    )
    job = httpio.Job(head, functools.partial(_pulled, daemon, address.host))
    if address.port == daemon.settings.daemons.port:
        connections = _state.pool(daemon, address.host)
    else:
        connections = httpio.Pool(
            address.host, address.port, daemon.clock, 0.0
        )
    connections.send_on_new(job)
    asyncio.get_running_loop().call_later(1.0, _pull_timeout, daemon, job)


def _pull_if_behind(daemon: _state.Daemon, host: str, content: int) -> None:
    daemon.pulling = False
    if views.is_behind(daemon.view, content):
        pull(daemon, _dialect.Address(host, daemon.settings.daemons.port))


def _pull_timeout(daemon: _state.Daemon, job: httpio.Job) -> None:
    if job.wanted:
        job.abort()
        daemon.pulling = False


def _pulled(
    daemon: _state.Daemon,
    host: str,
    result: httpio.Response | httpio.Failure,
) -> None:
    daemon.pulling = False
    if isinstance(result, httpio.Failure) or result.status != 200:
        return
    try:
        snapshot = _wire.decode_snapshot(result.body)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    now = daemon.clock.monotonic()
    told = views.adopt(daemon.view, snapshot, now)
    if told:
        learned(daemon, told, f"peer {host}")


async def _read(daemon: _state.Daemon, whole: bool) -> _dialect.Reading:
    if whole:
        return await daemon.source.read()
    wait = WATCH_SECONDS + WATCH_SECONDS_A_HOST * len(daemon.hosts)
    return await daemon.source.watch(daemon.view.revision, wait)


def _took(daemon: _state.Daemon, reading: _dialect.Reading) -> None:
    now = daemon.clock.monotonic()
    if views.source_answered(daemon.view, now):
        _counters.believed(daemon.counters, "store_back")
        daemon.journal.note("store_back", revision=reading.revision)
    _note_refused(daemon, reading.refused)
    take = views.replace if reading.whole else views.apply
    told = take(
        daemon.view, reading.changes, reading.revision, reading.content, now
    )
    learned(daemon, told, "store")


def _note_refused(
    daemon: _state.Daemon, refused: abc.Iterable[_dialect.Refusal]
) -> None:
    """Log and count each item that could not be used, once a revision."""
    for refusal in refused:
        if refusal.key and not _is_new(daemon, refusal):
            continue
        reason = refusal.reason.partition(":")[0]
        _counters.refused(daemon.counters, reason)
        daemon.journal.request(
            "item_refused",
            reason,
            key=refusal.key[:KEY_SHOWN],
            revision=refusal.revision,
            detail=refusal.reason[:KEY_SHOWN],
        )


def _is_new(daemon: _state.Daemon, refusal: _dialect.Refusal) -> bool:
    """Return whether the item had not been refused at this revision."""
    if daemon.refused.get(refusal.key) == refusal.revision:
        return False
    daemon.refused.pop(refusal.key, None)
    daemon.refused[refusal.key] = refusal.revision
    if len(daemon.refused) > REFUSED_KEPT:
        del daemon.refused[next(iter(daemon.refused))]
    return True


def _failed(daemon: _state.Daemon, error: _dialect.SourceError) -> None:
    now = daemon.clock.monotonic()
    if views.source_failed(daemon.view, now):
        _counters.believed(daemon.counters, "store_lost")
        daemon.journal.note(
            "store_lost",
            reason=error.reason,
            detail=error.detail,
            revision=daemon.view.revision,
        )


def learned(
    daemon: _state.Daemon,
    told: abc.Sequence[tuple[views.News, str]],
    source: str,
) -> None:
    """Log what became different and take it into use."""
    view = daemon.view
    for news, key in told:
        _counters.believed(daemon.counters, news.value)
        if news is views.News.RESTARTED:
            calls.restarted(daemon.routes, key, daemon.clock.monotonic())
        if news is views.News.POLICY and view.table is not None:
            daemon.journal.note(
                "policy_in_force",
                version=view.table.policy.version,
                routes=len(view.table.policy.routes),
                revision=view.revision,
                source=source,
            )
        else:
            daemon.journal.note(
                news.value,
                instance=key,
                revision=view.revision,
                source=source,
                **_shown(views.instance(view, key)),
            )
    if told:
        daemon.hosts = views.neighbours(view, daemon.settings.daemons.host)
        daemon.services = views.count_services(view)
        daemon.least_importance = views.least_importance(view)


def _shown(known: views.Instance | None) -> dict[str, str | int | float]:
    """Return what a log line tells of an instance.

    Two entries with one address, or one instance with few slots, explain
    failures that the id alone does not.
    """
    if known is None:
        return {}
    return {
        "service": known.service,
        "address": f"{known.host}:{known.port}",
        "slots": known.slots,
        "cold": known.cold_seconds,
        "born": known.born,
    }
