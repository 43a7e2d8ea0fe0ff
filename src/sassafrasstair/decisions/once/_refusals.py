"""Refusals of an entrance for a ticket that it did not send on."""

from __future__ import annotations

from sassafrasstair.decisions.once import _messages
from sassafrasstair import outcomes


def entrance_refusal(
    repeat: int, reason: outcomes.Reason
) -> _messages.Refused:
    """Return the refusal of a ticketed call that was not dispatched.

    ``repeat`` is the caller's count of earlier uses of the same ticket.
    A first attempt may have gone through another entrance and still be on
    its way to the owner. If the repeat were answered "not run" here, the
    first attempt could run after that. Only the owner can void a ticket, so
    an entrance answers "not run" for a first use only.
    """
    outcome = outcomes.Outcome.UNKNOWN
    if repeat == 0:
        outcome = outcomes.Outcome.NOT_RUN
    return _messages.Refused(outcome, reason)
