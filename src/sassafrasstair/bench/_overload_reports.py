"""The table and the JSON object of a bench run."""

from __future__ import annotations

import json
import statistics
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bench import _overload
    from sassafrasstair.bench import _overload_figures

Results = typing.Mapping["_overload.Run", "_overload_figures.Figures"]
COLUMNS = ("goodput", "important_goodput", "recovery_s", "amplification")
# For these the least of the seeds is the worst, for the others the most.
GREATER_IS_BETTER = frozenset({"goodput", "important_goodput"})


def as_table(results: Results) -> str:
    """Return lines with the median and the worst of the seeds."""
    titles = ("goodput", "important", "recovery s", "amplific.")
    head = f"{'scenario':<26}{'policy':<7}{'calm':>6}" + "".join(
        f"{title:>16}" for title in titles
    )
    lines = [head + f"{'most calls':>12}"]
    for (name, policy), group in _groups(results).items():
        cells = "".join(
            f"{_median(group, column):>9.3f}{_worst(group, column):>7.3f}"
            for column in COLUMNS
        )
        most = max(figures.most_calls for figures in group)
        calm = _median(group, "calm")
        lines.append(f"{name:<26}{policy:<7}{calm:>6.3f}{cells}{most:>12}")
    return "\n".join(lines)


def as_json(results: Results) -> str:
    """Return the medians as one line of JSON."""
    scenarios: dict[str, dict[str, dict[str, float]]] = {}
    for (name, policy), group in _groups(results).items():
        scenarios.setdefault(name, {})[policy] = {
            column: round(_median(group, column), 4) for column in COLUMNS
        }
    return json.dumps({"scenarios": scenarios})


def _groups(
    results: Results,
) -> dict[tuple[str, str], list[_overload_figures.Figures]]:
    groups: dict[tuple[str, str], list[_overload_figures.Figures]] = {}
    for run, figures in results.items():
        name = f"{run.mix}/{run.scenario}"
        groups.setdefault((name, run.policy), []).append(figures)
    return groups


def _median(
    group: abc.Sequence[_overload_figures.Figures], column: str
) -> float:
    values = [float(getattr(one, column)) for one in group]
    return statistics.median(values)


def _worst(
    group: abc.Sequence[_overload_figures.Figures], column: str
) -> float:
    values = [float(getattr(one, column)) for one in group]
    return min(values) if column in GREATER_IS_BETTER else max(values)
