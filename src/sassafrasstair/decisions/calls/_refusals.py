"""The share of attempts that an instance itself refuses.

An instance that refuses a part of what it gets answers quickly and looks idle
by its load. It costs a repeat for each refusal, so it gets less than the
other instances of its service, as long as those refuse fewer.
"""

from __future__ import annotations

import math
import typing

from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.calls import _messages
    from sassafrasstair.decisions.calls import _peers

# What one repeat costs: a round trip and another turn at an instance.
REPEAT_SECONDS = 0.015
# The counts of answers halve in this time, and so does the share of refusals
# of an instance that is not asked.
HALF_LIFE = 1.0
# Added to the answers, so that a single refusal counts little.
PRIOR_ANSWERS = 2.0
SHARE_MAX = 0.9


def count_answer(
    peer: _peers.Peer, answer: _messages.Answer, now: float
) -> None:
    """Count an answer if the instance itself took or refused the attempt."""
    refused = answer.reason is outcomes.Reason.UPSTREAM_REFUSED
    if not refused and answer.outcome is not outcomes.Outcome.DONE:
        return
    decay = math.exp2(-(now - peer.counted_at) / HALF_LIFE)
    peer.answers = peer.answers * decay + 1.0
    peer.refusals = peer.refusals * decay + refused
    peer.counted_at = now


def share(peer: _peers.Peer, now: float) -> float:
    """Return the share of attempts that the instance refuses now."""
    if peer.refusals <= 0.0:
        return 0.0
    decay = math.exp2(-(now - peer.counted_at) / HALF_LIFE)
    counted = peer.refusals / (peer.answers + PRIOR_ANSWERS)
    return min(SHARE_MAX, counted * decay)


def least_share(peers: abc.Iterable[_peers.Peer | None], now: float) -> float:
    """Return the least share of the instances; unknown ones refuse none."""
    shares = (0.0 if peer is None else share(peer, now) for peer in peers)
    return min(shares, default=0.0)


def repeat_seconds(peer: _peers.Peer, least: float, now: float) -> float:
    """Return the expected cost of the repeats after attempts at ``peer``.

    Only the share above ``least`` counts, that of the instance of the service
    that refuses the fewest, and of it what exceeds the standard error.
    """
    refused = share(peer, now)
    answers = peer.answers + PRIOR_ANSWERS
    excess = refused - least - math.sqrt(refused * (1.0 - refused) / answers)
    if excess <= 0.0:
        return 0.0
    return REPEAT_SECONDS * excess / (1.0 - excess)
