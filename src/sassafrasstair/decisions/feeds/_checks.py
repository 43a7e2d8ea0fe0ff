"""When a reader checks that the store answers, beside its waiting watch.

A watch that hears nothing looks the same whether nothing changes or the
store has gone, and what waits at a store that goes is answered no more, also
when the store is back. So a reader that has had no word for a while sends a
reading that costs a tenth and brings nothing but the store's revision.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.decisions.feeds import _types

OTHER_DOMAINS_QUIET_FACTOR = 3.0
"""How many times as long other failure domains wait before they check: they
hear from the first one when the store last answered."""
STALLED_QUIET_FACTOR = 1.5
"""After how many times as long without a word of the store, by any way, a
watch counts for nothing, and any other daemon may know more."""
SECOND_CHECK_SHARE = 0.5
"""The second check comes after this part of the time within which the first
must be answered: one answer alone may be lost on the way."""
BACKUP_INTERVAL_FACTOR = 3.0
"""Pauses between the checks of a daemon that reads in place of an earlier one:
what has no answer is paid for in full, and the first of each failure domain
finds the store's return."""
INTERVAL_JITTER_MIN = 0.9
"""Pauses differ a little, so that the readers' checks don't come at once."""
RECHECK_BACKOFF_SECONDS = 2.0
RECHECK_BACKOFF_SECONDS_MAX = 60.0
"""For how long a greater revision is not acted on after it meant nothing; the
store may count changes that concern nobody here."""


@dataclasses.dataclass(slots=True)
class Checks:
    """What the checks of one reader have shown.

    ``sent`` is when the last one was sent, and ``pause`` for how long its
    answer is waited for before the next is. ``unanswered_from`` is when the
    first was sent that has no answer, None when the last one has.

    ``acted`` after the store was asked anew since a check told of a greater
    revision; none is believed until ``believe_from`` if that was in vain.
    """

    last_sent_at: float = -math.inf
    next_check_delay: float = 0.0
    unanswered_since: float | None = None
    recheck_pending: bool = False
    recheck_allowed_from: float = -math.inf
    recheck_backoff: float = RECHECK_BACKOFF_SECONDS


def next_check_at(
    checks: Checks, timing: _types.Timing, first: bool, heard: float
) -> float:
    """Return when the next check is to be sent.

    ``heard`` is when the store last answered, by any way, or when the policy
    was last confirmed where that is asked for.
    """
    after_last = checks.last_sent_at + checks.next_check_delay
    if checks.unanswered_since is not None:
        return after_last
    quiet = (
        timing.quiet_limit
        if first
        else OTHER_DOMAINS_QUIET_FACTOR * timing.quiet_limit
    )
    if timing.confirm_interval is not None:
        quiet = timing.confirm_interval
    return max(after_last, heard + quiet)


def record_sent(
    checks: Checks,
    timing: _types.Timing,
    stand_in: bool,
    now: float,
    rng: random.Random,
) -> None:
    """Note a check that is sent now."""
    checks.last_sent_at = now
    if checks.unanswered_since is None:
        checks.unanswered_since = now
        checks.next_check_delay = SECOND_CHECK_SHARE * timing.answer_timeout
        return
    share = INTERVAL_JITTER_MIN + (1.0 - INTERVAL_JITTER_MIN) * rng.random()
    pauses = BACKUP_INTERVAL_FACTOR if stand_in else 1.0
    checks.next_check_delay = pauses * share * timing.check_interval


def forget_unanswered(checks: Checks) -> None:
    """Forget what had no answer: the daemon begins or ends to read.

    When it reads again, it would take the store for lost since then.
    """
    checks.unanswered_since = None


def record_answer(checks: Checks, sent_at: float) -> bool:
    """Note the answer to a check; return whether one before it has none.

    Then the store was away in between, and what waits there since before
    may wait in vain.
    """
    first = checks.unanswered_since
    later = checks.last_sent_at > sent_at
    checks.unanswered_since = checks.last_sent_at if later else None
    return first is not None and first < sent_at


def lost_since(
    checks: Checks, timing: _types.Timing, now: float
) -> float | None:
    """Return since when the store has been lost, None if it is not."""
    first = checks.unanswered_since
    if first is None or now - first < timing.answer_timeout:
        return None
    return first


def can_recheck(checks: Checks, now: float) -> bool:
    """Return whether a greater revision than the own is acted on."""
    return now >= checks.recheck_allowed_from


def record_store_answer(checks: Checks, now: float, news: bool) -> None:
    """Note an answer of the store itself, with news or without.

    The store's revision also moves with changes that no watch tells.
    """
    checks.unanswered_since = None
    if not checks.recheck_pending:
        return
    checks.recheck_pending = False
    if news:
        checks.recheck_backoff = RECHECK_BACKOFF_SECONDS
        return
    checks.recheck_allowed_from = now + checks.recheck_backoff
    checks.recheck_backoff = min(
        RECHECK_BACKOFF_SECONDS_MAX, 2.0 * checks.recheck_backoff
    )
