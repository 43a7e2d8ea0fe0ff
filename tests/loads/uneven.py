"""A service of instances of unequal speed, on the real decisions.

Two kinds of work share it: many short calls with a patient objective, made
at every third entrance, and requests with a tight one at all entrances. The
decisions are those that the daemon runs: choice of instance and guards.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
import typing

from sassafrasstair.bench import _model_clock
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

TICK_SECONDS = 0.05
DOMAINS = 4
CROSSING_SECONDS = 0.0014
ATTEMPTS = 2
CALLER_STRIDE = 3
# Of 33 slots the daemons leave two free, so that the instances, which slow
# down from 0.95 of their slots on, do not.
GUARD_SLOTS = 31


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of work; ``stride`` says which entrances get it."""

    name: str
    per_second: float
    seconds: float
    objective: float
    timeout: float
    rank: float
    stride: int = 1


ASSET = Kind("asset", 3600.0, 0.03, 0.3, 0.7, 5.5, CALLER_STRIDE)
PAGE = Kind("page", 215.0, 0.049, 0.15, 0.6, 9.5)
SPEEDS = (0.5, 1.0, 1.0, 1.5, 0.5)


@dataclasses.dataclass
class Run:
    """One request, or one call, under way."""

    kind: Kind
    entrance: int
    came: float
    tried: list[str] = dataclasses.field(default_factory=list)
    sent: float = 0.0


@dataclasses.dataclass
class Counts:
    """What became of the work of one kind, by the second it came."""

    asked: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_time: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    placed: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    crossed: int = 0
    attempts: int = 0

    def share(self, since: int, until: int) -> float:
        """Return the share in time of what came in these seconds."""
        asked = sum(self.asked[at] for at in range(since, until))
        done = sum(self.in_time[at] for at in range(since, until))
        return done / max(1, asked)

    def placed_at(self, vms: abc.Collection[str], since: int) -> float:
        """Return the share sent to ``vms`` in the second ``since``."""
        counts = {vm: n for (at, vm), n in self.placed.items() if at == since}
        here = sum(n for vm, n in counts.items() if vm in vms)
        return here / max(1, sum(counts.values()))


