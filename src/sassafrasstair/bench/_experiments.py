"""Experiments described by a file: traffic, faults in time, policies, seeds.

All policies are played side by side on the same traffic; what comes out is a
series by second for each of them, averaged over the seeds.
"""

from __future__ import annotations

import concurrent.futures
import math
import statistics
import typing

import msgspec

from sassafrasstair.bench import _overload
from sassafrasstair.bench import _overload_mixes
from sassafrasstair.bench import _overload_policies
from sassafrasstair.bench import _overload_scenarios

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bench import _model_meters

LOAD_MAX = 50.0
SECONDS_MAX = 600.0
SEEDS_MAX = 50
MEDIAN, TAIL = 0.5, 0.99


class ExperimentError(Exception):
    """A file that describes no experiment; says which key and why."""


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A stretch of time; see ``_overload_scenarios.Phase``.

    ``load`` is a multiple of what the deepest service can do.
    """

    name: str
    seconds: float
    load: float = _overload_scenarios.BASE_LOAD
    slow: float = 1.0
    slow_one: float = 1.0
    lost: bool = False
    cut: bool = False
    stale: float = 0.0


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What to play; ``policies`` and ``mix`` are names that are known."""

    name: str
    mix: str
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    phases: tuple[Phase, ...]


class Mark(msgspec.Struct, frozen=True):
    """When a phase begins and ends, in seconds of the series."""

    name: str
    start: float
    end: float


class Series(msgspec.Struct, frozen=True):
    """One policy by second: means over the seeds, requests a second.

    ``offered`` are requests and not their repeats, ``whole`` those answered
    by the deadline of their first try, ``shed`` those that never were, and
    ``tries`` all that callers sent. Latencies in seconds, 0 without answers.
    """

    offered: list[float]
    whole: list[float]
    shed: list[float]
    tries: list[float]
    p50: list[float]
    p99: list[float]


class Outcome(msgspec.Struct, frozen=True):
    """An experiment's results, by policy."""

    experiment: Experiment
    marks: tuple[Mark, ...]
    series: dict[str, Series]


class _Counts(msgspec.Struct, frozen=True):
    """One run by second."""

    offered: list[int]
    whole: list[int]
    tries: list[int]
    latencies: list[list[float]]


def decode(text: bytes) -> Experiment:
    """Return the experiment; raises ``ExperimentError`` naming the key."""
    try:
        found = msgspec.json.decode(text, type=Experiment)
    except msgspec.MsgspecError as error:
        raise ExperimentError(str(error)) from error
    _check(found)
    return found


def play(experiment: Experiment, workers: int) -> Outcome:
    """Play all policies and seeds, ``workers`` processes at once."""
    policies, seeds = experiment.policies, experiment.seeds
    runs = [(name, seed) for name in policies for seed in seeds]
    names = [name for name, _ in runs]
    all_seeds = [seed for _, seed in runs]
    same = [experiment] * len(runs)
    if workers == 1:
        counted = list(map(_count, same, names, all_seeds))
    else:
        with concurrent.futures.ProcessPoolExecutor(workers) as pool:
            counted = list(pool.map(_count, same, names, all_seeds))
    series = {
        policy: _merge(
            [
                counts
                for name, counts in zip(names, counted, strict=True)
                if name == policy
            ]
        )
        for policy in policies
    }
    return Outcome(experiment, _marks(experiment), series)


def encode(outcome: Outcome) -> bytes:
    """Return the results as JSON."""
    return msgspec.json.format(msgspec.json.encode(outcome), indent=1)


def _count(experiment: Experiment, policy: str, seed: int) -> _Counts:
    phases = [
        _overload_scenarios.Phase(
            phase.seconds,
            phase.load,
            phase.slow,
            phase.slow_one,
            phase.lost,
            phase.cut,
            phase.stale,
        )
        for phase in experiment.phases
    ]
    mix = _overload_mixes.MIXES[experiment.mix]
    played = _overload.play(mix, policy, seed, phases)
    counts = _new_counts(math.ceil(played.after.end))
    for tried in played.meter.tries.values():
        _add(counts, tried)
    return counts


def _new_counts(seconds: int) -> _Counts:
    zeros = [0] * seconds
    return _Counts(zeros[:], zeros[:], zeros[:], [[] for _ in range(seconds)])


def _add(counts: _Counts, tried: _model_meters.Try) -> None:
    second = int(tried.arrived)
    if second >= len(counts.tries):
        return
    counts.tries[second] += 1
    counts.offered[second] += not tried.repeated
    allowed = tried.deadline - tried.arrived
    taken = tried.done_at - tried.first
    if tried.done_at and taken <= allowed:
        counts.whole[int(tried.first)] += 1
        counts.latencies[int(tried.first)].append(taken)


def _merge(runs: abc.Sequence[_Counts]) -> Series:
    seconds = range(len(runs[0].tries))

    def mean(of: str) -> list[float]:
        return [
            statistics.mean(getattr(run, of)[second] for run in runs)
            for second in seconds
        ]

    offered, whole = mean("offered"), mean("whole")
    together = [
        sorted(taken for run in runs for taken in run.latencies[second])
        for second in seconds
    ]
    return Series(
        offered,
        whole,
        [asked - done for asked, done in zip(offered, whole, strict=True)],
        mean("tries"),
        [_percentile(values, MEDIAN) for values in together],
        [_percentile(values, TAIL) for values in together],
    )


def _percentile(values: abc.Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    return values[math.ceil(share * len(values)) - 1]


def _marks(experiment: Experiment) -> tuple[Mark, ...]:
    start = _overload.CALM.seconds
    found = []
    for phase in experiment.phases:
        found.append(Mark(phase.name, start, start + phase.seconds))
        start += phase.seconds
    return tuple(found)


def _check(found: Experiment) -> None:
    _check_names("mix", (found.mix,), _overload_mixes.MIXES)
    _check_names("policies", found.policies, _overload_policies.POLICIES)
    if not 0 < len(found.seeds) <= SEEDS_MAX:
        raise ExperimentError(f"seeds: 1 to {SEEDS_MAX} are wanted")
    if not found.phases:
        raise ExperimentError("phases: at least one is wanted")
    for index, phase in enumerate(found.phases):
        where = f"phases[{index}]"
        _check_range(f"{where}.seconds", phase.seconds, SECONDS_MAX)
        _check_range(f"{where}.load", phase.load, LOAD_MAX)
        _check_range(f"{where}.slow", phase.slow, LOAD_MAX)
        _check_range(f"{where}.slow_one", phase.slow_one, LOAD_MAX)
        if not 0.0 <= phase.stale <= SECONDS_MAX:
            raise ExperimentError(f"{where}.stale: out of range")


def _check_names(
    key: str, names: abc.Sequence[str], known: abc.Mapping[str, object]
) -> None:
    if not names:
        raise ExperimentError(f"{key}: at least one is wanted")
    for name in names:
        if name not in known:
            raise ExperimentError(
                f"{key}: {name!r} is none of {', '.join(known)}"
            )


def _check_range(key: str, value: float, most: float) -> None:
    if not 0.0 < value <= most:
        raise ExperimentError(f"{key}: {value} is not in (0, {most:g}]")
