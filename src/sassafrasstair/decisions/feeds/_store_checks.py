"""Checks of the store by one daemon: when they are due, and what they show."""

from __future__ import annotations

import typing

from sassafrasstair.decisions.feeds import _checks
from sassafrasstair.decisions.feeds import _fallbacks
from sassafrasstair.decisions.feeds import _feeds

if typing.TYPE_CHECKING:
    import random


def check_due(feed: _feeds.Feed, last_answer_at: float, now: float) -> bool:
    """Return whether a check of the store is due.

    ``last_answer_at`` is as in ``_checks.next_check_at``.
    """
    if feed.parent is None or _feeds.is_starting(feed, now):
        return False
    if now >= feed.fallback.check_at:
        return True
    if feed.parent != _feeds.STORE:
        return False
    due = _checks.next_check_at(
        feed.checks, feed.timing, feed.checks_for_all, last_answer_at
    )
    return now >= due


def check_sent(feed: _feeds.Feed, now: float, rng: random.Random) -> bool:
    """Record a check; return whether it needs a connection of its own.

    Pooled connections to the store hang when the store does, so a check on
    one of them would not detect its recovery.
    """
    if now >= feed.fallback.check_at:
        _fallbacks.record_sent(
            feed.fallback, feed.timing, len(feed.hosts), now, rng
        )
    if feed.parent != _feeds.STORE:
        return True
    needs_own_connection = feed.checks.unanswered_since is not None
    is_backup = bool(feed.earlier_hosts)
    _checks.record_sent(feed.checks, feed.timing, is_backup, now, rng)
    return needs_own_connection


def check_answered(feed: _feeds.Feed, sent_at: float, now: float) -> bool:
    """Record a check's answer; return whether to call the store at once.

    A follower whose check is answered reads the store from now on. A reader
    that has an earlier check without an answer had an outage: its watch from
    before the outage never returns, so a new one is started. ``sent_at`` is
    when the answered check was sent.
    """
    if feed.parent:
        _fallbacks.stand_in(feed.fallback)
        feed.use_store_until = now + _feeds.AVOID_SECONDS
        feed.next_read_at = now
        return True
    had_outage = _checks.record_answer(feed.checks, sent_at)
    if had_outage and _feeds.reads_store(feed):
        feed.next_read_at = min(feed.next_read_at, now)
    return had_outage


def doubt_seconds(
    feed: _feeds.Feed, last_answer_at: float, now: float
) -> float | None:
    """Return for how long the store has been in doubt, None if it is not.

    It is in doubt to a daemon whose parent has lost it, until the daemon
    learns of a later answer. ``last_answer_at`` is when the store last
    answered, as far as this daemon knows.
    """
    since = feed.fallback.suspected_since
    return None if since is None or last_answer_at > since else now - since


def parent_in_doubt(
    feed: _feeds.Feed,
    seconds: float,
    last_answer_at: float,
    now: float,
    rng: random.Random,
) -> None:
    """Schedule a check, as the store has been in doubt to the parent.

    Otherwise each level of followers would wait until the level above it has
    lost the store, too. ``last_answer_at`` is as in ``doubt_seconds``.
    """
    if last_answer_at <= now - seconds and not feed.fallback.stands_in:
        _feeds.suspect_store(feed, now - seconds, now, rng)


def lost_since(feed: _feeds.Feed, now: float) -> float | None:
    """Return since when the store has been lost to this daemon's checks.

    None if it is not lost, or if this daemon does not read the store.
    """
    if feed.parent != _feeds.STORE:
        return None
    return _checks.lost_since(feed.checks, feed.timing, now)


def can_recheck(feed: _feeds.Feed, now: float) -> bool:
    """Return whether a revision above the view's may trigger a recheck.

    A recheck is a short watch in place of the current one. It is not allowed
    during a full read: that of a large and slow store takes longer than a
    check, and would never end if each check restarted it.
    """
    is_watching = _feeds.reads_store(feed) and not feed.needs_full_read
    return is_watching and _checks.can_recheck(feed.checks, now)


def mark_change_missed(feed: _feeds.Feed, now: float) -> None:
    """Recheck at once, as a check showed that the watch missed a change.

    During a short outage a watch event may get lost even if no check does.
    """
    _feeds.expedite_recheck(feed, now)
    feed.checks.recheck_pending = True