class Service:
    """Entrances in four failure domains, and the instances of one service.

    With ``informed`` the daemons report the times of routes and entrances
    place work by its objective; those beside ``older`` instances report none.
    Instances in ``refusing`` refuse that share of what they get.
    """

    def __init__(
        self,
        seed: int,
        entrances: int = 64,
        informed: bool = True,
        speeds: abc.Sequence[float] = SPEEDS,
        kinds: abc.Sequence[Kind] = (ASSET, PAGE),
        slots: int = GUARD_SLOTS,
    ) -> None:
        self.rng = random.Random(seed)
        self.timeline = _model_clock.Timeline()
        self.informed = informed
        self.speeds = {f"i{k}": speed for k, speed in enumerate(speeds)}
        self.refusing: dict[str, float] = {}
        self.older: set[str] = set()
        self.routes = [
            calls.Routes(f"d{k % DOMAINS}", "r", try_unreachable=False)
            for k in range(entrances)
        ]
        self.targets = tuple(
            calls.Target(f"i{k}", "reader", f"d{k % DOMAINS}", "r")
            for k in range(len(speeds))
        )
        self.guards = {
            vm: load.new_guard(slots, 0.0, patient=True) for vm in self.speeds
        }
        self.counts = {kind.name: Counts() for kind in kinds}
        self.work_done = dict.fromkeys(self.speeds, 0.0)
        self._serial = itertools.count()
        self._runs: dict[str, tuple[Run, str]] = {}
        self._tick()
        for kind in kinds:
            self._come(kind)

    @property
    def now(self) -> float:
        """Seconds of the virtual clock."""
        return self.timeline.now

    def run(self, until: float) -> None:
        """Play until the clock shows so many seconds."""
        self.timeline.run(until)

    def remove(self, vm: str) -> None:
        """Let an instance leave."""
        self.targets = tuple(each for each in self.targets if each.vm != vm)

    def overuse(self) -> float:
        """Return the greatest use of an instance over what its speed gives.

        1 if each had work in proportion to its speed.
        """
        speeds, done = sum(self.speeds.values()), sum(self.work_done.values())
        return max(
            (self.work_done[vm] / done) / (speed / speeds)
            for vm, speed in self.speeds.items()
        )

    def _after(
        self, seconds: float, action: abc.Callable[..., None], *args: object
    ) -> None:
        self.timeline.at(self.now + seconds, action, *args)

    def _tick(self) -> None:
        for vm, guard in self.guards.items():
            self._perform(vm, load.tick(guard, self.now))
        self._after(TICK_SECONDS, self._tick)

    def _come(self, kind: Kind) -> None:
        pause = self.rng.expovariate(kind.per_second)
        self._after(pause, self._come, kind)
        self.counts[kind.name].asked[int(self.now)] += 1
        entrance = self.rng.randrange(0, len(self.routes), kind.stride)
        self._send(Run(kind, entrance, self.now))

    def _send(self, run: Run) -> None:
        kind, routes = run.kind, self.routes[run.entrance]
        spent = self.now - run.came
        need = calls.Need(kind.name, kind.objective - spent)
        target = calls.pick_target(
            routes,
            self.targets,
            run.tried,
            self.now,
            self.rng,
            need if self.informed else None,
        )
        if target is None or spent >= kind.timeout:
            return
        counts = self.counts[kind.name]
        counts.attempts += 1
        counts.crossed += target.failure_domain != routes.failure_domain
        counts.placed[int(self.now), target.vm] += 1
        run.tried.append(target.vm)
        run.sent = self.now
        calls.start_attempt(routes, target.vm, self.now)
        attempt = f"{next(self._serial)}"
        self._runs[attempt] = run, target.vm
        self._after(self._hop(run, target.vm), self._arrive, attempt)

    def _hop(self, run: Run, vm: str) -> float:
        here = self.routes[run.entrance].failure_domain
        return 0.0 if here == f"d{int(vm[1:]) % DOMAINS}" else CROSSING_SECONDS

    def _arrive(self, attempt: str) -> None:
        run, vm = self._runs[attempt]
        left = run.kind.timeout - (self.now - run.came)
        work = load.Work(
            attempt,
            run.kind.name,
            "",
            run.kind.rank,
            self.now + left,
            0.5 * min(run.kind.objective, left),
        )
        self._perform(vm, load.offer(self.guards[vm], work, self.now))

    def _perform(self, vm: str, effects: list[load.Effect]) -> None:
        guard = self.guards[vm]
        for effect in effects:
            attempt = effect.attempt_id
            if isinstance(effect, load.Start):
                self._start(vm, attempt)
            elif isinstance(effect, load.TurnAway):
                self._answer(attempt, effect.reason)
            else:
                end = load.End.CANCELLED
                self._perform(vm, load.finish(guard, attempt, end, self.now))
                self._answer(attempt, outcomes.Reason.DEADLINE_PASSED)

    def _start(self, vm: str, attempt: str) -> None:
        run, _ = self._runs[attempt]
        if self.rng.random() < self.refusing.get(vm, 0.0):
            refused = outcomes.Reason.UPSTREAM_REFUSED
            self._after(0.001, self._finish, attempt, refused)
            return
        work = run.kind.seconds * self.rng.lognormvariate(-0.32, 0.8)
        self.work_done[vm] += work
        seconds = work / self.speeds[vm]
        self._after(seconds, self._finish, attempt, outcomes.Reason.NONE)

    def _finish(self, attempt: str, reason: outcomes.Reason) -> None:
        if attempt not in self._runs:
            return
        _, vm = self._runs[attempt]
        good = reason is outcomes.Reason.NONE
        end = load.End.DONE if good else load.End.FAILED
        effects = load.finish(self.guards[vm], attempt, end, self.now)
        self._answer(attempt, reason)
        self._perform(vm, effects)

    def _answer(self, attempt: str, reason: outcomes.Reason) -> None:
        run, vm = self._runs.pop(attempt)
        guard = self.guards[vm]
        told = calls.LoadReport(
            load.busy(guard),
            limit=load.limit(guard, self.now),
            service_seconds=load.service_seconds(guard),
        )
        usual = None
        if vm not in self.older:
            usual = load.usual_seconds(guard, run.kind.name)
        hop = self._hop(run, vm)
        self._after(hop, self._receive, run, vm, reason, told, usual)

    def _receive(
        self,
        run: Run,
        vm: str,
        reason: outcomes.Reason,
        told: calls.LoadReport,
        usual: float | None,
    ) -> None:
        routes = self.routes[run.entrance]
        good = reason is outcomes.Reason.NONE
        outcome = outcomes.Outcome.DONE if good else outcomes.Outcome.NOT_RUN
        answer = calls.Answer(outcome, reason, told, incarnation=vm)
        taken = self.now - run.sent
        calls.end_attempt(routes, vm, answer, taken, self.now)
        if usual is not None and self.informed:
            name = run.kind.name
            calls.observe_route_seconds(routes, vm, name, usual, self.now)
        if good:
            elapsed = self.now - run.came
            in_time = int(elapsed <= run.kind.objective)
            self.counts[run.kind.name].in_time[int(run.came)] += in_time
        elif len(run.tried) < ATTEMPTS:
            self._send(run)
