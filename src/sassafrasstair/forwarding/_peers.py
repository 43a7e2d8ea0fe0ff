"""Pulls changes from daemons that this one does not follow."""

from __future__ import annotations

import asyncio
import functools
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from collections import abc

PULL_INTERVAL_SECONDS = 0.3
"""Mean interval between two pulls while the store gives no answer."""
PINGS_WHEN_STALLED = 6
"""How many daemons of other failure domains a reader pings at once if the
store does not answer: in two domains, those that read the store or would be
the next to read it."""
ANSWER_TIMEOUT_SECONDS = 1.0
"""Timeout for an answer, which normally takes milliseconds."""
FIRST_ANSWERS_SECONDS = 0.5
"""For how long a starting daemon waits until its peers have answered whether
they have a later policy than the store: longer than the timeout of a
connection, so that an unreachable peer has failed by then."""


async def pull_while_store_lost(daemon: _state.Daemon) -> None:
    """Pull changes from peers while the store gives no answer.

    Only daemons that would read the store themselves do so, as the others
    follow one of those.
    """
    while True:
        await asyncio.sleep(
            PULL_INTERVAL_SECONDS * (0.5 + daemon.rng.random())
        )
        if _lacks_store(daemon):
            _pull_from_others(daemon)


async def compare_with_peers(daemon: _state.Daemon) -> None:
    """Compare this reader's view with those of other failure domains.

    A reader whose watch has stalled, or that is cut off from the store, would
    keep its whole failure domain behind. Such a reader pings several daemons,
    as any of them may be up to date. A reader that is not the only one of its
    failure domain also pings another of that, which does not know it.
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
        stalled = feeds.is_stalled(
            daemon.feed, daemon.view.store_answered_at, now
        )
        count = min(len(others), PINGS_WHEN_STALLED if stalled else 1)
        neighbours = _neighbouring_readers(daemon)
        for host in (
            *daemon.rng.sample(others, count),
            *daemon.rng.sample(neighbours, min(len(neighbours), 1)),
        ):
            ping(daemon, host, _crash_updates.header(daemon, host))


def _neighbouring_readers(daemon: _state.Daemon) -> tuple[str, ...]:
    """Return hosts that may read the store for this one's failure domain.

    If the store lists this host, they are those that precede it. Otherwise
    others do not count it, and the first of them reads the store, too.
    """
    feed = daemon.feed
    is_listed = feed.own_host in feed.hosts
    return feeds.reader_hosts(feed.earlier_hosts if is_listed else feed.hosts)


def notify_readers(daemon: _state.Daemon) -> None:
    """Tell this stand-in's revision to the readers of all failure domains.

    They may have lost the store, and their followers get changes from them.
    """
    own = [_polls.status_header(daemon)]
    own_domain = feeds.reader_hosts(daemon.feed.earlier_hosts)
    for host in (*own_domain, *daemon.foreign_readers):
        ping(daemon, host, _crash_updates.header(daemon, host), fields=own)


def receive_status(
    daemon: _state.Daemon,
    host: str,
    headers: abc.Mapping[bytes, bytes],
) -> None:
    """Apply the status in the headers of a stand-in's ping."""
    header = headers.get(_feed_wire.HEADER_LOWER)
    if header is None:
        return
    try:
        _, delta = _feed_wire.decode_answer(header, b"")
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    note_peer_content(daemon, host, delta.content)


async def ask_for_versions(daemon: _state.Daemon) -> None:
    """Ask peers which policy they have, and wait for their answers.

    These are daemons of this failure domain and readers of others, so that
    some of them have run for a while even if a domain has just started.
    """
    own_host = daemon.feed.own_host
    neighbours = feeds.reader_hosts(daemon.feed.hosts - {own_host})
    foreign = daemon.foreign_readers
    count = min(len(foreign), PINGS_WHEN_STALLED - len(neighbours))
    ended: list[asyncio.Future[None]] = []
    for host in (*neighbours, *daemon.rng.sample(foreign, count)):
        done = asyncio.get_running_loop().create_future()
        ended.append(done)
        ping(daemon, host, _crash_updates.header(daemon, host), done)
    if ended:
        await asyncio.wait(ended, timeout=FIRST_ANSWERS_SECONDS)


def note_peer_content(daemon: _state.Daemon, host: str, content: int) -> None:
    """Pull from a peer if its view stays newer than this one for a while."""
    if daemon.pulled_hosts or not views.is_behind(daemon.view, content):
        return
    daemon.pulled_hosts.add(host)
    now = daemon.clock.monotonic()
    knows_policy = views.knows_policy(daemon.view)
    last_answer_at = daemon.view.store_answered_at
    wait = (
        feeds.peer_ahead_limit(daemon.feed, last_answer_at, now)
        if knows_policy
        else 0.0
    )
    asyncio.get_running_loop().call_later(
        wait, _pull_if_behind, daemon, host, content
    )


def _lacks_store(daemon: _state.Daemon) -> bool:
    if not views.knows_policy(daemon.view):
        return True
    lost_seconds = views.lost_store_seconds(
        daemon.view, daemon.clock.monotonic()
    )
    return lost_seconds is not None and feeds.reads_store(daemon.feed)


def _pull_from_others(daemon: _state.Daemon) -> None:
    """Pull from the possible readers in this failure domain, and one more.

    All are asked at once, so that an unreachable host does not delay the
    others.
    """
    port = daemon.settings.daemons.port
    addresses = {
        _dialect.Address(host, port)
        for host in feeds.reader_hosts(
            {*daemon.feed.hosts, daemon.feed.own_host}
        )
        if host != daemon.feed.own_host
    }
    others = _other_addresses(daemon)
    if others:
        addresses.add(others[int(daemon.rng.random() * len(others))])
    for address in sorted(addresses, key=str):
        if address.host not in daemon.pulled_hosts:
            _pull(daemon, address)


