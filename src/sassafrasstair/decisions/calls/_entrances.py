"""The entrance: from a caller's request to its one final answer.

The daemon that a caller calls is the entrance for that call. It refuses
what would be refused further down, picks the instance, and retries within
the chain's allowance. Once-only work goes to its ticket's owner alone and
is never retried.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.calls import _messages
from sassafrasstair.decisions.calls import _retries
from sassafrasstair.decisions.calls import _routing
from sassafrasstair.decisions import load
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles


@dataclasses.dataclass(slots=True)
class Floor:
    """Shed floor last heard from a service for a class, and when."""

    value: float
    heard: float


@dataclasses.dataclass(slots=True)
class Pending:
    """One call under way at this entrance."""

    call: _messages.Call
    tried: list[str] = dataclasses.field(default_factory=list)
    attempt_id: str = ""
    spent: int = 0


@dataclasses.dataclass(slots=True)
class Entrance:
    """State of an entrance: calls under way, floors, budgets, routes."""

    incarnation: str
    routes: _routing.Routes
    pending: dict[str, Pending] = dataclasses.field(default_factory=dict)
    floors: dict[tuple[str, str], Floor] = dataclasses.field(
        default_factory=dict
    )
    budgets: dict[str, _retries.Budget] = dataclasses.field(
        default_factory=dict
    )
    serial: int = 0


def new_entrance(
    incarnation: str, failure_domain: str, region: str
) -> Entrance:
    """Return an entrance that has seen nothing yet."""
    return Entrance(incarnation, _routing.Routes(failure_domain, region))


def begin(
    entrance: Entrance,
    bundle: bundles.Bundle,
    call: _messages.Call,
    targets: abc.Sequence[_messages.Target],
    now: float,
    rng: random.Random,
) -> tuple[str, _messages.Effect]:
    """Take a call; return its key at this entrance and what to do.

    The key is needed for ``answered``. It is the caller's job to have
    checked that the bundle knows the service and the class.
    """
    rules = bundle.classes[call.request_class]
    if now >= call.deadline:
        return "", _refuse(rules, call, outcomes.Reason.DEADLINE_PASSED, rng)
    if call.repeat > rules.caller_repeats:
        return "", _refuse(rules, call, outcomes.Reason.TOO_MANY_REPEATS, rng)
    if not call.ticket and _is_shed(entrance, bundle, call, now):
        return "", _refuse(rules, call, outcomes.Reason.SHED_AT_ENTRANCE, rng)
    entrance.serial += 1
    key = f"{entrance.incarnation}.{entrance.serial}"
    pending = Pending(call)
    entrance.pending[key] = pending
    effect = _send(entrance, key, pending, targets, now, rng)
    if effect is None:
        del entrance.pending[key]
        reason = outcomes.Reason.NO_INSTANCE
        return "", _refuse(rules, call, reason, rng)
    return key, effect


def answered(
    entrance: Entrance,
    bundle: bundles.Bundle,
    key: str,
    attempt_id: str,
    answer: _messages.Answer,
    targets: abc.Sequence[_messages.Target],
    now: float,
    rng: random.Random,
) -> _messages.Effect | None:
    """Take the end of an attempt; None if it is late or doubled."""
    pending = entrance.pending.get(key)
    if pending is None or pending.attempt_id != attempt_id:
        return None
    call = pending.call
    _routing.ended(entrance.routes, pending.tried[-1], answer, now)
    _hear(entrance, call, answer, now)
    pending.spent += answer.spent
    budget = _budget(entrance, bundle, call.service)
    if answer.outcome is outcomes.Outcome.DONE:
        _retries.earn(budget, bundle.retry_budget)
        del entrance.pending[key]
        return _messages.Deliver(attempt_id, pending.spent)
    if _may_retry(bundle, pending, answer, now) and _retries.spend(budget):
        pending.spent += 1
        effect = _send(entrance, key, pending, targets, now, rng)
        if effect is not None:
            return effect
    del entrance.pending[key]
    return _messages.Refuse(
        answer.outcome,
        answer.reason,
        answer.retry_after,
        pending.spent,
        answer.load.floor,
    )


def abandon(entrance: Entrance, key: str, now: float) -> str:
    """Forget a call whose caller went away; return its attempt or ""."""
    pending = entrance.pending.pop(key, None)
    if pending is None:
        return ""
    gone = _messages.Answer(
        outcomes.Outcome.UNKNOWN, outcomes.Reason.CANCELLED
    )
    _routing.ended(entrance.routes, pending.tried[-1], gone, now)
    return pending.attempt_id


def floor(
    entrance: Entrance, service: str, request_class: str, now: float
) -> float:
    """Return the floor that ``service`` last told for the class."""
    heard = entrance.floors.get((service, request_class))
    return heard.value if heard is not None else 0.0


def _is_shed(
    entrance: Entrance,
    bundle: bundles.Bundle,
    call: _messages.Call,
    now: float,
) -> bool:
    rules = bundle.classes[call.request_class]
    # The bundle's version is the one epoch that all daemons agree on.
    rank = load.rank(rules.importance, call.caller, bundle.version)
    return rank < floor(entrance, call.service, call.request_class, now)


def _send(
    entrance: Entrance,
    key: str,
    pending: Pending,
    targets: abc.Sequence[_messages.Target],
    now: float,
    rng: random.Random,
) -> _messages.Send | None:
    target = _routing.pick(entrance.routes, targets, pending.tried, now, rng)
    if target is None:
        return None
    pending.tried.append(target.vm)
    pending.attempt_id = f"{key}.{len(pending.tried)}"
    _routing.sent(entrance.routes, target.vm, now)
    left = max(0, pending.call.retries - pending.spent)
    return _messages.Send(
        pending.attempt_id, target, pending.call.deadline, left
    )


def _may_retry(
    bundle: bundles.Bundle,
    pending: Pending,
    answer: _messages.Answer,
    now: float,
) -> bool:
    rules = bundle.classes[pending.call.request_class]
    if answer.reason in outcomes.OVERLOAD_REASONS:
        return False
    if rules.once and answer.outcome is not outcomes.Outcome.NOT_RUN:
        return False
    if now >= pending.call.deadline:
        return False
    return pending.spent < pending.call.retries


def _budget(
    entrance: Entrance, bundle: bundles.Bundle, service: str
) -> _retries.Budget:
    budget = entrance.budgets.get(service)
    if budget is None:
        budget = _retries.new_budget(bundle.retry_budget)
        entrance.budgets[service] = budget
    return budget


def _hear(
    entrance: Entrance,
    call: _messages.Call,
    answer: _messages.Answer,
    now: float,
) -> None:
    if answer.incarnation:
        entrance.floors[call.service, call.request_class] = Floor(
            answer.load.floor, now
        )


def _refuse(
    rules: bundles.RequestClass,
    call: _messages.Call,
    reason: outcomes.Reason,
    rng: random.Random,
) -> _messages.Refuse:
    after = _retries.retry_after(rules.refusal, call.repeat, rng)
    return _messages.Refuse(outcomes.Outcome.NOT_RUN, reason, after)
