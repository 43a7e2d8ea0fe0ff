"""The entrance: from a caller's request to its one final answer.

The daemon that a caller calls is the entrance for that call. It refuses
what would be refused further down, picks the instance, and retries within
the chain's allowance. Once-only work goes to its ticket's owner alone and
is never retried.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.calls import _floors
from sassafrasstair.decisions.calls import _messages
from sassafrasstair.decisions.calls import _peers
from sassafrasstair.decisions.calls import _retries
from sassafrasstair.decisions.calls import _routing
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles


@dataclasses.dataclass(slots=True)
class PendingCall:
    """One call under way at this entrance.

    ``lost`` is set once an attempt ended without its outcome known.
    """

    call: _messages.Call
    rank: float
    may_have_run: bool = False
    tried: list[str] = dataclasses.field(default_factory=list)
    attempt_id: str = ""
    sent_at: float = 0.0
    retries_granted: int = 0
    retries_spent: int = 0


@dataclasses.dataclass(slots=True)
class Entrance:
    """State of an entrance: calls under way, floors, budgets, routes."""

    incarnation: str
    routes: _peers.Routes
    pending: dict[str, PendingCall] = dataclasses.field(default_factory=dict)
    floors: _floors.Floors = dataclasses.field(default_factory=_floors.Floors)
    budgets: dict[str, _retries.Budget] = dataclasses.field(
        default_factory=dict
    )
    serial: int = 0


def new_entrance(
    incarnation: str, failure_domain: str, region: str
) -> Entrance:
    """Return an entrance that has seen nothing yet."""
    return Entrance(incarnation, _peers.Routes(failure_domain, region))


def begin_call(
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
    # The bundle's version is the one epoch that all daemons agree on.
    rank = load.rank(rules.importance, call.caller, bundle.version)
    least = _floors.of_service(entrance.floors, _floor_key(call), now)
    if not call.ticket and rank < least:
        reason = outcomes.Reason.SHED_AT_ENTRANCE
        return "", _refuse(rules, call, reason, rng, least)
    entrance.serial += 1
    key = f"{entrance.incarnation}.{entrance.serial}"
    pending = PendingCall(call, rank)
    effect = _send(entrance, bundle, key, pending, targets, now, rng)
    if effect is None:
        reason = outcomes.Reason.NO_INSTANCE
        return "", _refuse(rules, call, reason, rng)
    entrance.pending[key] = pending
    return key, effect


def apply_answer(
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
    vm = pending.tried[-1]
    _peers.end_attempt(entrance.routes, vm, answer, now - pending.sent_at, now)
    if answer.incarnation:
        key_of_floor = _floor_key(call)
        told = answer.load.floor
        _floors.observe_floor(entrance.floors, key_of_floor, vm, told, now)
    pending.retries_spent += _retries_spent(pending, answer)
    lost = answer.outcome is outcomes.Outcome.UNKNOWN
    pending.may_have_run = pending.may_have_run or lost
    budget = _budget(entrance, bundle, call.service)
    if answer.outcome is outcomes.Outcome.DONE:
        _retries.earn(budget, bundle.retry_budget)
        del entrance.pending[key]
        return _messages.Deliver(
            attempt_id, pending.retries_spent, answer.load.floor
        )
    if _may_retry(bundle, pending, answer, now) and _retries.spend(budget):
        pending.retries_spent += 1
        effect = _send(entrance, bundle, key, pending, targets, now, rng)
        if effect is not None:
            return effect
    del entrance.pending[key]
    return _messages.Refuse(
        _final_outcome(pending, answer),
        answer.reason,
        _retry_after(bundle, call, answer, rng),
        pending.retries_spent,
        answer.load.floor,
    )


def abandon_call(entrance: Entrance, key: str, now: float) -> str:
    """Forget a call whose caller went away; return its attempt or ""."""
    pending = entrance.pending.pop(key, None)
    if pending is None:
        return ""
    _peers.forget_attempt(entrance.routes, pending.tried[-1])
    return pending.attempt_id


def floor(
    entrance: Entrance,
    service: str,
    request_class: str,
    now: float,
    tenant: str = "",
) -> float:
    """Return the floor that ``service`` last told for the class."""
    key = (service, request_class, tenant)
    return _floors.of_service(entrance.floors, key, now)


def max_callee_floor(
    entrance: Entrance,
    bundle: bundles.Bundle,
    service: str,
    request_class: str,
    now: float,
    tenant: str = "",
) -> float:
    """Return the greatest floor of what ``service`` itself calls.

    A daemon tells the greater of this and its guard's floor on answers, so
    that the refusal moves to the first entrance. The service's own floors
    are left out: its instances would tell each other an old floor for ever.
    """
    callees = bundle.services[service].calls
    return max(
        (
            floor(entrance, callee, request_class, now, tenant)
            for callee in callees
        ),
        default=0.0,
    )


def _floor_key(call: _messages.Call) -> tuple[str, str, str]:
    return call.service, call.request_class, call.tenant


def _send(
    entrance: Entrance,
    bundle: bundles.Bundle,
    key: str,
    pending: PendingCall,
    targets: abc.Sequence[_messages.Target],
    now: float,
    rng: random.Random,
) -> _messages.Send | None:
    call = pending.call
    refusing = _floors.refusing_vms(
        entrance.floors, _floor_key(call), pending.rank, now
    )
    passing = [target for target in targets if target.vm not in refusing]
    target = _routing.pick_target(
        entrance.routes, passing or targets, pending.tried, now, rng
    )
    if target is None:
        return None
    pending.tried.append(target.vm)
    pending.attempt_id = f"{key}.{len(pending.tried)}"
    pending.sent_at = now
    _peers.start_attempt(entrance.routes, target.vm, now)
    leaf = not bundle.services[call.service].calls
    left = call.retries - pending.retries_spent
    pending.retries_granted = _retries.retries_to_grant(left, leaf)
    return _messages.Send(
        pending.attempt_id, target, call.deadline, pending.retries_granted
    )


def _retries_spent(pending: PendingCall, answer: _messages.Answer) -> int:
    """Return the retries used further down.

    An attempt that was lost may have used all that it was given: less
    would let the chain make more than its allowance.
    """
    lost = answer.outcome is outcomes.Outcome.UNKNOWN
    if lost and not answer.incarnation:
        return pending.retries_granted
    return answer.retries_spent


def _final_outcome(
    pending: PendingCall, answer: _messages.Answer
) -> outcomes.Outcome:
    """Return what the caller may be told of a call that failed.

    Failure: the first attempt ran and was lost, the second was refused,
    and the caller was told "not run". One lost attempt leaves the whole
    call unknown.

    Failure: a repeat cannot reach its ticket's owner, its caller is told
    "not run", and the earlier use, still on its way, runs. Without the
    owner's own word "not run" holds for a first use alone.
    """
    if pending.may_have_run:
        return outcomes.Outcome.UNKNOWN
    call = pending.call
    not_run = answer.outcome is outcomes.Outcome.NOT_RUN
    if not (call.ticket and not_run) or answer.incarnation:
        return answer.outcome
    return once.entrance_refusal(call.repeat, answer.reason).outcome


def _may_retry(
    bundle: bundles.Bundle,
    pending: PendingCall,
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
    return pending.retries_spent < pending.call.retries


def _budget(
    entrance: Entrance, bundle: bundles.Bundle, service: str
) -> _retries.Budget:
    budget = entrance.budgets.get(service)
    if budget is None:
        budget = _retries.new_budget(bundle.retry_budget)
        entrance.budgets[service] = budget
    return budget


def _retry_after(
    bundle: bundles.Bundle,
    call: _messages.Call,
    answer: _messages.Answer,
    rng: random.Random,
) -> float:
    """Return the Retry-After in seconds, the entrance's own if greater."""
    rules = bundle.classes[call.request_class]
    if answer.reason not in outcomes.OVERLOAD_REASONS:
        return answer.retry_after
    own = _retries.retry_after(rules.refusal, call.repeat, rng)
    return max(own, answer.retry_after)


def _refuse(
    rules: bundles.RequestClass,
    call: _messages.Call,
    reason: outcomes.Reason,
    rng: random.Random,
    floor: float = 0.0,
) -> _messages.Refuse:
    after = _retries.retry_after(rules.refusal, call.repeat, rng)
    outcome = outcomes.Outcome.NOT_RUN
    if call.ticket:
        outcome = once.entrance_refusal(call.repeat, reason).outcome
    return _messages.Refuse(outcome, reason, after, floor=floor)
