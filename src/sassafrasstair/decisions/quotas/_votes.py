"""Votes of the daemons of a failure domain that has no peers.

Two daemons of a failure domain may run an allocator at the same time, if each
is reached by some of the others. Other failure domains accept one of them. A
domain without others divides its limits by votes: each daemon votes for one
allocator at a time, and an allocator hands out as large a part of each limit
as it has votes. So the parts never add up to more than the whole, whichever
messages are late or lost and however long a daemon is paused.

A vote is a lease. It counts from when the allocator issued the stamp that
comes with it, on the allocator's clock. The voter is bound from when it sent
the stamp back, which was later, on its own clock.
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
class Votes:
    """The votes that an allocator has received.

    ``voters`` are the daemons that may vote, ``expires_at`` holds the end of
    each vote by host.
    """

    voters: frozenset[str] = frozenset()
    expires_at: dict[str, float] = dataclasses.field(default_factory=dict)


def new_ballot(now: float) -> Ballot:
    """Return the ballot of a starting daemon.

    It does not vote while a vote from before its start may still count.
    """
    return Ballot(now + VOTE_SECONDS)


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
    ballot.bound_until = now + VOTE_SECONDS
    return ballot.stamp


def is_vote_valid(stamp: float, now: float) -> bool:
    """Return whether a vote with a stamp counts at the allocator."""
    return stamp <= now < stamp + VOTE_SECONDS


def count_vote(votes: Votes, host: str, stamp: float, now: float) -> None:
    """Count the vote of a daemon until its stamp expires."""
    if stamp == NO_STAMP or not is_vote_valid(stamp, now):
        return
    votes.expires_at[host] = max(
        stamp + VOTE_SECONDS, votes.expires_at.get(host, -math.inf)
    )


def voted_share(votes: Votes, now: float) -> float:
    """Return the part of the voters that votes for this allocator."""
    if not votes.voters:
        return 0.0
    valid = sum(
        votes.expires_at.get(host, -math.inf) > now for host in votes.voters
    )
    return valid / len(votes.voters)


def set_voters(votes: Votes, voters: abc.Collection[str], now: float) -> None:
    """Set the daemons that may vote, and drop expired votes."""
    votes.voters = frozenset(voters)
    for host in [each for each, end in votes.expires_at.items() if end <= now]:
        del votes.expires_at[host]
