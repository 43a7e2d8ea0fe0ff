"""The plot of an experiment: goodput, latency and what was shed, by second."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import pathlib

    from matplotlib import axes

    from sassafrasstair.bench import _experiments

_SIZE_INCHES = (9.0, 8.0)
_DOTS_PER_INCH = 100
_SHADE = 0.15


def draw(outcome: _experiments.Outcome, path: pathlib.Path) -> None:
    """Write a PNG; raises ``ImportError`` without matplotlib."""
    # Imported here: a development dependency, for plots alone.
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, rows = pyplot.subplots(
        3, 1, sharex=True, figsize=_SIZE_INCHES, layout="constrained"
    )
    goodput, shed, latency = rows
    for policy, series in outcome.series.items():
        seconds = range(len(series.whole))
        goodput.plot(seconds, series.whole, label=policy)
        shed.plot(seconds, series.shed, label=policy)
        latency.plot(seconds, series.p99, label=policy)
    first = next(iter(outcome.series.values()))
    goodput.plot(
        range(len(first.offered)), first.offered, "k:", label="offered"
    )
    _name(goodput, "whole answers in time, 1/s")
    _name(shed, "requests without one, 1/s")
    _name(latency, "p99 of whole answers, s")
    latency.set_xlabel("seconds")
    for mark in outcome.marks:
        _shade(rows, mark)
    figure.suptitle(outcome.experiment.name)
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    pyplot.close(figure)


def _name(row: axes.Axes, label: str) -> None:
    row.set_ylabel(label)
    row.set_ylim(bottom=0.0)
    row.legend(loc="upper right")


def _shade(rows: typing.Iterable[axes.Axes], mark: _experiments.Mark) -> None:
    for row in rows:
        row.axvspan(mark.start, mark.end, alpha=_SHADE, color="tab:red")
        row.text(
            mark.start,
            row.get_ylim()[1],
            mark.name,
            verticalalignment="top",
            fontsize="small",
        )
