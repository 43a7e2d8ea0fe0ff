"""Checks whether the store still answers while a watch waits there."""

from __future__ import annotations

import asyncio
import functools
import typing

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _policy_checks

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state

VERB = "check"


def tick(daemon: _state.Daemon, now: float) -> None:
    """Send a check if one is due, and record when the store is lost."""
    since = feeds.lost_since(daemon.feed, now)
    if since is not None:
        reason = _dialect.SourceReason.TIMEOUT.value
        _learning.record_store_failure(daemon, since, reason, VERB)
    has_bound = _confirmations.has_revocation_bound(daemon)
    last_answer_at = (
        daemon.view.confirmed_at
        if has_bound
        else daemon.view.store_answered_at
    )
    if feeds.check_due(daemon.feed, last_answer_at, now):
        _send(daemon, now)


def _send(daemon: _state.Daemon, now: float) -> None:
    needs_own_connection = feeds.check_sent(daemon.feed, now, daemon.rng)
    _counters.count_store_call(daemon.counters, VERB)
    latest = _confirmations.has_revocation_bound(daemon)
    call = asyncio.ensure_future(
        daemon.source.check(needs_own_connection, latest)
    )
    daemon.store_checks.add(call)
    call.add_done_callback(
        functools.partial(_handle_check_result, daemon, now)
    )


def _handle_check_result(
    daemon: _state.Daemon, sent_at: float, call: asyncio.Future[int]
) -> None:
    daemon.store_checks.discard(call)
    if call.cancelled():
        return
    now = daemon.clock.monotonic()
    try:
        revision = call.result()
    except _dialect.SourceError as error:
        _learning.log_failed_call(daemon, VERB, error, sent_at)
        return
    if feeds.check_answered(daemon.feed, sent_at, now):
        daemon.journal.note("store_asked_anew", waited=now - sent_at)
        daemon.feed_woken.set()
        for unanswered_check in daemon.store_checks:
            unanswered_check.cancel()
    # The answer shows the view to be current only if the view has all changes
    # up to the store's revision. Otherwise a reader whose watch hangs would
    # seem to be up to date.
    restored = views.is_restored(daemon.view, revision)
    behind = restored or _is_behind(daemon, revision, now)
    age = now - daemon.view.store_answered_at if behind else 0.0
    _learning.record_store_answer(daemon, now, age)
    _policy_checks.confirm_revision(daemon, revision, sent_at)
    if restored and feeds.reads_store(daemon.feed):
        if feeds.request_full_read(daemon.feed, now):
            daemon.feed_woken.set()
    elif behind:
        asyncio.get_running_loop().call_later(
            daemon.feed.timing.lag_grace, _recheck_if_behind, daemon, revision
        )


def _recheck_if_behind(daemon: _state.Daemon, revision: int) -> None:
    """Call the store at once if the watch has not delivered the change."""
    now = daemon.clock.monotonic()
    if _is_behind(daemon, revision, now):
        daemon.journal.note(
            "watch_behind", revision=views.number_in_era(revision)
        )
        feeds.mark_change_missed(daemon.feed, now)
        daemon.feed_woken.set()


def _is_behind(daemon: _state.Daemon, revision: int, now: float) -> bool:
    greater = revision > daemon.view.revision
    return greater and feeds.can_recheck(daemon.feed, now)
