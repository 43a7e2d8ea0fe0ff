"""What is compared with: plain forwarding, and fixed limits.

Both retry at every hop, with a timeout of each hop's own, and route by
what load endpoints say. Neither passes on deadlines, cancellations or
floors. Fixed limits refuse with a Retry-After, and no hop retries that.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles

HOP_TIMEOUT_SHARE = 0.5
QUEUE_PER_SLOT = 2


@dataclasses.dataclass(slots=True)
class Pending:
    """One call under way."""

    call: calls.Call
    tries: int = 0
    attempt_id: str = ""


@dataclasses.dataclass(slots=True)
class Forwarder:
    """The entrance of a baseline, with a fixed count of retries.

    One that ``obeys`` retries no refusal for overload, but passes it on
    with a Retry-After; the other retries anything.
    """

    incarnation: str
    retries: int
    obeys: bool
    pending: dict[str, Pending] = dataclasses.field(default_factory=dict)
    serial: int = 0


def begin(
    state: Forwarder,
    bundle: bundles.Bundle,
    call: calls.Call,
    targets: abc.Sequence[calls.Target],
    loads: abc.Mapping[str, float],
    now: float,
    rng: random.Random,
) -> tuple[str, calls.Effect]:
    """Send the call on, whatever it is."""
    state.serial += 1
    key = f"{state.incarnation}.{state.serial}"
    pending = Pending(call)
    state.pending[key] = pending
    return key, _send(bundle, key, pending, targets, loads, now, rng)


def answered(
    state: Forwarder,
    bundle: bundles.Bundle,
    key: str,
    attempt_id: str,
    answer: calls.Answer,
    targets: abc.Sequence[calls.Target],
    loads: abc.Mapping[str, float],
    now: float,
    rng: random.Random,
) -> calls.Effect | None:
    """Deliver a success; retry anything else while tries are left."""
    pending = state.pending.get(key)
    if pending is None or pending.attempt_id != attempt_id:
        return None
    if answer.outcome is outcomes.Outcome.DONE:
        del state.pending[key]
        return calls.Deliver(attempt_id)
    shed = state.obeys and answer.reason in outcomes.OVERLOAD_REASONS
    if pending.tries <= state.retries and not shed:
        return _send(bundle, key, pending, targets, loads, now, rng)
    del state.pending[key]
    after = 0.0
    if shed:
        refusal = bundle.classes[pending.call.request_class].refusal
        low, high = refusal.retry_after_min_ms, refusal.retry_after_max_ms
        after = rng.uniform(low, high) / 1000
    return calls.Refuse(answer.outcome, answer.reason, after)


def _send(
    bundle: bundles.Bundle,
    key: str,
    pending: Pending,
    targets: abc.Sequence[calls.Target],
    loads: abc.Mapping[str, float],
    now: float,
    rng: random.Random,
) -> calls.Send:
    first = targets[int(rng.random() * len(targets))]
    second = targets[int(rng.random() * len(targets))]
    better = loads.get(first.vm, 0.0) <= loads.get(second.vm, 0.0)
    target = first if better else second
    pending.tries += 1
    pending.attempt_id = f"{key}.{pending.tries}"
    rules = bundle.classes[pending.call.request_class]
    timeout = rules.deadline_ms / 1000 * HOP_TIMEOUT_SHARE
    return calls.Send(pending.attempt_id, target, now + timeout, 0)


@dataclasses.dataclass(slots=True)
class Gate:
    """A fixed limit with a bounded first-in-first-out queue."""

    limit: float
    running: int = 0
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )


def offer(gate: Gate, work: load.Work) -> list[load.Effect]:
    """Start, queue or turn away."""
    if gate.running < gate.limit:
        gate.running += 1
        return [load.Start(work.attempt_id)]
    if len(gate.waiting) < QUEUE_PER_SLOT * gate.limit:
        gate.waiting.append(work.attempt_id)
        return []
    return [load.TurnAway(work.attempt_id, outcomes.Reason.QUEUE_FULL, 0.0)]


def finish(gate: Gate) -> list[load.Effect]:
    """Start the next in the queue."""
    if gate.waiting:
        return [load.Start(gate.waiting.popleft())]
    gate.running -= 1
    return []
