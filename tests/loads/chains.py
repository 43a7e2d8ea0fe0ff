"""A chain of services on the real decisions, under a virtual clock.

Clients of two kinds call through entrances on all VMs. After its own work
each request asks the last service several times, one call after the other,
from a VM of a failure domain, in which there is one instance of the last
service. The decisions are those that the daemon runs: gates, ranks, loads of
chains, choice of instance, guards.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
import typing

from sassafrasstair.bench import _model_clock
from sassafrasstair.decisions import admission
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import costs
from sassafrasstair.decisions import load
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

TICK_SECONDS = 0.05
HOP_SECONDS = 0.001
PEEK = "peek"
ATTEMPTS = 2
LEAST_IMPORTANCE = 7


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request; ``rows`` of calls go side by side."""

    name: str
    importance: int
    per_second: float
    worth: float
    rows: int = 1
    row_calls: int = 4
    own_seconds: float = 0.15
    objective: float = 1.5
    timeout: float = 0.8
    call_seconds: float | None = None


LOOKUP = Kind("lookup", 7, 122.0, 1.0)
ORDER = Kind("order", 9, 50.0, 3.0, rows=2, own_seconds=0.2, timeout=1.0)


@dataclasses.dataclass
class Tally:
    """What became of one kind's requests, by the second they came."""

    asked: dict[int, int] = dataclasses.field(default_factory=dict)
    done: dict[int, int] = dataclasses.field(default_factory=dict)
    failed: dict[int, int] = dataclasses.field(default_factory=dict)

    def share(self, since: int, until: int) -> float:
        """Return the share done of what came in these seconds."""
        asked = sum(self.asked.get(at, 0) for at in range(since, until))
        done = sum(self.done.get(at, 0) for at in range(since, until))
        return done / max(1, asked)


@dataclasses.dataclass
class Request:
    """One request under way; ``rows`` are those that still run."""

    kind: Kind
    entrance: int
    rank: float
    came: float
    caller: int
    rows: int
    failed: bool = False


@dataclasses.dataclass
class Peek:
    """One call of a request at the last service."""

    request: Request
    left: int
    tried: list[str] = dataclasses.field(default_factory=list)
    sent: float = 0.0


def rank_of(request: Request) -> float:
    """Return the rank of a request's calls: that of the request itself."""
    return request.rank


