"""When a follower whose parents have lost the store asks the store itself.

Others may reach the store although its readers do not. As the store charges
for calls, the followers of a failure domain check it one after the other, in
the order of their hosts: the first few within a fraction of the propagation
bound, the others more slowly. So a store that is away for all gets few calls,
whatever the number of daemons.

A follower whose check is answered is a stand-in: it reads the store while
the daemons that precede it have lost it.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair.decisions.feeds import _types

QUICK_CHECKS = 8
"""How many followers of a failure domain check the store in quick succession.
If the store refuses a third of the hosts at random, one of them reaches it in
all but one of 6,000 cases."""

LOST_POLLS_MAX = 6
"""After how many such polls a stand-in reads the store again."""


@dataclasses.dataclass(slots=True)
class Fallback:
    """The state of one follower's own checks.

    ``suspected_since`` is since when a parent has had no answer of the store,
    None if one was given later. The next check is sent at ``check_at``.
    ``stands_in`` is whether this daemon is a stand-in. Between two watches it
    polls daemons that precede it, of which ``lost_polls`` in a row have said
    that they have lost the store.
    """

    suspected_since: float | None = None
    check_at: float = math.inf
    stands_in: bool = False
    lost_polls: int = 0


def suspect(
    fallback: Fallback,
    timing: _types.Timing,
    since: float,
    turn: int,
    now: float,
    rng: random.Random,
) -> None:
    """Schedule a check, as a parent has had no answer of the store ``since``.

    ``turn`` is how many other followers check the store before this one.
    """
    if fallback.suspected_since is not None:
        return
    fallback.suspected_since = since
    quick = min(turn, QUICK_CHECKS) + 0.5 + 0.5 * rng.random()
    slow = max(0, turn - QUICK_CHECKS)
    fallback.check_at = (
        now
        + quick * timing.quick_fallback_interval
        + slow * timing.fallback_interval
    )


def confirm(fallback: Fallback, answered_at: float) -> bool:
    """Record an answer of the store; return whether it ends the suspicion."""
    since = fallback.suspected_since
    if since is None or answered_at <= since:
        return False
    fallback.suspected_since = None
    fallback.check_at = math.inf
    return True


def record_sent(
    fallback: Fallback,
    timing: _types.Timing,
    host_count: int,
    now: float,
    rng: random.Random,
) -> None:
    """Record a check that is sent now, and schedule the next one.

    All ``host_count`` daemons of the failure domain have a turn before it.
    """
    pause = host_count * timing.fallback_interval
    fallback.check_at = now + pause * (0.5 + rng.random())


def stand_in(fallback: Fallback) -> None:
    """Make this daemon a stand-in, as its check was answered."""
    fallback.stands_in = True
    fallback.lost_polls = 0


def should_resume(fallback: Fallback) -> bool:
    """Record that a parent has lost the store, too; return whether to read."""
    fallback.lost_polls += 1
    if fallback.lost_polls < LOST_POLLS_MAX:
        return False
    fallback.lost_polls = 0
    return True
