"""The entrance: handles a call from its arrival to its one final answer.

The daemon that receives a call from a caller is the entrance for that call.
Each hop of a chain has one: an upstream sends its own calls to the daemon on
its VM. The entrance refuses calls that would be refused further down the
chain, picks the instance for each attempt, and retries as often as the
chain's retry limit allows.

A request is what a client asks of the first service of a chain. A call is
what one service is asked at one hop: the request itself, or a part of it that
an upstream asks of another service. An attempt sends a call to one instance,
whose guard treats it as work (see ``load``). A retry is a further attempt
that the entrance makes for the same call after one that was sent. A repeat is
the same call, sent again by the caller.

A call of a once-only class (``rules.once``) carries a ticket. The ticket names
its owner, the one daemon process that may run the call (see ``once``). Such a
call is sent to the owner alone, and is not retried after an attempt that may
have run.

The shed floor of an instance is the rank below which it refuses calls.
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

    ``rank`` decides which calls are refused first (see ``load.rank``).
    ``may_have_run`` is set once an attempt ended without a known outcome.
    ``tried`` are the VMs of all attempts, the latest last; ``attempt_id``
    and ``sent_at`` belong to the latest one, and ``retries_granted`` is how
    many retries it may use further down. ``retries_spent`` counts the
    retries used so far, here and further down.
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
    """State of an entrance.

    ``routes`` is the state of the instances that it calls; it is unrelated
    to the routes of a policy. ``pending`` are the calls under way by their
    keys, ``floors`` the shed floors that callees reported, and ``budgets``
    the retry budgets by callee service. ``serial`` numbers the calls.
    """

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
    """Return the state of an entrance without any calls."""
    return Entrance(incarnation, _peers.Routes(failure_domain, region))


def begin_call(
    entrance: Entrance,
    bundle: bundles.Bundle,
    call: _messages.Call,
    targets: abc.Sequence[_messages.Target],
    now: float,
    rng: random.Random,
) -> tuple[str, _messages.Effect]:
    """Accept or refuse a call; return its key and what to do.

    The key identifies the call in ``apply_answer`` and ``abandon_call``; it
    is empty if the call is refused. The bundle must contain the service and
    the class, which this function does not check. Daemons set ``call.ticket``
    if ``rules.once`` is set, or was set when the ticket was issued.

    A call with a ticket is not refused for the shed floor: the floor was
    applied when the ticket was issued, before the caller depended on it.
    """
    rules = bundle.classes[call.request_class]
    if now >= call.deadline:
        return "", _refuse(rules, call, outcomes.Reason.DEADLINE_PASSED, rng)
    if call.repeat > rules.caller_repeats:
        return "", _refuse(rules, call, outcomes.Reason.TOO_MANY_REPEATS, rng)
    # The version of the bundle serves as the epoch of the rank because all
    # daemons agree on it. A new version reshuffles the callers, so that
    # others are shed first within an importance.
    rank = load.rank(rules.importance, call.caller, bundle.version)
    lowest_floor = _floors.of_service(entrance.floors, _floor_key(call), now)
    if not call.ticket and rank < lowest_floor:
        reason = outcomes.Reason.SHED_AT_ENTRANCE
        return "", _refuse(rules, call, reason, rng, lowest_floor)
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
    """Process the end of an attempt and return what to do.

    Returns None if the answer is not for the latest attempt of a call under
    way: it is a duplicate, or came after the entrance had given up on its
    attempt.
    """
    pending = entrance.pending.get(key)
    if pending is None or pending.attempt_id != attempt_id:
        return None
    call = pending.call
    vm = pending.tried[-1]
    _peers.end_attempt(entrance.routes, vm, answer, now - pending.sent_at, now)
    if answer.incarnation:
        floor_key = _floor_key(call)
        reported_floor = answer.load.floor
        _floors.observe_floor(
            entrance.floors, floor_key, vm, reported_floor, now
        )
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
    if _try_again(bundle, pending, answer, budget, now):
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
    """Remove a call whose caller has gone away.

    Returns the id of the attempt under way, or "" if the call is unknown.
    """
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
    """Return the shed floor that ``service`` reported for the class."""
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
    """Return the highest shed floor of the services that ``service`` calls.

    A daemon reports the higher of this and its guard's floor in its answers,
    so that calls are refused at the first entrance of the chain. The floors
    of ``service`` itself are left out: its instances would otherwise keep
    reporting an old floor to each other forever.
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
    refusing_vms = _floors.refusing_vms(
        entrance.floors, _floor_key(call), pending.rank, now
    )
    accepting = [target for target in targets if target.vm not in refusing_vms]
    target = _routing.pick_target(
        entrance.routes, accepting or targets, pending.tried, now, rng
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
    """Return the retries that an attempt used further down the chain.

    An attempt whose daemon did not answer (``incarnation`` is empty) may have
    used all retries granted to it. Counting fewer would let the chain exceed
    its retry limit.
    """
    lost = answer.outcome is outcomes.Outcome.UNKNOWN
    if lost and not answer.incarnation:
        return pending.retries_granted
    return answer.retries_spent


def _final_outcome(
    pending: PendingCall, answer: _messages.Answer
) -> outcomes.Outcome:
    """Return the outcome to report to the caller of a failed call.

    One attempt with an unknown outcome makes the whole call unknown: it may
    have run, even if a later attempt was refused.

    "Not run" from the owner of a ticket is passed on; ``incarnation`` is set
    only if the remote daemon itself answered. Without such an answer, "not
    run" holds only for the first use of the ticket. For a repeat, the result
    is "unknown", because an earlier use may still reach the owner and run.
    """
    if pending.may_have_run:
        return outcomes.Outcome.UNKNOWN
    call = pending.call
    not_run = answer.outcome is outcomes.Outcome.NOT_RUN
    if not (call.ticket and not_run) or answer.incarnation:
        return answer.outcome
    return once.entrance_refusal(call.repeat, answer.reason).outcome


def _try_again(
    bundle: bundles.Bundle,
    pending: PendingCall,
    answer: _messages.Answer,
    budget: _retries.Budget,
    now: float,
) -> bool:
    """Decide about a further attempt, and spend a retry if it is one.

    An attempt that was not sent cost its callee nothing. The one that takes
    its place is no retry, and the instances left to try bound their number.
    """
    if answer.is_unsent:
        return now < pending.call.deadline
    if not _may_retry(bundle, pending, answer, now):
        return False
    if not _retries.spend(budget):
        return False
    pending.retries_spent += 1
    return True


def _may_retry(
    bundle: bundles.Bundle,
    pending: PendingCall,
    answer: _messages.Answer,
    now: float,
) -> bool:
    rules = bundle.classes[pending.call.request_class]
    is_once = rules.once or bool(pending.call.ticket)
    if answer.reason in outcomes.OVERLOAD_REASONS:
        return False
    if is_once and answer.outcome is not outcomes.Outcome.NOT_RUN:
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
    """Return the Retry-After in seconds.

    After a refusal for overload, it is the greater one of the callee's time
    and the entrance's own.
    """
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
    """Return the refusal of a call that this entrance has not sent.

    A call without a ticket was not run. Of a call with one, this is known
    for the first use of the ticket only (see ``_final_outcome``).
    """
    retry_after = _retries.retry_after(rules.refusal, call.repeat, rng)
    outcome = outcomes.Outcome.NOT_RUN
    if call.ticket:
        outcome = once.entrance_refusal(call.repeat, reason).outcome
    return _messages.Refuse(outcome, reason, retry_after, floor=floor)
