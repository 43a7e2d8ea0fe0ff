"""Metrics of one daemon: plain counts, rendered by ``aioprometheus``.

The library's collectors take 7 to 10 us for each observation, as they encode
the labels each time. With ten observations per call, that is more than 1% of a
core at 160 calls a second. So counts are kept here and are copied to
collectors only when ``/metrics`` is read.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from aioprometheus import collectors

from sassafrasstair import histograms

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles
    from sassafrasstair import outcomes

OTHER = "other"
"""Label value for all names that are not in the bundle in force."""

CALL_SERIES_MAX = 256
"""Greatest number of histograms by class and tenant. Further tenants of a
class are counted as ``other``, so that a bundle with thousands of tenants
costs neither much memory nor a long rendering."""

CONTENT_TYPE = "text/plain; version=0.0.4"


class Count(enum.Enum):
    """A counter; its value is the name of the metric."""

    REFUSALS = "refusals_total"
    RETRIES = "retries_total"
    LATE_ANSWERS = "late_answers_total"
    BUNDLES_REFUSED = "bundles_refused_total"
    BUNDLES_ADOPTED = "bundles_adopted_total"
    PLATFORM_READS = "platform_reads_total"


_HELP = {
    Count.REFUSALS: "Refusals given to callers, by class and reason",
    Count.RETRIES: "Attempts after the first, by service called",
    Count.LATE_ANSWERS: "Answers dropped: late, doubled or of no call",
    Count.BUNDLES_REFUSED: "Bundles refused, by reason",
    Count.BUNDLES_ADOPTED: "Bundles that came into force here",
    Count.PLATFORM_READS: "Calls to the platform, a watch as one",
}


@dataclasses.dataclass(slots=True)
class Gauges:
    """Current values, set by the daemon; see ``_GAUGE_HELP`` for each."""

    limit: float = 0.0
    running: int = 0
    waiting: int = 0
    shed_floor: float = 0.0
    in_flight: int = 0
    members: int = 0
    bundle_version: int = 0
    leaving: int = 0


_GAUGE_HELP = {
    "limit": "Requests that may run at the upstream now",
    "running": "Requests at the upstream now",
    "waiting": "Requests that wait for the upstream",
    "shed_floor": "Rank below which the upstream's daemon refuses",
    "in_flight": "Calls under way at this entrance",
    "members": "Daemons that this one sees alive",
    "bundle_version": "Version of the bundle in force, 0 for none",
    "leaving": "1 after a planned stop began",
}


@dataclasses.dataclass(slots=True)
class Metrics:
    """All metrics of one daemon. Only names in the bundle get a series."""

    gauges: Gauges = dataclasses.field(default_factory=Gauges)
    _classes: frozenset[str] = frozenset()
    _tenants: frozenset[str] = frozenset()
    _services: frozenset[str] = frozenset()
    _call_series: dict[tuple[str, str], histograms.Series] = dataclasses.field(
        default_factory=dict
    )
    _upstream_series: dict[str, histograms.Series] = dataclasses.field(
        default_factory=dict
    )
    _counts: dict[Count, dict[histograms.Labels, int]] = dataclasses.field(
        default_factory=lambda: {count: {} for count in Count}
    )

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Use the names in a new bundle; series of other names are dropped.

        Otherwise names that change with each of 730 bundles a day would
        accumulate in memory and in every rendering.
        """
        self._classes = frozenset(bundle.classes)
        self._tenants = frozenset(bundle.tenants)
        self._services = frozenset(bundle.services)
        self.gauges.bundle_version = bundle.version
        self._call_series = {
            (name, tenant): series
            for (name, tenant), series in self._call_series.items()
            if name in self._classes | {OTHER}
            and tenant in self._tenants | {OTHER}
        }
        self._upstream_series = {
            name: series
            for name, series in self._upstream_series.items()
            if name in self._classes | {OTHER}
        }
        self._drop_unknown_names(Count.REFUSALS, "class", self._classes)
        self._drop_unknown_names(Count.RETRIES, "service", self._services)
        self._increment(Count.BUNDLES_ADOPTED)

    def count_answer(
        self, request_class: str, tenant: str, seconds: float
    ) -> None:
        """Record the duration of a whole answer to a caller."""
        pair = (
            _label_value(request_class, self._classes),
            _label_value(tenant, self._tenants),
        )
        series = self._call_series.get(pair)
        if series is None:
            series = self._add_call_series(pair)
        series.observe(seconds)

    def count_attempt(self, request_class: str, seconds: float) -> None:
        """Record the duration of an attempt at the upstream of this VM."""
        name = _label_value(request_class, self._classes)
        series = self._upstream_series.setdefault(name, histograms.Series())
        series.observe(seconds)

    def count_refusal(
        self,
        request_class: str,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
    ) -> None:
        """Count a final refusal of a call."""
        self._increment(
            Count.REFUSALS,
            ("class", _label_value(request_class, self._classes)),
            ("outcome", outcome.value),
            ("reason", reason.value),
        )

    def count_retry(self, service: str) -> None:
        """Count an attempt at ``service`` after one that was sent."""
        name = _label_value(service, self._services)
        self._increment(Count.RETRIES, ("service", name))

    def count_late_answer(self) -> None:
        """Count an answer for which no call waits."""
        self._increment(Count.LATE_ANSWERS)

    def count_refused_bundle(self, reason: bundles.Defect) -> None:
        """Count a bundle that was refused."""
        self._increment(Count.BUNDLES_REFUSED, ("reason", reason.value))

    def count_platform_read(self) -> None:
        """Count one call to the platform."""
        self._increment(Count.PLATFORM_READS)

    def total(self, count: Count) -> int:
        """Return the sum of one counter over all labels."""
        return sum(self._counts[count].values())

    def totals(self) -> dict[str, int]:
        """Return the sum of each counter, for the status of a daemon."""
        return {count.name.lower(): self.total(count) for count in Count}

    def render_parts(self) -> abc.Iterator[bytes]:
        """Yield the Prometheus text in parts that take about 1 ms each."""
        yield histograms.render(self._gauge_collectors())
        yield histograms.render(self._counter_collectors())
        calls: dict[histograms.Labels, histograms.Series] = {
            (("class", name), ("tenant", tenant)): series
            for (name, tenant), series in self._call_series.items()
        }
        yield from histograms.render_parts(
            "call_seconds", "Time of whole answers to callers", calls
        )
        upstream: dict[histograms.Labels, histograms.Series] = {
            (("class", name),): series
            for name, series in self._upstream_series.items()
        }
        yield from histograms.render_parts(
            "upstream_seconds", "Time of attempts at the upstream", upstream
        )

    def _add_call_series(self, pair: tuple[str, str]) -> histograms.Series:
        if len(self._call_series) >= CALL_SERIES_MAX:
            pair = (pair[0], OTHER)
        return self._call_series.setdefault(pair, histograms.Series())

    def _increment(self, count: Count, *labels: tuple[str, str]) -> None:
        counts = self._counts[count]
        counts[labels] = counts.get(labels, 0) + 1

    def _drop_unknown_names(
        self, count: Count, label: str, names: frozenset[str]
    ) -> None:
        known_names = names | {OTHER}
        self._counts[count] = {
            labels: value
            for labels, value in self._counts[count].items()
            if dict(labels)[label] in known_names
        }

    def _gauge_collectors(self) -> collectors.Registry:
        registry = collectors.Registry()
        for name, text in _GAUGE_HELP.items():
            gauge = collectors.Gauge(
                histograms.PREFIX + name, text, None, registry
            )
            gauge.set({}, getattr(self.gauges, name))
        return registry

    def _counter_collectors(self) -> collectors.Registry:
        registry = collectors.Registry()
        for count, text in _HELP.items():
            counter = collectors.Counter(
                histograms.PREFIX + count.value, text, None, registry
            )
            for labels, value in self._counts[count].items():
                counter.set(dict(labels), value)
        return registry


def render(metrics: Metrics) -> bytes:
    """Return the whole Prometheus text."""
    return b"".join(metrics.render_parts())


def _label_value(name: str, names: frozenset[str]) -> str:
    return name if name in names else OTHER
