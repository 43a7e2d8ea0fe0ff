"""Confirming at the store that the active policy is the newest."""

from __future__ import annotations

import asyncio

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _state

VERB = "policy"


def confirm_reading(
    daemon: _state.Daemon,
    reading: _dialect.Reading,
    asked_at: float,
    after: int | None,
) -> None:
    """Note what an answer of the store's latest state confirms.

    ``after`` is where a watch began, None for a reading of the whole.
    """
    view = daemon.view
    if after is not None:
        if reading.changes:
            views.note_changes_read(view, after, reading.revision)
        return
    if reading.revision >= view.revision:
        views.note_full_read(view, reading.revision)
    _confirm(daemon, reading, asked_at)


def confirm_revision(
    daemon: _state.Daemon, revision: int, asked_at: float
) -> None:
    """Take the store's revision at its latest state, asked at an instant.

    A watch may be about to tell the change behind a greater one.
    """
    if not _confirmations.has_revocation_bound(daemon) or _vouch(
        daemon, revision, asked_at
    ):
        return
    now = daemon.clock.monotonic()
    wait = feeds.peer_ahead_limit(
        daemon.feed, daemon.view.store_answered_at, now
    )
    asyncio.get_running_loop().call_later(
        wait, _confirm_late, daemon, revision, asked_at
    )


def _vouch(daemon: _state.Daemon, revision: int, asked_at: float) -> bool:
    view = daemon.view
    if not views.up_to_date_with(view, revision):
        return False
    views.apply_confirmation(view, views.active_version(view), asked_at)
    return True


def _confirm_late(
    daemon: _state.Daemon, revision: int, asked_at: float
) -> None:
    if _vouch(daemon, revision, asked_at) or daemon.confirming_policy:
        return
    if views.knows_policy(daemon.view) and feeds.reads_store(daemon.feed):
        daemon.confirming_policy = True
        _state.start_task(daemon, _ask_policy(daemon))


async def _ask_policy(daemon: _state.Daemon) -> None:
    """Read the policy alone: the watch has not told what has changed."""
    asked_at = daemon.clock.monotonic()
    _counters.count_store_call(daemon.counters, VERB)
    try:
        reading = await daemon.source.policy()
    except _dialect.SourceError as error:
        _learning.log_failed_call(daemon, VERB, error, asked_at)
        return
    finally:
        daemon.confirming_policy = False
    _learning.log_refused_items(daemon, reading.refused)
    if _confirm(daemon, reading, asked_at):
        views.note_full_read(daemon.view, reading.revision)
        return
    daemon.journal.note(
        "policy_not_told", revision=views.number_in_era(reading.content)
    )
    if feeds.request_full_read(daemon.feed, daemon.clock.monotonic()):
        daemon.feed_woken.set()


def _confirm(
    daemon: _state.Daemon, reading: _dialect.Reading, asked_at: float
) -> bool:
    """Confirm the policy of a reading; one that can't be used is none.

    One of a later era than the view's confirms nothing before the whole of
    that era is read.
    """
    if views.is_restored(daemon.view, reading.revision):
        return False
    versions = [
        change.version
        for change in reading.changes
        if isinstance(change, policies.Policy)
    ]
    active = views.active_version(daemon.view)
    version = max(versions, default=active)
    return views.apply_confirmation(daemon.view, version, asked_at)
