"""Keeping the view: from the store, or from the daemon that is followed."""

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
from sassafrasstair.forwarding import _policy_checks
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _status
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

FAULT_SECONDS = 0.5
"""After a fault of our own, until the next step."""
_Result = httpio.Response | httpio.Failure


async def update_view_forever(daemon: _state.Daemon) -> None:
    """Keep the view until cancelled."""
    while True:
        daemon.feed_woken.clear()
        before = daemon.feed.parent
        step = feeds.next_step(daemon.feed, daemon.clock.monotonic())
        if daemon.feed.parent != before:
            _note_parent(daemon, before)
        try:
            await _take(daemon, step)
        except Exception as error:
            # One fault must not end the feed of all who follow this daemon.
            daemon.journal.note("feed_failed", error=repr(error))
            await asyncio.sleep(FAULT_SECONDS)


async def _take(daemon: _state.Daemon, step: feeds.Step) -> None:
    match step:
        case feeds.Sleep(seconds):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(daemon.feed_woken.wait(), seconds)
        case feeds.Poll(host, hold, within):
            await _ask(daemon, host, hold, within)
        case feeds.Read(stale):
            verb = "read_stale" if stale else "read"
            await _read(daemon, verb, daemon.source.read(stale), stale, None)
        case feeds.Watch(seconds):
            after = daemon.view.revision
            watch = daemon.source.watch(after, seconds)
            await _read(daemon, "watch", watch, False, after)


async def _read(
    daemon: _state.Daemon,
    verb: str,
    call: typing.Coroutine[typing.Any, typing.Any, _dialect.Reading],
    stale: bool,
    after: int | None,
) -> None:
    """Call the store and take its answer.

    ``after`` is where a watch begins. Ended when something stirs the daemon,
    so that a watch that hears nothing while peers know more is not waited
    for.
    """
    _counters.count_store_call(daemon.counters, verb)
    begun = daemon.clock.monotonic()
    reading = asyncio.ensure_future(call)
    woken = asyncio.ensure_future(daemon.feed_woken.wait())
    try:
        await asyncio.wait(
            (reading, woken), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        woken.cancel()
        if not reading.done():
            reading.cancel()
    if reading.done():
        _took(daemon, verb, begun, reading, stale, after)


def _took(
    daemon: _state.Daemon,
    verb: str,
    begun: float,
    reading: asyncio.Future[_dialect.Reading],
    stale: bool,
    after: int | None,
) -> None:
    now = daemon.clock.monotonic()
    try:
        found = reading.result()
    except _dialect.SourceError as error:
        gone = error.reason is _dialect.SourceReason.HISTORY_GONE
        _learning.log_failed_call(daemon, verb, error, begun)
        feeds.read_failed(daemon.feed, now, gone, daemon.rng)
        if gone:
            daemon.journal.note("store_history_gone")
        else:
            _learning.record_store_failure(
                daemon, now, error.reason.value, error.detail
            )
        return
    if stale:
        _learning.take_stale_reading(daemon, found)
    else:
        _learning.take_reading(daemon, found)
        _policy_checks.confirm_reading(daemon, found, begun, after)
    feeds.read_done(daemon.feed, now, stale, bool(found.changes))


async def _ask(
    daemon: _state.Daemon, host: str, hold: float, within: float
) -> None:
    """Ask the daemon that is followed for what is new."""
    told = _crash_updates.header(daemon, host)
    sender = (_feed_wire.SENDER_HEADER, daemon.process_mark)
    after = daemon.view.revision
    head = _feed_wire.poll_head(host, after, hold, told, sender)
    asked_at = daemon.clock.monotonic()
    result = await _exchange(daemon, host, head, within)
    now = daemon.clock.monotonic()
    if isinstance(result, httpio.Failure):
        _fell_silent(daemon, host, result.value)
        return
    if result.status == _feed_wire.LOOP_STATUS:
        _adopt_own_address(daemon, host)
        return
    field = result.headers.get(_feed_wire.HEADER_LOWER)
    if result.status != 200 or field is None:
        # A daemon of the version before, which can't be waited at.
        _fell_silent(daemon, host, f"status {result.status}")
        return
    try:
        status, delta = _feed_wire.decode_answer(field, result.body)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))
        _fell_silent(daemon, host, "malformed")
        return
    _crash_updates.receive(daemon, host, result.headers)
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
    _learning.take_delta(daemon, status, delta, host)
    try:
        _confirmations.receive(daemon, result.headers, asked_at)
    except _wire.WireError as error:
        daemon.journal.note("peer_malformed", peer=host, error=str(error))


async def _exchange(
    daemon: _state.Daemon, host: str, head: bytes, within: float
) -> _Result:
    """Send a poll on a kept connection, once more on a new one."""
    pool = _state.pool(daemon, host)
    loop = asyncio.get_running_loop()
    until = loop.time() + within
    result: _Result = httpio.Failure.LOST
    for send in (pool.send, pool.send_on_new):
        answer: asyncio.Future[_Result] = loop.create_future()
        job = httpio.Job(head, functools.partial(_set, answer))
        send(job)
        try:
            async with asyncio.timeout_at(until):
                result = await answer
        except TimeoutError:
            # Other kept connections to it may have fallen silent as well.
            pool.drop_idle()
            return httpio.Failure.LOST
        finally:
            if job.awaited:
                job.abort()
        # A connection that was reset says nothing of the daemon behind it.
        if result is not httpio.Failure.LOST:
            return result
    return result


def _set(answer: asyncio.Future[_Result], result: _Result) -> None:
    if not answer.done():
        answer.set_result(result)


def _fell_silent(daemon: _state.Daemon, host: str, reason: str) -> None:
    now = daemon.clock.monotonic()
    feeds.peer_failed(daemon.feed, host, now, daemon.rng)
    _counters.count_state_change(daemon.counters, "parent_lost")
    daemon.journal.note("parent_lost", peer=host, reason=reason)


def _adopt_own_address(daemon: _state.Daemon, host: str) -> None:
    """Go on as the daemon at ``host``: the store names this one so."""
    daemon.journal.note("follows_itself", peer=host, own=daemon.feed.own_host)
    feeds.adopt_address(daemon.feed, host)


def _note_parent(daemon: _state.Daemon, before: str | None) -> None:
    """Log whom the daemon follows from now on."""
    feed = daemon.feed
    _counters.count_state_change(daemon.counters, "parent_changed")
    daemon.journal.note(
        "follows",
        parent=_status.parent_name(feed.parent),
        before=_status.parent_name(before),
        rank=len(feed.earlier_hosts),
        known=len(feed.hosts),
        revision=views.number_in_era(daemon.view.revision),
    )
