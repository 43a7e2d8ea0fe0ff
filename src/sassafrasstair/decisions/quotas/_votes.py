"""Votes of the daemons of a failure domain for their allocator.

Two daemons of a failure domain may run an allocator at the same time, if each
is reached by some of the others. They divide the domain's share by votes: each
daemon votes for one allocator at a time, and an allocator hands out as large a
part of the share as it has votes. So the parts never add up to more than the
share, whichever messages are late or lost and however long a daemon is paused.

A vote is a lease. It counts from when the allocator issued the stamp that
comes with it, on the allocator's clock. The voter is bound from when it sent
the stamp back, which was later, on its own clock.

The electors are the first ``ELECTORS_MAX`` daemons in the order of the domain
that are not down. A daemon whose host refuses connections does not run. Once
this has lasted for as long as a vote binds, its votes have expired. It cannot
vote again within ``VOTE_SECONDS`` of the last refusal, as a starting daemon
waits before it votes. Until then it is down. So allocators that consider
different daemons down have no electors with a vote in common, and at most
``ELECTORS_MAX`` of them in all.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

VOTE_SECONDS = 2.0
"""The time for which a vote counts. A vote is renewed with the second question
after the one that brought its stamp, about one second later."""
BOUND_SECONDS = 1.01 * VOTE_SECONDS
"""The time for which a daemon is bound by its vote. The clocks of the voter
and of the allocator may differ in rate by one hundredth."""
ELECTORS_MAX = 5
"""An elector sends messages also when it needs no tokens. One that does not
answer and is not known to be down takes its part of the share with it."""
NO_STAMP = 0.0


@dataclasses.dataclass(slots=True)
class Ballot:
    """The vote of one daemon.

    The daemon is bound to ``host`` until ``bound_until``. It last received a
    ``stamp`` from ``stamp_host``, at ``stamp_at``.
    """

    bound_until: float = -math.inf
    host: str = ""
    stamp_host: str = ""
    stamp: float = NO_STAMP
    stamp_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Refusals:
    """Refused connections to one host, each within a vote's time of the next.

    The first was at ``first_at``. The host is known not to vote until
    ``expires_at``, and not to have voted for another allocator before if
    ``is_down`` is set.
    """

    first_at: float
    expires_at: float
    is_down: bool = False


@dataclasses.dataclass(slots=True)
class Votes:
    """The votes that an allocator has received.

    ``voters`` are the daemons of the failure domain in its order.
    ``expires_at`` holds the end of each vote by host, and ``refusals`` the
    refused connections by host.
    """

    voters: abc.Collection[str] = ()
    expires_at: dict[str, float] = dataclasses.field(default_factory=dict)
    refusals: dict[str, Refusals] = dataclasses.field(default_factory=dict)


def new_ballot(now: float) -> Ballot:
    """Return the ballot of a starting daemon.

    It does not vote while a vote from before its start may still count.
    """
    return Ballot(now + BOUND_SECONDS)


def receive_stamp(ballot: Ballot, host: str, stamp: float, now: float) -> None:
    """Keep the stamp that came with an answer of an allocator."""
    ballot.stamp_host, ballot.stamp = host, stamp
    ballot.stamp_at = now


def cast_vote(
    ballot: Ballot, host: str, now: float, only_voter: bool = False
) -> float:
    """Return the stamp to send to an allocator, ``NO_STAMP`` for no vote.

    A daemon that is the ``only_voter`` cannot be bound to another one.
    """
    outdated = now - ballot.stamp_at >= VOTE_SECONDS
    if host != ballot.stamp_host or outdated:
        return NO_STAMP
    bound = now < ballot.bound_until and not only_voter
    if host != ballot.host and bound:
        return NO_STAMP
    ballot.host = host
    ballot.bound_until = now + BOUND_SECONDS
    return ballot.stamp


def is_vote_valid(stamp: float, now: float) -> bool:
    """Return whether a vote with a stamp counts at the allocator."""
    return stamp <= now < stamp + VOTE_SECONDS


def count_vote(votes: Votes, host: str, stamp: float, now: float) -> None:
    """Count the vote of a daemon until its stamp expires."""
    if stamp == NO_STAMP or not is_vote_valid(stamp, now):
        return
    votes.refusals.pop(host, None)
    votes.expires_at[host] = max(
        stamp + VOTE_SECONDS, votes.expires_at.get(host, -math.inf)
    )


def record_refusal(
    votes: Votes, host: str, connected_at: float, now: float
) -> None:
    """Record that a host refused a connection opened at ``connected_at``."""
    found = votes.refusals.get(host)
    if found is None or found.expires_at <= now:
        found = votes.refusals[host] = Refusals(now, -math.inf)
    found.is_down = now - found.first_at >= BOUND_SECONDS
    found.expires_at = max(found.expires_at, connected_at + VOTE_SECONDS)


def voted_share(votes: Votes, now: float) -> float:
    """Return the part of the electors that votes for this allocator."""
    electors = 0
    valid = 0
    for host in votes.voters:
        if electors == ELECTORS_MAX:
            break
        if not _is_down(votes, host, now):
            electors += 1
            valid += _has_vote(votes, host, now)
    return valid / electors if electors else 0.0


def hosts_to_canvass(votes: Votes, now: float) -> list[str]:
    """Return the daemons that may not know that they have to vote.

    These are the electors without a vote, and those that replace daemons that
    are down. The latter are listed as well: that they are down has to be
    confirmed again and again.
    """
    found = []
    electors = 0
    for rank, host in enumerate(votes.voters):
        if electors == ELECTORS_MAX:
            break
        electors += not _is_down(votes, host, now)
        if rank >= ELECTORS_MAX or not _has_vote(votes, host, now):
            found.append(host)
    return found


def has_lost_votes(votes: Votes, now: float) -> bool:
    """Return whether there were votes, and all of them have expired."""
    return bool(votes.expires_at) and voted_share(votes, now) == 0.0


def set_voters(votes: Votes, voters: abc.Collection[str], now: float) -> None:
    """Set the daemons of the domain, and drop what has expired."""
    votes.voters = voters
    for host in [each for each, end in votes.expires_at.items() if end <= now]:
        del votes.expires_at[host]
    for host in votes.refusals.keys() - set(voters):
        del votes.refusals[host]


def _has_vote(votes: Votes, host: str, now: float) -> bool:
    return votes.expires_at.get(host, -math.inf) > now


def _is_down(votes: Votes, host: str, now: float) -> bool:
    found = votes.refusals.get(host)
    return found is not None and found.is_down and now < found.expires_at