def _other_addresses(daemon: _state.Daemon) -> list[_dialect.Address]:
    """Return the other daemons of this failure domain, or those of others.

    In a failure domain that is cut off, only its own daemons may have newer
    changes, so both are chosen equally often. Without any known daemon, the
    seeds are returned.
    """
    port = daemon.settings.daemons.port
    own_domain_hosts = [
        host for host in daemon.hosts if host in daemon.feed.hosts
    ]
    other_hosts = [
        host for host in daemon.hosts if host not in daemon.feed.hosts
    ]
    hosts = (
        (own_domain_hosts or other_hosts)
        if daemon.rng.random() < 0.5
        else (other_hosts or own_domain_hosts)
    )
    addresses = [_dialect.Address(host, port) for host in hosts]
    return addresses or list(daemon.settings.seeds)


def ping(
    daemon: _state.Daemon,
    host: str,
    header: tuple[bytes, bytes],
    done: asyncio.Future[None] | None = None,
    fields: abc.Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Send a ping with some headers, to learn the revision of a peer's view.

    ``done`` is set once the peer has answered or failed.
    """
    mark = (_feed_wire.SENDER_HEADER, daemon.process_mark)
    sent = [(b"Host", host.encode()), header, mark, *fields]
    head = httpio.request_head(b"GET", _wire.PING_PATH, sent, 0)
    asked_at = daemon.clock.monotonic()
    job = httpio.Job(
        head, functools.partial(_end_ping, daemon, host, asked_at, done)
    )
    _state.pool(daemon, host).send(job)
    asyncio.get_running_loop().call_later(
        ANSWER_TIMEOUT_SECONDS, _abort_if_unanswered, job
    )


def _end_ping(
    daemon: _state.Daemon,
    host: str,
    asked_at: float,
    done: asyncio.Future[None] | None,
    result: httpio.Response | httpio.Failure,
) -> None:
    _handle_pong(daemon, host, asked_at, result)
    if done is not None and not done.done():
        done.set_result(None)


def _handle_pong(
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
        header = result.headers.get(_feed_wire.HEADER_LOWER)
        if header is not None and not views.is_behind(
            daemon.view, state.content
        ):
            status, _ = _feed_wire.decode_answer(header, b"")
            now = daemon.clock.monotonic()
            views.note_peer_age(daemon.view, status.age_seconds, now)
        _confirmations.receive(daemon, result.headers, asked_at, state.content)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    note_peer_content(daemon, host, state.content)


def _pull_if_behind(daemon: _state.Daemon, host: str, content: int) -> None:
    daemon.pulled_hosts.discard(host)
    if views.is_behind(daemon.view, content):
        _pull(daemon, _dialect.Address(host, daemon.settings.daemons.port))


def _pull(daemon: _state.Daemon, address: _dialect.Address) -> None:
    """Poll a daemon for the changes that this one lacks."""
    daemon.pulled_hosts.add(address.host)
    header = _crash_updates.header(daemon, address.host)
    mark = (_feed_wire.SENDER_HEADER, daemon.process_mark)
    head = _feed_wire.poll_head(
        address.host, daemon.view.revision, 0.0, header, mark
    )
    asked_at = daemon.clock.monotonic()
    on_done = functools.partial(
        _handle_pull_result, daemon, address.host, asked_at
    )
    job = httpio.Job(head, on_done)
    if address.port == daemon.settings.daemons.port:
        connections = _state.pool(daemon, address.host)
    else:
        connections = httpio.Pool(
            address.host,
            address.port,
            daemon.clock,
            0.0,
            daemon.response_memory,
        )
    connections.send_on_new(job)
    asyncio.get_running_loop().call_later(
        ANSWER_TIMEOUT_SECONDS, _end_unanswered_pull, daemon, address.host, job
    )


def _end_unanswered_pull(
    daemon: _state.Daemon, host: str, job: httpio.Job
) -> None:
    if _abort_if_unanswered(job):
        daemon.pulled_hosts.discard(host)


def _abort_if_unanswered(job: httpio.Job) -> bool:
    """Abort a request without an answer; return whether it had none."""
    unanswered = job.awaited
    if unanswered:
        job.abort()
    return unanswered


def _handle_pull_result(
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
        news = _apply_answer(daemon, host, asked_at, result)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        return
    reads_store = feeds.reads_store(daemon.feed) and not _lacks_store(daemon)
    if news and reads_store:
        # The watch of this daemon should have delivered the changes.
        feeds.expedite_recheck(daemon.feed, daemon.clock.monotonic())
        daemon.feed_woken.set()


def _apply_answer(
    daemon: _state.Daemon,
    host: str,
    asked_at: float,
    result: httpio.Response,
) -> bool:
    header = result.headers.get(_feed_wire.HEADER_LOWER)
    if header is not None:
        status, delta = _feed_wire.decode_answer(header, result.body)
        news = _learning.take_delta(daemon, status, delta, host)
        _confirmations.receive(
            daemon, result.headers, asked_at, status.revision
        )
        return news
    # A daemon of the previous release sends its whole view.
    snapshot = _feed_wire.decode_snapshot(result.body)
    changes = views.adopt_snapshot(
        daemon.view, snapshot, daemon.clock.monotonic()
    )
    _learning.apply_news(daemon, changes, f"peer {host}")
    return bool(changes)
