"""Run scenarios: one world for each mix, scenario, policy and seed."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import typing

from sassafrasstair.bench import _model_callers
from sassafrasstair.bench import _model_upstreams
from sassafrasstair.bench import _model_worlds
from sassafrasstair.bench import _overload_figures
from sassafrasstair.bench import _overload_mixes
from sassafrasstair.bench import _overload_policies
from sassafrasstair.bench import _overload_scenarios

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bench import _model_meters
    from sassafrasstair.bench import _model_vms
    from sassafrasstair.decisions import calls

CALM = _overload_scenarios.CALM


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What to run: names of the mix, scenario and policy, and a seed.

    ``full`` takes the brief's own slots, not the scaled-down ones.
    """

    mix: str
    scenario: str
    policy: str
    seed: int
    full: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """What one world counted, and its spans in seconds of its clock."""

    meter: _model_meters.Meter
    spans: list[_overload_figures.Span]
    before: _overload_figures.Span
    after: _overload_figures.Span


def run_one(run: Run) -> _overload_figures.Figures:
    """Run one world and return its figures."""
    mixes = _overload_mixes.MIXES
    if run.full:
        mixes = _overload_mixes.FULL_MIXES
    phases = _overload_scenarios.SCENARIOS[run.scenario]
    played = play(mixes[run.mix], run.policy, run.seed, phases)
    return _overload_figures.figures(
        played.meter, played.spans, played.before, played.after
    )


def play(
    mix: _overload_mixes.Mix,
    policy: str,
    seed: int,
    phases: abc.Iterable[_overload_scenarios.Phase],
) -> Played:
    """Run one world: a calm time, the phases, and a calm time again."""
    make = _overload_policies.POLICIES[policy]
    world = _model_worlds.World(mix, make, seed)
    callers = _model_callers.Callers(world)
    full = _capacity(world)
    callers.rate = CALM.load * full
    callers.start()
    spans = []
    # Connections and estimates settle in the first second.
    before = _pass(world, CALM.seconds)
    before = dataclasses.replace(before, start=before.start + 1.0)
    for phase in phases:
        _enter_phase(world, callers, phase, full)
        spans.append(_pass(world, phase.seconds))
        _leave_phase(world, phase)
    callers.rate = CALM.load * full
    after = _pass(world, _overload_scenarios.AFTER_SECONDS)
    after = dataclasses.replace(after, capacity=full)
    world.timeline.run(after.end + _overload_scenarios.DRAIN_SECONDS)
    return Played(world.meter, spans, before, after)


def run_all(
    runs: abc.Sequence[Run], workers: int
) -> list[_overload_figures.Figures]:
    """Run each; the longest first, so that the workers end together."""
    if workers == 1:
        return [run_one(run) for run in runs]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        order = sorted(runs, key=lambda run: "surge" not in run.scenario)
        found = dict(zip(order, pool.map(run_one, order), strict=True))
    return [found[run] for run in runs]


def _pass(
    world: _model_worlds.World, seconds: float
) -> _overload_figures.Span:
    start = world.timeline.now
    capacity = _capacity(world)
    world.timeline.run(start + seconds)
    return _overload_figures.Span(start, start + seconds, capacity)


def _capacity(world: _model_worlds.World) -> float:
    """Return what the deepest service can finish a second."""
    now = world.timeline.now
    return sum(
        _model_upstreams.capacity(vm.upstream, now)
        for vm in _deepest(world)
        if vm.alive
    )


def _deepest(world: _model_worlds.World) -> list[_model_vms.Vm]:
    targets = world.targets[world.mix.deepest]
    return [world.vms[target.vm] for target in targets]


def _lost(world: _model_worlds.World) -> list[calls.Target]:
    """Return one instance of each service, spread over the domains."""
    return [
        targets[index % len(targets)]
        for index, targets in enumerate(world.targets.values())
    ]


def _enter_phase(
    world: _model_worlds.World,
    callers: _model_callers.Callers,
    phase: _overload_scenarios.Phase,
    full: float,
) -> None:
    callers.rate = phase.load * full
    for index, vm in enumerate(_deepest(world)):
        one = phase.slow_one if index == 0 else 1.0
        world.set_pace(vm, phase.slow * one)
    world.stale = phase.stale
    if phase.cut:
        world.cut_domain = next(iter(world.mix.bundle.failure_domains))
    if phase.lost:
        for target in _lost(world):
            world.stop_vm(target)


def _leave_phase(
    world: _model_worlds.World, phase: _overload_scenarios.Phase
) -> None:
    for vm in _deepest(world):
        world.set_pace(vm, 1.0)
    world.stale = CALM.stale
    world.cut_domain = ""
    if phase.lost:
        for target in _lost(world):
            world.start_vm(target, cold=True)
