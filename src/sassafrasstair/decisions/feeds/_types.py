"""Timing of a feed, what a daemon does next, and what its parent tells."""

from __future__ import annotations

import dataclasses

WATCH_INTERVAL_SHARE = 0.25
POLL_HOLD_SHARE = 0.25
POLL_MARGIN_SHARE = 0.2
COMPARE_INTERVAL_SHARE = 0.15
QUIET_LIMIT_SHARE = 0.4
ANSWER_TIMEOUT_SHARE = 0.3
CHECK_INTERVAL_SHARE = 0.4
"""Parts of the bound within which a change must be known everywhere.

Worst case with sound links: the pace of the reader's watches, and a call, is
0.25 of the bound. If the reader falls silent right before the change, a
follower notices after hold and margin (0.45), asks the next one, which
notices as late and reads the store at once: 0.5 with the calls, for bounds of
2 s and more. If the reader hears nothing of the store while others do: their
pace (0.25), the next comparison (0.15), the wait until the own watch should
have told (0.35) and a call: 0.8 of the bound.

After an absence of the store, however long: the first reader of each failure
domain that noticed it checks at least once in 0.4, and an answered check makes
it watch anew at once. If the absence was too short to be noticed, the first
reader's next check comes after 0.4 and tells of a greater revision, which is
acted on 0.1 later; the other readers' next comparison (0.23) and the wait for
the own watch (0.1) follow: 0.83 of the bound with the calls.

If the store leaves all readers and serves the others: the first reader's check
(0.4), the time for its answer (0.3), whereupon the next of its domain reads,
and the comparison of the others (0.23): 0.93 of the bound and the calls."""
CONFIRM_INTERVAL_SHARE = 0.2
"""The part of the time within which a key must stop to work after which a
reader asks the store whether the policy is still the newest. Followers hear
of it a hold later for each step: 2.9 of 5 s with three steps."""
BOUND_SECONDS_MIN, BOUND_SECONDS_MAX = 1.0, 6.0
"""Bounds beyond these are taken for these. With none, or one of some ms, a
follower would ask without a pause; with one of a minute, instances that join
or leave would be known only when their requests fail."""
LAG_GRACE_SHARE = 0.1
"""Beyond the own pace, before what a peer knows more is asked for: the own
watch brings it, too, some ms earlier or later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How long each step takes, in seconds.

    ``pace`` is between two watches of the store: changes come in series, and
    one call brings all. ``hold`` is for how long a follower's poll is
    kept without news, ``margin`` how much later its answer may come,
    ``compare`` between two looks at other failure domains, ``behind`` how
    long a peer may know more before it is asked, and ``grace`` how long
    if no pace keeps the own watch from telling first.

    A reader checks that the store answers after a time of ``quiet``, takes
    it for lost without an answer within ``answer``, and then checks once in
    ``check``. With ``confirm`` it checks so long after the policy was last
    confirmed, whatever else it hears.
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
    confirm_interval: float | None = None


def timing_for_bound(
    bound_seconds: float, revocation_seconds: float | None = None
) -> Timing:
    """Return the timing for changes to be known within a bound.

    ``revocation_seconds`` is the time after which a key that was taken away
    must not work anywhere, None if there is no such time.
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
        None
        if revocation_seconds is None
        else CONFIRM_INTERVAL_SHARE * revocation_seconds,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Sleep:
    """Do nothing for so many seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Ask a daemon for what changed, and let it wait for news."""

    host: str
    hold_seconds: float
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the whole store; ``stale`` takes an answer that may be old."""

    allow_stale: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait for changes of the store, for so many seconds."""

    seconds: float


Step = Sleep | Poll | Read | Watch


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a daemon tells beside the changes.

    ``revision`` of the store is how far its view goes. ``lost`` is for how
    long it has had no word of the store, by any way, and None if it has.
    ``unsteady`` is for how many more seconds an entry that vanishes may just
    have lapsed, since the store was away. ``leaving`` when it is about to
    stop. ``age`` is how many seconds ago the store answered whoever the view
    came from.
    """

    revision: int
    lost: float | None
    unsteady_seconds: float
    leaving: bool
    age_seconds: float = 0.0
