"""Learning from daemons that are not followed, when they know more."""

from __future__ import annotations

import asyncio
import functools

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

ASK_SECONDS = 0.3
"""Between two questions to peers while the store is away."""
ASKED_WHEN_DEAF = 6
"""Daemons of other failure domains that a deaf reader asks at once: those of
two domains that read, or would next."""
ANSWER_SECONDS = 1.0
"""For the answer to one; it takes milliseconds."""


async def pull_while_store_lost(daemon: _state.Daemon) -> None:
    """Ask others for what they know while the store gives no answer.

    Only a daemon that would read the store itself does: the others follow
    one that does.
    """
    while True:
        await asyncio.sleep(ASK_SECONDS * (0.5 + daemon.rng.random()))
        if _is_lost(daemon):
            _ask_others(daemon)


async def compare_with_peers(daemon: _state.Daemon) -> None:
    """Hear from time to time how far another failure domain's view goes.

    A reader whose watch has stalled, or that is cut off from the store, would
    keep its whole domain behind. It asks several: any may be up to date.
    """
    while True:
        pause = daemon.feed.timing.compare_interval * (
            0.5 + daemon.rng.random()
        )
        await asyncio.sleep(pause)
        if not feeds.reads_store(daemon.feed):
            continue
        others = daemon.foreign_readers
        now = daemon.clock.monotonic()
        deaf = feeds.is_stalled(
            daemon.feed, daemon.view.store_answered_at, now
        )
        count = min(len(others), ASKED_WHEN_DEAF if deaf else 1)
        for host in daemon.rng.sample(others, count):
            ping(daemon, host, _crash_updates.header(daemon, host))


def note_peer_content(daemon: _state.Daemon, host: str, content: int) -> None:
    """Note what a peer knows; ask it if that stays more for a moment."""
    if daemon.pulled_hosts or not views.is_behind(daemon.view, content):
        return
    daemon.pulled_hosts.add(host)
    now = daemon.clock.monotonic()
    known = views.knows_policy(daemon.view)
    heard_at = daemon.view.store_answered_at
    wait = feeds.peer_ahead_limit(daemon.feed, heard_at, now) if known else 0.0
    asyncio.get_running_loop().call_later(
        wait, _pull_if_behind, daemon, host, content
    )


def _is_lost(daemon: _state.Daemon) -> bool:
    if not views.knows_policy(daemon.view):
        return True
    lost = views.lost_store_seconds(daemon.view, daemon.clock.monotonic())
    return lost is not None and feeds.reads_store(daemon.feed)


def _ask_others(daemon: _state.Daemon) -> None:
    """Ask those of the own domain that may read the store, and one more.

    A host that can't be reached must not keep the others from being asked.
    """
    port = daemon.settings.daemons.port
    asked = {
        _dialect.Address(host, port)
        for host in feeds.reader_hosts(
            {*daemon.feed.hosts, daemon.feed.own_host}
        )
        if host != daemon.feed.own_host
    }
    others = _elsewhere(daemon)
    if others:
        asked.add(others[int(daemon.rng.random() * len(others))])
    for address in sorted(asked, key=str):
        if address.host not in daemon.pulled_hosts:
            _pull(daemon, address)


def _elsewhere(daemon: _state.Daemon) -> list[_dialect.Address]:
    """Return whom to ask: another failure domain, the own one, or the seeds.

    In a domain that is cut off only its own daemons may know more. Each is
    asked about as often.
    """
    port = daemon.settings.daemons.port
    near = [host for host in daemon.hosts if host in daemon.feed.hosts]
    far = [host for host in daemon.hosts if host not in daemon.feed.hosts]
    hosts = (near or far) if daemon.rng.random() < 0.5 else (far or near)
    found = [_dialect.Address(host, port) for host in hosts]
    return found or list(daemon.settings.seeds)


