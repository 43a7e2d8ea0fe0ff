"""The three policies behind one set of functions.

``chosen`` is the product's decisions; ``none`` and ``static`` are what
they are compared with.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.bench import _model_baselines
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import bundles

NONE_RETRIES = 1
STATIC_RETRIES = 1


@dataclasses.dataclass(slots=True)
class View:
    """What a policy may see of the model when it decides.

    One object for a whole run, brought up to date before each decision.
    """

    bundle: bundles.Bundle
    service: str
    loads: abc.Mapping[str, float]
    now: float
    rng: random.Random


class Policy(typing.Protocol):
    """One VM's decisions; ``propagates`` deadlines and cancellation."""

    propagates: bool

    def begin(
        self,
        view: View,
        call: calls.Call,
        targets: abc.Sequence[calls.Target],
    ) -> tuple[str, calls.Effect]:
        """Take a call at the entrance."""

    def answered(
        self,
        view: View,
        key: str,
        attempt_id: str,
        answer: calls.Answer,
        targets: abc.Sequence[calls.Target],
    ) -> calls.Effect | None:
        """Take the end of an attempt."""

    def abandon(self, key: str, now: float) -> str:
        """Forget a call; return its attempt."""

    def offer(self, work: load.Work, now: float) -> list[load.Effect]:
        """Take an attempt at the upstream's guard."""

    def finish(
        self, attempt_id: str, end: load.End, now: float
    ) -> list[load.Effect]:
        """Note the end of a started attempt."""

    def cancel(self, attempt_id: str, now: float) -> list[load.Effect]:
        """Drop an attempt."""

    def tick(self, now: float) -> list[load.Effect]:
        """Look at the deadlines again."""

    def told(self, view: View, work: load.Work) -> calls.LoadReport:
        """Return what goes back on an answer."""

    def probe_due(self, now: float) -> list[str]:
        """Return the VMs to ping."""

    def probed(self, vm: str, alive: bool, now: float) -> None:
        """Note the end of a ping."""


class Chosen:
    """The product's decisions, exactly as the daemon drives them."""

    propagates = True

    def __init__(
        self,
        vm: str,
        domain: str,
        region: str,
        rules: bundles.Service,
        now: float,
        cold: bool,
    ) -> None:
        self._entrance = calls.new_entrance(vm, domain, region)
        warm = rules.cold_start_ms / 1000
        self._guard = load.new_guard(rules.slots, now, cold, warm)

    def begin(
        self,
        view: View,
        call: calls.Call,
        targets: abc.Sequence[calls.Target],
    ) -> tuple[str, calls.Effect]:
        return calls.begin_call(
            self._entrance, view.bundle, call, targets, view.now, view.rng
        )

    def answered(
        self,
        view: View,
        key: str,
        attempt_id: str,
        answer: calls.Answer,
        targets: abc.Sequence[calls.Target],
    ) -> calls.Effect | None:
        return calls.apply_answer(
            self._entrance,
            view.bundle,
            key,
            attempt_id,
            answer,
            targets,
            view.now,
            view.rng,
        )

    def abandon(self, key: str, now: float) -> str:
        return calls.abandon_call(self._entrance, key, now)

    def offer(self, work: load.Work, now: float) -> list[load.Effect]:
        return load.offer(self._guard, work, now)

    def finish(
        self, attempt_id: str, end: load.End, now: float
    ) -> list[load.Effect]:
        return load.finish(self._guard, attempt_id, end, now)

    def cancel(self, attempt_id: str, now: float) -> list[load.Effect]:
        return load.cancel(self._guard, attempt_id, now)

    def tick(self, now: float) -> list[load.Effect]:
        return load.tick(self._guard, now)

    def told(self, view: View, work: load.Work) -> calls.LoadReport:
        below = calls.max_callee_floor(
            self._entrance,
            view.bundle,
            view.service,
            work.request_class,
            view.now,
            work.tenant,
        )
        own = load.floor(self._guard, view.now, work.tenant)
        busy = load.busy(self._guard)
        return calls.LoadReport(
            busy,
            max(own, below),
            self._guard.limit,
            load.service_seconds(self._guard),
        )

    def probe_due(self, now: float) -> list[str]:
        return calls.probe_due(self._entrance.routes, now)

    def probed(self, vm: str, alive: bool, now: float) -> None:
        calls.probe_ended(self._entrance.routes, vm, alive, now)


class Baseline:
    """Plain forwarding; with a limit if ``limit`` is finite."""

    propagates = False

    def __init__(self, vm: str, retries: int, limit: float) -> None:
        obeys = math.isfinite(limit)
        self._state = _model_baselines.Forwarder(vm, retries, obeys)
        self._gate = _model_baselines.Gate(limit)

    def begin(
        self,
        view: View,
        call: calls.Call,
        targets: abc.Sequence[calls.Target],
    ) -> tuple[str, calls.Effect]:
        return _model_baselines.begin(
            self._state,
            view.bundle,
            call,
            targets,
            view.loads,
            view.now,
            view.rng,
        )

    def answered(
        self,
        view: View,
        key: str,
        attempt_id: str,
        answer: calls.Answer,
        targets: abc.Sequence[calls.Target],
    ) -> calls.Effect | None:
        return _model_baselines.answered(
            self._state,
            view.bundle,
            key,
            attempt_id,
            answer,
            targets,
            view.loads,
            view.now,
            view.rng,
        )

    def abandon(self, key: str, now: float) -> str:
        pending = self._state.pending.pop(key, None)
        return pending.attempt_id if pending else ""

    def offer(self, work: load.Work, now: float) -> list[load.Effect]:
        return _model_baselines.offer(self._gate, work)

    def finish(
        self, attempt_id: str, end: load.End, now: float
    ) -> list[load.Effect]:
        return _model_baselines.finish(self._gate)

    def cancel(self, attempt_id: str, now: float) -> list[load.Effect]:
        return []

    def tick(self, now: float) -> list[load.Effect]:
        return []

    def told(self, view: View, work: load.Work) -> calls.LoadReport:
        return calls.LoadReport()

    def probe_due(self, now: float) -> list[str]:
        return []

    def probed(self, vm: str, alive: bool, now: float) -> None:
        return None


Make = typing.Callable[[str, str, str, "bundles.Service", float, bool], Policy]


def _none(
    vm: str,
    domain: str,
    region: str,
    rules: bundles.Service,
    now: float,
    cold: bool,
) -> Policy:
    return Baseline(vm, NONE_RETRIES, math.inf)


def _static(
    vm: str,
    domain: str,
    region: str,
    rules: bundles.Service,
    now: float,
    cold: bool,
) -> Policy:
    return Baseline(vm, STATIC_RETRIES, float(rules.slots))


POLICIES: dict[str, Make] = {
    "none": _none,
    "static": _static,
    "chosen": Chosen,
}
