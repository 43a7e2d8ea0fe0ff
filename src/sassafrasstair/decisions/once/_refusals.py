"""What an entrance may say of a ticket that it did not send on."""

from __future__ import annotations

from sassafrasstair.decisions.once import _messages
from sassafrasstair import outcomes


def entrance_refusal(
    repeat: int, reason: outcomes.Reason
) -> _messages.Refused:
    """Return the refusal of a ticketed call that was not dispatched.

    ``repeat`` is the caller's count of earlier uses of the same ticket.
    Failure: a first attempt went through another entrance and is still on
    its way to the owner; the caller repeats here, is told "not run", and
    then the first attempt runs. Only the owner can void a ticket, so an
    entrance says "not run" of a first use alone.
    """
    outcome = outcomes.Outcome.UNKNOWN
    if repeat == 0:
        outcome = outcomes.Outcome.NOT_RUN
    return _messages.Refused(outcome, reason)
