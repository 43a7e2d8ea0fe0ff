"""When a reader checks that the store answers, in addition to its watch.

A watch without an answer looks the same whether nothing changes or the store
is unreachable, and a watch that was pending when the store failed is never
answered, even after the store has recovered. So a reader without an answer
for a while sends a check: a call at a tenth of the cost that returns only the
store's revision.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.decisions.feeds import _types

OTHER_DOMAINS_QUIET_FACTOR = 3.0
"""How many times as long the readers of other failure domains wait before
they check: the first domain's reader tells them when the store last
answered."""
STALLED_QUIET_FACTOR = 1.5
"""After how many times ``quiet_limit`` without an answer of the store, also
through peers, a watch counts as stalled and peers may have newer changes."""
SECOND_CHECK_SHARE = 0.5
"""The second check is sent after this fraction of the first check's timeout,
because a single answer may be lost in the network."""
BACKUP_INTERVAL_FACTOR = 3.0
"""Factor on the check interval of a backup reader, which reads in place of a
daemon that precedes it: calls without an answer are charged in full, and the
first reader of each failure domain detects the store's recovery."""
INTERVAL_JITTER_MIN = 0.9
"""Least jitter factor, so that the readers' checks don't coincide."""
RECHECK_BACKOFF_SECONDS = 2.0
RECHECK_BACKOFF_SECONDS_MAX = 60.0
"""For how long greater revisions are ignored after one brought no changes:
the store's revision also counts changes to unrelated keys. The time doubles
up to the maximum while rechecks bring no changes."""


@dataclasses.dataclass(slots=True)
class Checks:
    """The state of one reader's checks.

    ``last_sent_at`` is when the last check was sent; the next one follows
    after ``next_check_delay`` at the earliest. ``unanswered_since`` is when
    the first unanswered check was sent, None if the last one was answered.

    ``recheck_pending`` is True while the reader asks the store again because
    a check reported a greater revision. If that brings no changes, greater
    revisions are ignored until ``recheck_allowed_from``, for
    ``recheck_backoff`` seconds.
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

    ``last_answer_at`` is when the store last answered, directly or through
    peers, or, if the policy must be confirmed, when it last was.
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
    """Record a check that is sent now."""
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
    """Record the answer to a check; return whether an earlier one has none.

    In that case the store was unreachable in between, and a watch from
    before the outage may never be answered.
    """
    first_unanswered = checks.unanswered_since
    newer_sent = checks.last_sent_at > sent_at
    checks.unanswered_since = checks.last_sent_at if newer_sent else None
    return first_unanswered is not None and first_unanswered < sent_at


def lost_since(
    checks: Checks, timing: _types.Timing, now: float
) -> float | None:
    """Return since when the store has been lost, None if it is not lost."""
    first_unanswered = checks.unanswered_since
    if (
        first_unanswered is None
        or now - first_unanswered < timing.answer_timeout
    ):
        return None
    return first_unanswered


def can_recheck(checks: Checks, now: float) -> bool:
    """Return whether a revision above the view's may trigger a recheck."""
    return now >= checks.recheck_allowed_from


def record_store_answer(checks: Checks, now: float, has_changes: bool) -> None:
    """Record an answer of the store to a read or watch.

    ``news`` is whether it brought changes. The store's revision also rises
    with changes that no watch reports.
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
