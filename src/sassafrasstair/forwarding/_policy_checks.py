"""Confirms with the store that the active policy is the newest."""

from __future__ import annotations

import asyncio
import math

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _state

VERB = "policy"


def confirm_reading(
    daemon: _state.Daemon,
    reading: _dialect.Reading,
    asked_at: float,
    after: int | None,
) -> None:
    """Record what an answer with the store's latest state confirms.

    A full read confirms that the active policy is the newest, or shows that
    it is not. A watch shows only which changes have been read.

    ``after`` is the revision from which a watch began, None for a full read.
    """
    view = daemon.view
    if after is not None:
        if reading.changes:
            views.note_changes_read(view, after, reading.revision)
        return
    if reading.revision >= view.revision:
        views.note_full_read(view, reading.revision)
    if not daemon.asking_versions and _is_first_confirmation(daemon, asked_at):
        daemon.asking_versions = True
        _state.start_task(daemon, _ask_and_confirm(daemon, reading, asked_at))
        return
    _confirm_versions(daemon, reading, asked_at)


def _is_first_confirmation(daemon: _state.Daemon, asked_at: float) -> bool:
    """Return whether the store may have been restored before the first read.

    Then only a peer that has a later policy shows this.
    """
    view = daemon.view
    return (
        _confirmations.has_revocation_bound(daemon)
        and views.unconfirmed_seconds(view, asked_at) == math.inf
        and asked_at < view.settled_from
    )


async def _ask_and_confirm(
    daemon: _state.Daemon, reading: _dialect.Reading, asked_at: float
) -> None:
    """Confirm the policy of a reading unless a peer has a later one."""
    try:
        await _peers.ask_for_versions(daemon)
    finally:
        daemon.asking_versions = False
    _confirm_versions(daemon, reading, asked_at)


def confirm_revision(
    daemon: _state.Daemon, revision: int, asked_at: float
) -> None:
    """Confirm the policy if the store is at a revision that the view covers.

    ``revision`` is that of the store's latest state, asked for at
    ``asked_at``. If it is greater than the view's, the watch may be about to
    deliver the change. The policy is read only if it still has not after a
    while.
    """
    if not _confirmations.has_revocation_bound(
        daemon
    ) or _confirm_if_up_to_date(daemon, revision, asked_at):
        return
    now = daemon.clock.monotonic()
    wait = feeds.peer_ahead_limit(
        daemon.feed, daemon.view.store_answered_at, now
    )
    asyncio.get_running_loop().call_later(
        wait, _confirm_or_read_policy, daemon, revision, asked_at
    )


def _confirm_if_up_to_date(
    daemon: _state.Daemon, revision: int, asked_at: float
) -> bool:
    view = daemon.view
    if not views.up_to_date_with(view, revision):
        return False
    _apply(daemon, views.active_version(view), asked_at)
    return True


def _confirm_or_read_policy(
    daemon: _state.Daemon, revision: int, asked_at: float
) -> None:
    if (
        _confirm_if_up_to_date(daemon, revision, asked_at)
        or daemon.confirming_policy
    ):
        return
    if views.knows_policy(daemon.view) and feeds.reads_store(daemon.feed):
        daemon.confirming_policy = True
        _state.start_task(daemon, _read_policy(daemon))


async def _read_policy(daemon: _state.Daemon) -> None:
    """Read only the policy, as the watch has not delivered the change."""
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
    if _confirm_versions(daemon, reading, asked_at):
        views.note_full_read(daemon.view, reading.revision)
        return
    daemon.journal.note(
        "policy_not_told", revision=views.number_in_era(reading.content)
    )
    if feeds.request_full_read(daemon.feed, daemon.clock.monotonic()):
        daemon.feed_woken.set()


def _confirm_versions(
    daemon: _state.Daemon, reading: _dialect.Reading, asked_at: float
) -> bool:
    """Confirm the policy in a reading; an unusable policy is ignored.

    A reading of a later era than the view's confirms nothing until a full
    read of that era.
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
    return _apply(daemon, version, asked_at)


def _apply(daemon: _state.Daemon, version: int, asked_at: float) -> bool:
    """Apply a confirmation of the store; return whether it is valid.

    While peers are asked for a later policy, none is applied.
    """
    if daemon.asking_versions:
        return version <= views.active_version(daemon.view)
    return views.apply_confirmation(daemon.view, version, asked_at)
