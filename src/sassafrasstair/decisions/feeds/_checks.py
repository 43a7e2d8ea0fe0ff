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

OTHERS_QUIET = 3.0
"""How many times as long other failure domains wait before they check: they
hear from the first one when the store last answered."""
DEAF_QUIET = 1.5
"""After how many times as long without a word of the store, by any way, a
watch counts for nothing, and any other daemon may know more."""
SECOND_SHARE = 0.5
"""The second check comes after this part of the time within which the first
must be answered: one answer alone may be lost on the way."""
STAND_IN_PAUSES = 3.0
"""Pauses between the checks of a daemon that reads in place of an earlier one:
what has no answer is paid for in full, and the first of each failure domain
finds the store's return."""
PAUSE_SHARE_MIN = 0.9
"""Pauses differ a little, so that the readers' checks don't come at once."""
DISBELIEF_SECONDS = 2.0
DISBELIEF_SECONDS_MAX = 60.0
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

    sent: float = -math.inf
    pause: float = 0.0
    unanswered_from: float | None = None
    acted: bool = False
    believe_from: float = -math.inf
    disbelief: float = DISBELIEF_SECONDS


def due(
    checks: Checks, timing: _types.Timing, first: bool, heard: float
) -> float:
    """Return when the next check is to be sent.

    ``heard`` is when the store last answered, by any way, or when the policy
    was last confirmed where that is asked for.
    """
    after_last = checks.sent + checks.pause
    if checks.unanswered_from is not None:
        return after_last
    quiet = timing.quiet_limit if first else OTHERS_QUIET * timing.quiet_limit
    if timing.confirm_interval is not None:
        quiet = timing.confirm_interval
    return max(after_last, heard + quiet)


def sent(
    checks: Checks,
    timing: _types.Timing,
    stand_in: bool,
    now: float,
    rng: random.Random,
) -> None:
    """Note a check that is sent now."""
    checks.sent = now
    if checks.unanswered_from is None:
        checks.unanswered_from = now
        checks.pause = SECOND_SHARE * timing.answer_timeout
        return
    share = PAUSE_SHARE_MIN + (1.0 - PAUSE_SHARE_MIN) * rng.random()
    pauses = STAND_IN_PAUSES if stand_in else 1.0
    checks.pause = pauses * share * timing.check_interval


def restart(checks: Checks) -> None:
    """Forget what had no answer: the daemon begins or ends to read.

    When it reads again, it would take the store for lost since then.
    """
    checks.unanswered_from = None


def answered(checks: Checks, sent_at: float) -> bool:
    """Note the answer to a check; return whether one before it has none.

    Then the store was away in between, and what waits there since before
    may wait in vain.
    """
    first = checks.unanswered_from
    later = checks.sent > sent_at
    checks.unanswered_from = checks.sent if later else None
    return first is not None and first < sent_at


def lost_from(
    checks: Checks, timing: _types.Timing, now: float
) -> float | None:
    """Return since when the store has been lost, None if it is not."""
    first = checks.unanswered_from
    if first is None or now - first < timing.answer_timeout:
        return None
    return first


def believes(checks: Checks, now: float) -> bool:
    """Return whether a greater revision than the own is acted on."""
    return now >= checks.believe_from


def settled(checks: Checks, now: float, news: bool) -> None:
    """Note an answer of the store itself, with news or without.

    The store's revision also moves with changes that no watch tells.
    """
    checks.unanswered_from = None
    if not checks.acted:
        return
    checks.acted = False
    if news:
        checks.disbelief = DISBELIEF_SECONDS
        return
    checks.believe_from = now + checks.disbelief
    checks.disbelief = min(DISBELIEF_SECONDS_MAX, 2.0 * checks.disbelief)