def ping(daemon: _state.Daemon, host: str, told: tuple[bytes, bytes]) -> None:
    """Ask a daemon how far its view goes, and tell it one field."""
    fields = [(b"Host", host.encode()), told]
    head = httpio.request_head(b"GET", _wire.PING_PATH, fields, 0)
    asked_at = daemon.clock.monotonic()
    job = httpio.Job(head, functools.partial(_ponged, daemon, host, asked_at))
    _state.pool(daemon, host).send(job)
    asyncio.get_running_loop().call_later(ANSWER_SECONDS, _give_up, job)


def _ponged(
    daemon: _state.Daemon,
    host: str,
    asked_at: float,
    result: httpio.Response | httpio.Failure,
) -> None:
    if isinstance(result, httpio.Failure):
        return
    _crash_updates.receive(daemon, host, result.headers)
    try:
        state = _wire.decode_state(
            result.headers.get(_wire.STATE_HEADER_LOWER, b"")
        )
        field = result.headers.get(_feed_wire.HEADER_LOWER)
        if field is not None and not views.is_behind(
            daemon.view, state.content
        ):
            status, _ = _feed_wire.decode_answer(field, b"")
            now = daemon.clock.monotonic()
            views.note_peer_age(daemon.view, status.age_seconds, now)
        _confirmations.receive(daemon, result.headers, asked_at)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    note_peer_content(daemon, host, state.content)


def _pull_if_behind(daemon: _state.Daemon, host: str, content: int) -> None:
    daemon.pulled_hosts.discard(host)
    if views.is_behind(daemon.view, content):
        _pull(daemon, _dialect.Address(host, daemon.settings.daemons.port))


def _pull(daemon: _state.Daemon, address: _dialect.Address) -> None:
    """Ask a daemon for what it knows more."""
    daemon.pulled_hosts.add(address.host)
    told = _crash_updates.header(daemon, address.host)
    head = _feed_wire.poll_head(address.host, daemon.view.revision, 0.0, told)
    asked_at = daemon.clock.monotonic()
    done = functools.partial(_pulled, daemon, address.host, asked_at)
    job = httpio.Job(head, done)
    if address.port == daemon.settings.daemons.port:
        connections = _state.pool(daemon, address.host)
    else:
        connections = httpio.Pool(
            address.host, address.port, daemon.clock, 0.0
        )
    connections.send_on_new(job)
    asyncio.get_running_loop().call_later(
        ANSWER_SECONDS, _pull_timeout, daemon, address.host, job
    )


def _pull_timeout(daemon: _state.Daemon, host: str, job: httpio.Job) -> None:
    if _give_up(job):
        daemon.pulled_hosts.discard(host)


def _give_up(job: httpio.Job) -> bool:
    """Cut a question that has no answer; return whether it had none."""
    late = job.awaited
    if late:
        job.abort()
    return late


def _pulled(
    daemon: _state.Daemon,
    host: str,
    asked_at: float,
    result: httpio.Response | httpio.Failure,
) -> None:
    daemon.pulled_hosts.discard(host)
    if isinstance(result, httpio.Failure) or result.status != 200:
        return
    _crash_updates.receive(daemon, host, result.headers)
    try:
        news = _take(daemon, host, result)
        _confirmations.receive(daemon, result.headers, asked_at)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    doubtful = feeds.reads_store(daemon.feed) and not _is_lost(daemon)
    if news and doubtful:
        # The own watch should have told it.
        feeds.expedite_recheck(daemon.feed, daemon.clock.monotonic())
        daemon.feed_woken.set()


def _take(daemon: _state.Daemon, host: str, result: httpio.Response) -> bool:
    field = result.headers.get(_feed_wire.HEADER_LOWER)
    if field is not None:
        status, delta = _feed_wire.decode_answer(field, result.body)
        return _learning.take_delta(daemon, status, delta, host)
    # A daemon of the version before tells all that it knows.
    snapshot = _feed_wire.decode_snapshot(result.body)
    told = views.adopt_snapshot(
        daemon.view, snapshot, daemon.clock.monotonic()
    )
    _learning.apply_news(daemon, told, f"peer {host}")
    return bool(told)
