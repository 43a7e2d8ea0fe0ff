"""Timing and steps of a feed, and the status that peers report."""

from __future__ import annotations

import dataclasses

WATCH_INTERVAL_SHARE = 0.25
"""``Timing.watch_interval`` as a fraction of the propagation bound."""
POLL_HOLD_SHARE = 0.25
"""``Timing.poll_hold`` as a fraction of the propagation bound."""
POLL_MARGIN_SHARE = 0.2
"""``Timing.poll_margin`` as a fraction of the propagation bound."""
COMPARE_INTERVAL_SHARE = 0.15
"""``Timing.compare_interval`` as a fraction of the propagation bound."""
QUIET_LIMIT_SHARE = 0.4
"""``Timing.quiet_limit`` as a fraction of the propagation bound."""
ANSWER_TIMEOUT_SHARE = 0.3
"""``Timing.answer_timeout`` as a fraction of the propagation bound."""
CHECK_INTERVAL_SHARE = 0.4
"""``Timing.check_interval`` as a fraction of the propagation bound.

The propagation bound is the time within which every daemon must learn of a
change. The fractions above keep it as follows.

Worst case with healthy links: the interval between the reader's watches, and
a call, take 0.25 of the bound. If the reader stops answering right before the
change, a follower notices after the poll's hold and margin (0.45) and asks the
next daemon, which notices equally late and reads the store at once: 0.5 with
the calls, for bounds of 2 s and more. If one reader gets no answer from the
store while others do, these add up: the other readers' watch interval (0.25),
the next comparison with their views (0.15), the wait until the reader's own
watch should have reported the change (0.35) and a call: 0.8 of the bound.

After an outage of the store, however long: the first reader of each failure
domain that noticed the outage sends a check at least every 0.4 of the bound,
and an answered check makes it start a new watch at once. If the outage was too
short to be noticed, the first reader's next check comes after 0.4 and reports
a greater revision, for which it starts a recheck 0.1 later; the other readers'
next comparison (0.23) and the wait for their own watch (0.1) follow: 0.83 of
the bound with the calls.

If the store stops answering all readers but still answers other daemons: the
first reader's check (0.4), the timeout for its answer (0.3), after which the
next daemon of its domain reads the store, and the comparison by the others
(0.23) take 0.93 of the bound and the calls."""
QUICK_FALLBACK_SHARE = 0.05
"""``Timing.quick_fallback_interval`` as a fraction of the bound."""
FALLBACK_SHARE = 1.0
"""``Timing.fallback_interval`` as a fraction of the bound."""
CONFIRM_INTERVAL_SHARE = 0.2
"""Fraction of the revocation time after which a reader asks the store whether
the policy is still the newest. Each level of followers learns of the answer
one poll hold later: 2.9 s of a revocation time of 5 s with three levels."""
BOUND_SECONDS_MIN, BOUND_SECONDS_MAX = 1.0, 6.0
"""Propagation bounds are clamped to this range. With a bound of zero or a few
milliseconds, a follower would poll without a pause; with a bound of a minute,
instances that join or leave would be noticed only when requests to them
fail."""
LAG_GRACE_SHARE = 0.1
"""Fraction of the bound that a reader waits, in addition to its watch
interval, before it requests newer changes from a peer: the reader's own watch
usually delivers them within some ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of a feed, in seconds.

    ``watch_interval`` is the minimum time between two watches of the store:
    changes come in series, and one call returns all of them. A follower's
    poll is held open for ``poll_hold`` while nothing changes, and its answer
    may take ``poll_margin`` longer. Every ``compare_interval`` a reader
    compares its view with those of other failure domains. ``lag_limit`` is
    how long this daemon's view may lag behind a peer's before this daemon
    requests the newer changes from that peer, and ``lag_grace`` the same if
    no watch interval delays this daemon's own watch.

    A reader sends a check to the store after it has had no answer for
    ``quiet_limit``, considers the store lost if the check is not answered
    within ``answer_timeout``, and repeats the check every ``check_interval``.
    If ``confirm_interval`` is set, the reader instead sends a check that
    long after the policy was last confirmed, whatever other answers it got.

    If the readers have lost the store, one follower after the other checks
    it: the first ones every ``quick_fallback_interval``, the others every
    ``fallback_interval``.
    """

    watch_interval: float
    poll_hold: float
    poll_margin: float
    compare_interval: float
    lag_limit: float
    lag_grace: float
    quiet_limit: float
    answer_timeout: float
    check_interval: float
    quick_fallback_interval: float
    fallback_interval: float
    confirm_interval: float | None = None


def timing_for_bound(
    bound_seconds: float, revocation_seconds: float | None = None
) -> Timing:
    """Return the timing with which changes spread within the bound.

    ``bound_seconds`` is the time within which every daemon must learn of a
    change.

    ``revocation_seconds`` is the time after which every daemon must reject a
    revoked key, None if there is no such limit.
    """
    bound = min(BOUND_SECONDS_MAX, max(BOUND_SECONDS_MIN, bound_seconds))
    return Timing(
        WATCH_INTERVAL_SHARE * bound,
        POLL_HOLD_SHARE * bound,
        POLL_MARGIN_SHARE * bound,
        COMPARE_INTERVAL_SHARE * bound,
        (WATCH_INTERVAL_SHARE + LAG_GRACE_SHARE) * bound,
        LAG_GRACE_SHARE * bound,
        QUIET_LIMIT_SHARE * bound,
        ANSWER_TIMEOUT_SHARE * bound,
        CHECK_INTERVAL_SHARE * bound,
        QUICK_FALLBACK_SHARE * bound,
        FALLBACK_SHARE * bound,
        None
        if revocation_seconds is None
        else CONFIRM_INTERVAL_SHARE * revocation_seconds,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Sleep:
    """Do nothing for ``seconds``."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Ask the daemon at ``host`` for changes, as a long poll.

    The daemon may hold the poll open for ``hold_seconds`` until something
    changes; without an answer within ``timeout`` seconds the poll fails.
    """

    host: str
    hold_seconds: float
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the whole store.

    With ``allow_stale``, the store may answer with a state that is seconds
    old, for which it charges less.
    """

    allow_stale: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait for changes in the store, for at most ``seconds``.

    A watch of a fraction of a second is a recheck; see ``_checks``.
    """

    seconds: float


Step = Sleep | Poll | Read | Watch


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """The status that a daemon reports along with the changes.

    ``revision`` is the store revision up to which its view has all changes.
    ``lost`` is for how many seconds the daemon has considered the store lost,
    None if the store answers it or the daemons that it follows. For
    ``recovering_seconds`` more, an entry that vanishes may merely have
    expired because the store was unreachable. ``leaving`` is True if the
    daemon is about to stop. ``age_seconds`` is the age of the view: how long
    ago the store answered the reader from which the view originates.
    """

    revision: int
    lost: float | None
    recovering_seconds: float
    leaving: bool
    age_seconds: float = 0.0
