"""Answers of the callee's side, each with its load and shed floor."""

from __future__ import annotations

import typing

from sassafrasstair import daemons
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _slots

if typing.TYPE_CHECKING:
    from sassafrasstair import upstreams

_Outcome = outcomes.Outcome


def upstream_answer(
    callee: _slots.Callee,
    attempt: _attempts.Attempt,
    response: upstreams.Response,
    body: bytes,
    *,
    has_more_parts: bool,
) -> daemons.RunAnswer:
    """Return the upstream's answer.

    If ``has_more_parts`` is set, ``body`` is only the beginning of its body.
    """
    return daemons.RunAnswer(
        attempt_id=attempt.message.attempt_id,
        incarnation=callee.incarnation,
        outcome=_Outcome.DONE.value,
        reason=outcomes.Reason.NONE.value,
        retries_spent=attempt.retries_spent,
        busy=load.busy(callee.guard),
        limit=load.learned_limit(callee.guard),
        service_seconds=load.service_seconds(callee.guard),
        floor=_slots.shed_floor(
            callee, attempt.message.request_class, attempt.message.tenant
        ),
        status=response.status,
        headers=response.headers,
        body=body,
        has_more_parts=has_more_parts,
        digest=attempt.answer_digest.digest(),
    )


def refusal(
    callee: _slots.Callee,
    message: daemons.Run,
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
    *,
    spent: int = 0,
    retry_after: float = 0.0,
) -> daemons.RunAnswer:
    """Return a refusal.

    ``retry_after`` is in seconds; 0 leaves it to the rules of the class.
    """
    return daemons.RunAnswer(
        attempt_id=message.attempt_id,
        incarnation=callee.incarnation,
        outcome=outcome.value,
        reason=reason.value,
        retry_after_ms=int(retry_after * 1000),
        retries_spent=spent,
        busy=load.busy(callee.guard),
        limit=load.learned_limit(callee.guard),
        service_seconds=load.service_seconds(callee.guard),
        floor=_slots.shed_floor(callee, message.request_class, message.tenant),
    )


def failure_answer(
    callee: _slots.Callee,
    attempt: _attempts.Attempt,
    result: once.Result,
    retry_after: float = 0.0,
) -> daemons.RunAnswer:
    """Return the answer for an attempt that was refused or failed."""
    outcome = _Outcome.UNKNOWN
    reason = outcomes.Reason.ANSWER_NOT_KEPT
    if isinstance(result, once.NotRun):
        outcome = _Outcome.NOT_RUN
    if isinstance(result, once.NotRun | once.Unknown):
        reason = result.reason
    return refusal(
        callee,
        attempt.message,
        outcome,
        reason,
        spent=attempt.retries_spent,
        retry_after=retry_after,
    )


def stored_answer(
    callee: _slots.Callee,
    message: daemons.Run,
    result: once.Done | once.Summary,
) -> daemons.RunAnswer:
    """Return the stored answer of a ticket that has already been used."""
    if isinstance(result, once.Summary):
        return refusal(callee, message, _Outcome.DONE, result.reason)
    return daemons.RunAnswer(
        attempt_id=message.attempt_id,
        incarnation=callee.incarnation,
        outcome=_Outcome.DONE.value,
        reason=outcomes.Reason.NONE.value,
        busy=load.busy(callee.guard),
        limit=load.learned_limit(callee.guard),
        service_seconds=load.service_seconds(callee.guard),
        floor=_slots.shed_floor(callee, message.request_class, message.tenant),
        status=result.status,
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in result.headers
        ),
        body=result.body,
        digest=_attempts.new_digest(result.body).digest(),
    )
