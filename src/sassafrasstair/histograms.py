"""Histograms as plain counts, rendered by ``aioprometheus``.

The library's collectors take 7 to 10 us for each observation, as they encode
the labels each time. So counts are kept here and are copied to collectors
only when metrics are read. The library is imported only then, as it takes
5 MB.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from aioprometheus import collectors as collectors_module
    from aioprometheus import histogram as histogram_module

BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
"""Upper bounds in seconds: from 1 ms for a hop to minutes for large bodies."""


PREFIX = "sassafrasstair_"
_HEADER_LINES = 2
_SERIES_PER_PART = 2

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(slots=True)
class Series:
    """One histogram: a count per bucket, of which the last is +Inf."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS) + 1)
    )
    sum_seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one value."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.sum_seconds += seconds


def quantile(series: Series, share: float) -> float:
    """Return the seconds within which a share of the values lies.

    Values are taken for evenly spread within their bucket. Those beyond the
    last bound count as that bound.
    """
    wanted = share * sum(series.counts)
    lower = 0.0
    for bound, count in zip(BUCKETS, series.counts, strict=False):
        if count and count >= wanted:
            return lower + (bound - lower) * wanted / count
        wanted -= count
        lower = bound
    return lower


def render(registry: collectors_module.Registry) -> bytes:
    """Return the Prometheus text of the library's collectors."""
    from aioprometheus import renderer

    content, _ = renderer.render(registry, [])
    return bytes(content)


def render_counter(
    name: str,
    help_text: str,
    labels: tuple[str, ...],
    counts: abc.Mapping[typing.Any, int],
) -> bytes:
    """Return a counter whose series are keyed by their label values."""
    from aioprometheus import collectors

    registry = collectors.Registry()
    counter = collectors.Counter(PREFIX + name, help_text, None, registry)
    for values, count in counts.items():
        counter.set(dict(zip(labels, values, strict=True)), count)
    return render(registry)


def render_gauges(gauges: abc.Mapping[str, float]) -> bytes:
    """Return gauges without labels from their values by name."""
    from aioprometheus import collectors

    registry = collectors.Registry()
    for name, value in gauges.items():
        gauge = collectors.Gauge(PREFIX + name, name, None, registry)
        gauge.set({}, value)
    return render(registry)


def render_parts(
    name: str, help_text: str, series: abc.Mapping[Labels, Series]
) -> abc.Iterator[bytes]:
    """Yield a histogram in parts, the HELP and TYPE lines in the first."""
    from aioprometheus import collectors

    entries = iter(series.items())
    lines_to_skip = 0
    while batch := list(itertools.islice(entries, _SERIES_PER_PART)):
        registry = collectors.Registry()
        collector = collectors.Histogram(
            PREFIX + name, help_text, None, registry, BUCKETS
        )
        for labels, one_series in batch:
            collector.set_value(
                dict(labels), _to_library_histogram(one_series)
            )
        lines = render(registry).splitlines(keepends=True)
        yield b"".join(lines[lines_to_skip:])
        lines_to_skip = _HEADER_LINES


def render_histogram(
    name: str, help_text: str, series: abc.Mapping[Labels, Series]
) -> bytes:
    """Return a whole histogram."""
    return b"".join(render_parts(name, help_text, series))


def _to_library_histogram(series: Series) -> histogram_module.Histogram:
    from aioprometheus import histogram

    filled = histogram.Histogram(*BUCKETS)
    totals = itertools.accumulate(series.counts)
    for bound, total in zip(filled.buckets, totals, strict=True):
        filled.buckets[bound] = total
    filled.observations = sum(series.counts)
    filled.sum = series.sum_seconds
    return filled
