"""Keeps the view current, from the store or the daemon that is followed.

Each daemon follows one parent: a daemon that precedes it in the order of the
failure domain's hosts, or the store if no such daemon can be used. Its
followers are the daemons whose parent it is, and a peer is any other daemon.
The feed (``feeds.Feed``) is the state of following. ``_dialect`` is the
interface to the platform, whose store has the entries and the policy.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crash_updates
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _policy_checks
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _status
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

FAULT_SECONDS = 0.5
"""Pause after an internal error, before the next step."""
_T = typing.TypeVar("_T")
_Result = httpio.Response | httpio.Failure


async def update_view_forever(daemon: _state.Daemon) -> None:
    """Keep the view current until cancelled."""
    while True:
        daemon.feed_woken.clear()
        previous_parent = daemon.feed.parent
        step = feeds.next_step(daemon.feed, daemon.clock.monotonic())
        if daemon.feed.parent != previous_parent:
            _log_parent(daemon, previous_parent)
        try:
            await _run_step(daemon, step)
        except Exception as error:
            # An error must not end the feed of this daemon's followers.
            daemon.journal.note("feed_failed", error=repr(error))
            await asyncio.sleep(FAULT_SECONDS)


async def _run_step(daemon: _state.Daemon, step: feeds.Step) -> None:
    match step:
        case feeds.Sleep(seconds):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(daemon.feed_woken.wait(), seconds)
        case feeds.Poll(host, hold_seconds, timeout):
            poll = _poll_parent(daemon, host, hold_seconds, timeout)
            polled = await _run_until_woken(daemon, poll)
            if polled is not None:
                polled.result()
        case feeds.Read(stale):
            verb = "read_stale" if stale else "read"
            await _read_store(
                daemon, verb, daemon.source.read(stale), stale, None
            )
        case feeds.Watch(seconds):
            after = daemon.view.revision
            watch = daemon.source.watch(after, seconds)
            await _read_store(daemon, "watch", watch, False, after)


async def _read_store(
    daemon: _state.Daemon,
    verb: str,
    call: typing.Coroutine[typing.Any, typing.Any, _dialect.Reading],
    stale: bool,
    after: int | None,
) -> None:
    """Call the store and apply its answer.

    ``after`` is the revision from which a watch begins. The call is cancelled
    when ``feed_woken`` is set, so that the daemon does not wait for a stalled
    watch while peers have newer changes.
    """
    _counters.count_store_call(daemon.counters, verb)
    started_at = daemon.clock.monotonic()
    reading = await _run_until_woken(daemon, call)
    if reading is not None:
        _handle_reading(daemon, verb, started_at, reading, stale, after)
        if feeds.stands_in(daemon.feed):
            _peers.notify_readers(daemon)


async def _run_until_woken(
    daemon: _state.Daemon, call: typing.Coroutine[typing.Any, typing.Any, _T]
) -> asyncio.Future[_T] | None:
    """Return a call once it has ended; cancel it if ``feed_woken`` is set."""
    running = asyncio.ensure_future(call)
    woken = asyncio.ensure_future(daemon.feed_woken.wait())
    try:
        await asyncio.wait(
            (running, woken), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        woken.cancel()
        if not running.done():
            running.cancel()
    return running if running.done() else None


def _handle_reading(
    daemon: _state.Daemon,
    verb: str,
    started_at: float,
    reading: asyncio.Future[_dialect.Reading],
    stale: bool,
    after: int | None,
) -> None:
    """Apply the store's answer, or record that the call has failed.

    A full read that is not stale also confirms that the policy is the newest.
    """
    now = daemon.clock.monotonic()
    try:
        result = reading.result()
    except _dialect.SourceError as error:
        history_gone = error.reason is _dialect.SourceReason.HISTORY_GONE
        _learning.log_failed_call(daemon, verb, error, started_at)
        feeds.read_failed(daemon.feed, now, history_gone, daemon.rng)
        if history_gone:
            daemon.journal.note("store_history_gone")
        else:
            _learning.record_store_failure(
                daemon, now, error.reason.value, error.detail
            )
        return
    if stale:
        _learning.take_stale_reading(daemon, result)
    else:
        _learning.take_reading(daemon, result)
        _policy_checks.confirm_reading(daemon, result, started_at, after)
    feeds.read_done(daemon.feed, now, stale, bool(result.changes))


async def _poll_parent(
    daemon: _state.Daemon, host: str, hold_seconds: float, timeout: float
) -> None:
    """Poll the daemon that is followed for changes.

    The poll carries ``process_mark``, which identifies this process. In the
    answer, ``status.lost`` is for how many seconds the parent has considered
    the store lost, None if it is not lost. The loss is recorded here only if
    the parent to be chosen next has lost the store too. Otherwise that
    parent, or the store itself, may still answer.
    """
    crash_header = _crash_updates.header(daemon, host)
    sender_header = (_feed_wire.SENDER_HEADER, daemon.process_mark)
    after = daemon.view.revision
    head = _feed_wire.poll_head(
        host, after, hold_seconds, crash_header, sender_header
    )
    asked_at = daemon.clock.monotonic()
    result = await _send_poll(daemon, host, head, timeout)
    now = daemon.clock.monotonic()
    if isinstance(result, httpio.Failure):
        _handle_parent_failure(daemon, host, result.value)
        return
    if result.status == _feed_wire.LOOP_STATUS:
        _adopt_own_address(daemon, host)
        return
    status_header = result.headers.get(_feed_wire.HEADER_LOWER)
    if result.status != 200 or status_header is None:
        # A daemon of the previous release does not support long polling.
        _handle_parent_failure(daemon, host, f"status {result.status}")
        return
    try:
        status, delta = _feed_wire.decode_answer(status_header, result.body)
        doubt = _feed_wire.decode_doubt(result.headers)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        _handle_parent_failure(daemon, host, "malformed")
        return
    _crash_updates.receive(daemon, host, result.headers)
    was_in_doubt = _is_in_doubt(daemon, now)
    feeds.peer_answered(
        daemon.feed,
        host,
        status,
        daemon.view.content_revision,
        now,
        daemon.rng,
    )
    if status.lost is None:
        _learning.record_store_answer(daemon, now, status.age_seconds)
    elif feeds.upcoming_parent_lost_store(daemon.feed, now):
        _learning.record_store_failure(
            daemon, now - status.lost, "peers_lost", host
        )
    if doubt is not None and status.lost is None:
        feeds.parent_in_doubt(
            daemon.feed,
            doubt,
            daemon.view.store_answered_at,
            now,
            daemon.rng,
        )
    _learning.take_delta(daemon, status, delta, host)
    if _is_in_doubt(daemon, now) and not was_in_doubt:
        _polls.answer_all(daemon)
    try:
        _confirmations.receive(
            daemon, result.headers, asked_at, status.revision
        )
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))


def _is_in_doubt(daemon: _state.Daemon, now: float) -> bool:
    last_answer_at = daemon.view.store_answered_at
    doubt = feeds.doubt_seconds(daemon.feed, last_answer_at, now)
    return doubt is not None


async def _send_poll(
    daemon: _state.Daemon, host: str, head: bytes, timeout: float
) -> _Result:
    """Send a poll on a pooled connection; retry it once on a new one."""
    pool = _state.pool(daemon, host)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    result: _Result = httpio.Failure.LOST
    for send in (pool.send, pool.send_on_new):
        answer: asyncio.Future[_Result] = loop.create_future()
        job = httpio.Job(head, functools.partial(_set_result, answer))
        send(job)
        try:
            async with asyncio.timeout_at(deadline):
                result = await answer
        except TimeoutError:
            # Other pooled connections to the daemon may hang as well.
            pool.drop_idle()
            return httpio.Failure.LOST
        finally:
            if job.awaited:
                job.abort()
        # A reset connection does not show that the daemon has failed.
        if result is not httpio.Failure.LOST:
            return result
    return result


def _set_result(answer: asyncio.Future[_Result], result: _Result) -> None:
    if not answer.done():
        answer.set_result(result)


def _handle_parent_failure(
    daemon: _state.Daemon, host: str, reason: str
) -> None:
    now = daemon.clock.monotonic()
    feeds.peer_failed(daemon.feed, host, now, daemon.rng)
    _counters.count_state_change(daemon.counters, "parent_lost")
    daemon.journal.note("parent_lost", peer=host, reason=reason)


def _adopt_own_address(daemon: _state.Daemon, host: str) -> None:
    """Use ``host`` as the address of this daemon, as the store does.

    The daemon at ``host`` answers with ``LOOP_STATUS`` only if the poll has
    that daemon's own ``process_mark``. The poll has the mark of this process,
    so ``host`` is this daemon.
    """
    daemon.journal.note("follows_itself", peer=host, own=daemon.feed.own_host)
    feeds.adopt_address(daemon.feed, host)


def _log_parent(daemon: _state.Daemon, previous_parent: str | None) -> None:
    """Log which daemon, or the store, is followed from now on.

    The logged ``rank`` is the number of hosts that precede this one in the
    failure domain.
    """
    feed = daemon.feed
    _counters.count_state_change(daemon.counters, "parent_changed")
    daemon.journal.note(
        "follows",
        parent=_status.parent_name(feed.parent),
        before=_status.parent_name(previous_parent),
        rank=len(feed.earlier_hosts),
        known=len(feed.hosts),
        revision=views.number_in_era(daemon.view.revision),
    )