class Chain:
    """Entrances, callers in the middle, and instances of a last service.

    ``callers`` are the VMs that ask the last service, in the failure domains
    in turn.
    """

    def __init__(
        self,
        seed: int,
        kinds: abc.Sequence[Kind] = (LOOKUP, ORDER),
        speeds: abc.Sequence[float] = (0.6, 1.0, 1.4),
        slots: int = 15,
        entrances: int = 13,
        callers: int = 12,
        work_seconds: float = 0.03,
        by_cost: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.timeline = _model_clock.Timeline()
        self.kinds = kinds
        self.speeds = dict(enumerate(speeds))
        self.slowness: abc.Callable[[float], float] = lambda now: 1.0
        self.surge: abc.Callable[[float], float] = lambda now: 1.0
        self.refusing: abc.Callable[[float], float] = lambda now: 0.0
        self.tallies = {kind.name: Tally() for kind in kinds}
        self.gates = [admission.Admission() for _ in range(entrances)]
        self.work_seconds = work_seconds
        self.by_cost = by_cost
        self.allowances = [admission.Allowances() for _ in range(entrances)]
        self.heard = [admission.CalleeLoads() for _ in range(callers)]
        self.ledgers = [costs.Ledger() for _ in range(callers)]
        self.routes = [
            calls.Routes(
                f"d{caller % len(speeds)}", "r", try_unreachable=False
            )
            for caller in range(callers)
        ]
        self.targets = tuple(
            calls.Target(f"i{domain}", PEEK, f"d{domain}", "r")
            for domain in self.speeds
        )
        self.guards = {
            target.vm: load.new_guard(slots, 0.0, patient=True)
            for target in self.targets
        }
        self.demands = {vm: costs.Demand() for vm in self.guards}
        self.crossed = 0
        self.peeks = 0
        self._serial = itertools.count()
        self._attempts: dict[str, tuple[Peek, str]] = {}
        self._after(0.0, self._tick)
        for kind in kinds:
            self._after(self._pause(kind), self._come, kind)

    @property
    def now(self) -> float:
        """Seconds of the virtual clock."""
        return self.timeline.now

    def run(self, seconds: float) -> None:
        """Play until the clock shows so many seconds."""
        self.timeline.run(seconds)

    def remove(self, domain: int) -> None:
        """Let the domain's instance leave."""
        self.targets = tuple(
            target for target in self.targets if target.vm != f"i{domain}"
        )

    def worth(self, since: int, until: int) -> float:
        """Return the share of the worth asked for that was served."""
        asked = done = 0.0
        for kind in self.kinds:
            tally = self.tallies[kind.name]
            for at in range(since, until):
                asked += kind.worth * tally.asked.get(at, 0)
                done += kind.worth * tally.done.get(at, 0)
        return done / max(1.0, asked)

    def note_call(self, peek: Peek) -> None:
        """Note a call that is sent for the first time."""

    def may_repeat(self, peek: Peek, reason: outcomes.Reason) -> bool:
        """Return whether a call that ended for this reason is sent again."""
        return True

    def _after(
        self,
        seconds: float,
        action: abc.Callable[..., None],
        *args: typing.Any,
    ) -> None:
        self.timeline.at(self.now + seconds, action, *args)

    def _pause(self, kind: Kind) -> float:
        return self.rng.expovariate(kind.per_second * self.surge(self.now))

    def _tick(self) -> None:
        for vm, guard in self.guards.items():
            self._perform(vm, load.tick(guard, self.now))
        self._after(TICK_SECONDS, self._tick)

    def _come(self, kind: Kind) -> None:
        self._after(self._pause(kind), self._come, kind)
        tally = self.tallies[kind.name]
        second = int(self.now)
        tally.asked[second] = tally.asked.get(second, 0) + 1
        entrance = self.rng.randrange(len(self.gates))
        if not self._admit(kind, entrance):
            return
        request = Request(
            kind,
            entrance,
            kind.importance + self.rng.random(),
            self.now,
            self.rng.randrange(len(self.heard)),
            kind.rows,
        )
        work = kind.own_seconds * self.rng.lognormvariate(-0.1, 0.5)
        work *= self.slowness(self.now)
        for _ in range(kind.rows):
            self._after(
                work,
                self._send,
                Peek(request, kind.row_calls),
            )

    def _admit(self, kind: Kind, entrance: int) -> bool:
        if self.by_cost:
            return admission.admit_kind(
                self.allowances[entrance],
                (kind.name, kind.importance),
                self.now,
                self.rng,
            )
        above = kind.importance - LEAST_IMPORTANCE
        return admission.admit(
            self.gates[entrance], kind.name, above, self.now, self.rng
        )

    def _send(self, peek: Peek) -> None:
        request = peek.request
        left = request.came + request.kind.timeout - self.now
        routes = self.routes[request.caller]
        target = calls.pick_target(
            routes, self.targets, peek.tried, self.now, self.rng
        )
        if request.failed or left <= 0.0 or target is None:
            self._end_row(request, failed=True)
            return
        if not peek.tried:
            self.peeks += 1
            self.note_call(peek)
        self.crossed += target.failure_domain != routes.failure_domain
        peek.tried.append(target.vm)
        peek.sent = self.now
        calls.start_attempt(routes, target.vm, self.now)
        attempt = f"{next(self._serial)}"
        self._attempts[attempt] = peek, target.vm
        costs.record_offer(
            self.demands[target.vm],
            load.route_seconds(self.guards[target.vm], request.kind.name),
            self.now,
        )
        guard = self.guards[target.vm]
        work = load.Work(
            attempt,
            request.kind.name,
            "",
            rank_of(request),
            self.now + left,
            0.5 * min(0.3, left),
        )
        self._perform(target.vm, load.offer(guard, work, self.now))

    def _perform(self, vm: str, effects: list[load.Effect]) -> None:
        for effect in effects:
            attempt = effect.attempt_id
            if isinstance(effect, load.Start):
                speed = self.speeds[int(vm[1:])]
                kind = self._attempts[attempt][0].request.kind
                work = kind.call_seconds or self.work_seconds
                work *= self.rng.lognormvariate(-0.12, 0.5)
                seconds = work / speed * self.slowness(self.now)
                refused = self.rng.random() < self.refusing(self.now)
                self._after(
                    HOP_SECONDS if refused else seconds + HOP_SECONDS,
                    self._finish,
                    attempt,
                    refused,
                )
            elif isinstance(effect, load.TurnAway):
                self._answered(attempt, effect.reason)
            else:
                guard = self.guards[vm]
                end = load.End.CANCELLED
                self._perform(vm, load.finish(guard, attempt, end, self.now))
                self._answered(attempt, outcomes.Reason.DEADLINE_PASSED)

    def _finish(self, attempt: str, refused: bool) -> None:
        if attempt not in self._attempts:
            return
        _, vm = self._attempts[attempt]
        end = load.End.FAILED if refused else load.End.DONE
        effects = load.finish(self.guards[vm], attempt, end, self.now)
        reason = outcomes.Reason.NONE
        if refused:
            reason = outcomes.Reason.UPSTREAM_REFUSED
        self._answered(attempt, reason)
        self._perform(vm, effects)

    def _answered(self, attempt: str, reason: outcomes.Reason) -> None:
        peek, vm = self._attempts.pop(attempt)
        request = peek.request
        guard = self.guards[vm]
        level = int(rank_of(request))
        service = load.service_seconds(guard)
        told = calls.LoadReport(
            load.busy(guard),
            limit=load.limit(guard, self.now),
            service_seconds=service,
        )
        good = reason is outcomes.Reason.NONE
        outcome = outcomes.Outcome.DONE if good else outcomes.Outcome.NOT_RUN
        answer = calls.Answer(outcome, reason, told, incarnation=vm)
        routes = self.routes[request.caller]
        taken = self.now - peek.sent
        calls.end_attempt(routes, vm, answer, taken, self.now)
        pressure = admission.pressure(
            load.busy_at_or_above(guard, level), service
        )
        admission.observe_inner_load(
            self.heard[request.caller], PEEK, level, pressure, self.now
        )
        self._observe_cost(request, vm)
        if good:
            if peek.left > 1:
                self._send(Peek(request, peek.left - 1))
            else:
                self._end_row(request, failed=False)
        elif len(peek.tried) < ATTEMPTS and self.may_repeat(peek, reason):
            self._send(peek)
        else:
            self._end_row(request, failed=True)

    def _observe_cost(self, request: Request, vm: str) -> None:
        """Report what the answer to a call tells of costs."""
        guard = self.guards[vm]
        offered = costs.offered_share(
            self.demands[vm], load.limit(guard, self.now), self.now
        )
        cost = costs.ServiceCost(
            PEEK,
            load.route_seconds(guard, request.kind.name),
            offered,
            load.wait_seconds(guard),
        )
        ledger = self.ledgers[request.caller]
        costs.observe_costs(ledger, request.kind.name, [cost], self.now)

    def _cost_of(self, request: Request) -> list[costs.ServiceCost]:
        kind = request.kind
        known = self.ledgers[request.caller].by_call.get(kind.name, {})
        return [
            costs.ServiceCost(
                service,
                cost.slot_seconds * kind.rows * kind.row_calls,
                cost.offered,
                cost.wait_seconds,
            )
            for service, cost in known.items()
            if cost.offered >= costs.MIN_OFFERED
        ]

    def _end_row(self, request: Request, failed: bool) -> None:
        request.rows -= 1
        request.failed = request.failed or failed
        if request.rows:
            return
        kind, tally = request.kind, self.tallies[request.kind.name]
        below = admission.busiest_callee_load(
            self.heard[request.caller], kind.importance, self.now
        )
        admission.observe_load(
            self.gates[request.entrance], kind.name, below, self.now
        )
        admission.observe_costs(
            self.allowances[request.entrance],
            kind.name,
            self._cost_of(request),
            self.now,
        )
        second = int(request.came)
        late = self.now - request.came > kind.timeout
        counts = tally.failed if request.failed or late else tally.done
        counts[second] = counts.get(second, 0) + 1
