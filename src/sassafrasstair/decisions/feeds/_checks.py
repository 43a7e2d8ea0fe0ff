"""When a reader checks that the store answers, in addition to its watch.

A watch without an answer looks the same whether nothing changes or the store
is unreachable, and a watch that was pending when the store failed is never
answered, even after the store has recovered. So a reader without an answer
for a while sends a check: a call that returns only the store's revision, for
which the store charges a tenth of what it charges for a watch.

These terms describe the store as one daemon sees it:

- quiet: the store has answered nothing for a while, to this daemon or, as far
  as this daemon knows, to others. After ``quiet_limit`` a check is sent.
- unanswered: a check was sent and its answer has not arrived yet.
- lost: a check has been unanswered for ``answer_timeout`` (``lost_since``
  here), or a call failed. ``View.store_lost_since`` has the start of the
  loss, also if a parent reported it.
- failed: a call ended with an error; it is retried after a delay.
- stalled: the store has been quiet for 1.5 times the quiet limit, so the
  current watch will probably report nothing (``feeds.is_stalled``). The
  daemon then asks peers for newer changes without waiting for its watch.
- outage: the time during which the store cannot be reached. For a view it
  begins with the loss and ends with an answer that the store gave later.

A recheck is a short watch, sent at once in place of the current one because
a peer or a check showed that the store has changes that the watch did not
report.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.decisions.feeds import _types

OTHER_DOMAINS_QUIET_FACTOR = 3.0
"""Factor on ``quiet_limit`` for the readers of failure domains other than the
one whose reader checks for all: that reader tells them when the store last
answered."""
STALLED_QUIET_FACTOR = 1.5
"""After how many times ``quiet_limit`` without an answer of the store, also
through peers, the watch counts as stalled and peers may have newer changes
than this daemon."""
SECOND_CHECK_SHARE = 0.5
"""The second check is sent after this fraction of the first check's timeout,
because a single answer may be lost in the network."""
BACKUP_INTERVAL_FACTOR = 3.0
"""Factor on the check interval of a backup reader, which reads in place of a
daemon that precedes it: the store charges calls without an answer in full,
and the first reader of each failure domain detects the store's recovery."""
INTERVAL_JITTER_MIN = 0.9
"""Least factor by which the check interval is multiplied at random, so that
the readers' checks don't coincide; the greatest is 1."""
RECHECK_BACKOFF_SECONDS = 2.0
"""For how long greater revisions that checks report are ignored after a
recheck brought no changes: the store's revision also counts changes to
unrelated keys."""
RECHECK_BACKOFF_SECONDS_MAX = 60.0
"""Greatest value of this time, which doubles with each further recheck that
brings no changes."""


@dataclasses.dataclass(slots=True)
class Checks:
    """The state of one reader's checks.

    ``last_sent_at`` is when the last check was sent; the next one follows
    after ``next_check_delay`` at the earliest. ``unanswered_since`` is when
    the first unanswered check was sent, None if the last one was answered.

    ``recheck_pending`` is True from when a check reported a greater revision
    than the view's, until the recheck that follows is answered. If the
    recheck brings no changes, greater revisions are ignored until
    ``recheck_allowed_from``, for ``recheck_backoff`` seconds.
    """

    last_sent_at: float = -math.inf
    next_check_delay: float = 0.0
    unanswered_since: float | None = None
    recheck_pending: bool = False
    recheck_allowed_from: float = -math.inf
    recheck_backoff: float = RECHECK_BACKOFF_SECONDS


def next_check_at(
    checks: Checks,
    timing: _types.Timing,
    checks_for_all: bool,
    last_answer_at: float,
) -> float:
    """Return when the next check is to be sent.

    ``checks_for_all`` is as in ``Feed``. ``last_answer_at`` is when the store
    last answered, directly or through peers, or, if the policy must be
    confirmed, when the policy was last confirmed.
    """
    after_last = checks.last_sent_at + checks.next_check_delay
    if checks.unanswered_since is not None:
        return after_last
    quiet = (
        timing.quiet_limit
        if checks_for_all
        else OTHER_DOMAINS_QUIET_FACTOR * timing.quiet_limit
    )
    if timing.confirm_interval is not None:
        quiet = timing.confirm_interval
    return max(after_last, last_answer_at + quiet)


def record_sent(
    checks: Checks,
    timing: _types.Timing,
    is_backup: bool,
    now: float,
    rng: random.Random,
) -> None:
    """Record a check that is sent now.

    ``is_backup`` is whether a backup reader sends it.
    """
    checks.last_sent_at = now
    if checks.unanswered_since is None:
        checks.unanswered_since = now
        checks.next_check_delay = SECOND_CHECK_SHARE * timing.answer_timeout
        return
    jitter = INTERVAL_JITTER_MIN + (1.0 - INTERVAL_JITTER_MIN) * rng.random()
    factor = BACKUP_INTERVAL_FACTOR if is_backup else 1.0
    checks.next_check_delay = factor * jitter * timing.check_interval


def forget_unanswered(checks: Checks) -> None:
    """Forget unanswered checks when the daemon starts or stops reading.

    Otherwise a daemon that reads again would consider the store lost since
    the time of an old check.
    """
    checks.unanswered_since = None


def record_answer(checks: Checks, sent_at: float) -> bool:
    """Record a check's answer; return whether an earlier check has none.

    If so, the store was unreachable between the two checks, and a watch from
    before the outage may never be answered. ``sent_at`` is when the answered
    check was sent.
    """
    first_unanswered = checks.unanswered_since
    newer_sent = checks.last_sent_at > sent_at
    checks.unanswered_since = checks.last_sent_at if newer_sent else None
    return first_unanswered is not None and first_unanswered < sent_at


def lost_since(
    checks: Checks, timing: _types.Timing, now: float
) -> float | None:
    """Return since when the store has been lost, None if it is not lost.

    The loss begins when the first unanswered check was sent.
    """
    first_unanswered = checks.unanswered_since
    if (
        first_unanswered is None
        or now - first_unanswered < timing.answer_timeout
    ):
        return None
    return first_unanswered


def can_recheck(checks: Checks, now: float) -> bool:
    """Return whether the backoff after rechecks without changes is over."""
    return now >= checks.recheck_allowed_from


def record_store_answer(checks: Checks, now: float, has_changes: bool) -> None:
    """Record an answer of the store to a read or watch.

    ``has_changes`` is whether the answer brought changes. The store's
    revision also rises with changes that no watch reports.
    """
    checks.unanswered_since = None
    if not checks.recheck_pending:
        return
    checks.recheck_pending = False
    if has_changes:
        checks.recheck_backoff = RECHECK_BACKOFF_SECONDS
        return
    checks.recheck_allowed_from = now + checks.recheck_backoff
    checks.recheck_backoff = min(
        RECHECK_BACKOFF_SECONDS_MAX, 2.0 * checks.recheck_backoff
    )
