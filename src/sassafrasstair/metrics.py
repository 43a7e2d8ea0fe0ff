"""Metrics of one daemon: plain counts, rendered by ``aioprometheus``.

Its collectors take 7 to 10 us for each observation, for they encode the
labels each time; with ten of them to a call that is more than 1% of a core
at 160 calls a second. So counts are kept here and become collectors only
when somebody reads ``/metrics``.
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
"""Stands for each name that the bundle in force does not have."""

CALL_SERIES_MAX = 256
"""Histograms of class and tenant that one daemon keeps. Later tenants of
a class go to ``other``, so that a bundle with thousands of tenants costs
neither memory nor a long rendering."""

CONTENT_TYPE = "text/plain; version=0.0.4"


class Count(enum.Enum):
    """A counter and what it counts."""

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
    """Levels that the daemon sets; durations in seconds."""

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
    """All counts of one daemon. Only names in the bundle make series."""

    gauges: Gauges = dataclasses.field(default_factory=Gauges)
    _classes: frozenset[str] = frozenset()
    _tenants: frozenset[str] = frozenset()
    _services: frozenset[str] = frozenset()
    _calls: dict[tuple[str, str], histograms.Series] = dataclasses.field(
        default_factory=dict
    )
    _upstream: dict[str, histograms.Series] = dataclasses.field(
        default_factory=dict
    )
    _counts: dict[Count, dict[histograms.Labels, int]] = dataclasses.field(
        default_factory=lambda: {count: {} for count in Count}
    )

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Take the names of a new bundle; series of other names go.

        Without this, names that change with each of 730 bundles a day
        would add up in memory and in every rendering.
        """
        self._classes = frozenset(bundle.classes)
        self._tenants = frozenset(bundle.tenants)
        self._services = frozenset(bundle.services)
        self.gauges.bundle_version = bundle.version
        self._calls = {
            (name, tenant): series
            for (name, tenant), series in self._calls.items()
            if name in self._classes | {OTHER}
            and tenant in self._tenants | {OTHER}
        }
        self._upstream = {
            name: series
            for name, series in self._upstream.items()
            if name in self._classes | {OTHER}
        }
        self._keep(Count.REFUSALS, "class", self._classes)
        self._keep(Count.RETRIES, "service", self._services)
        self._add(Count.BUNDLES_ADOPTED)

    def count_answer(
        self, request_class: str, tenant: str, seconds: float
    ) -> None:
        """Count a whole answer that a caller got from this entrance."""
        pair = (
            _known(request_class, self._classes),
            _known(tenant, self._tenants),
        )
        series = self._calls.get(pair)
        if series is None:
            series = self._new_pair(pair)
        series.observe(seconds)

    def count_attempt(self, request_class: str, seconds: float) -> None:
        """Count an attempt that the upstream of this VM has ended."""
        name = _known(request_class, self._classes)
        series = self._upstream.setdefault(name, histograms.Series())
        series.observe(seconds)

    def count_refusal(
        self,
        request_class: str,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
    ) -> None:
        """Count a final refusal given to a caller."""
        self._add(
            Count.REFUSALS,
            ("class", _known(request_class, self._classes)),
            ("outcome", outcome.value),
            ("reason", reason.value),
        )

    def count_retry(self, service: str) -> None:
        """Count an attempt after the first towards ``service``."""
        name = _known(service, self._services)
        self._add(Count.RETRIES, ("service", name))

    def count_late_answer(self) -> None:
        """Count an answer that nobody waits for."""
        self._add(Count.LATE_ANSWERS)

    def count_refused_bundle(self, reason: bundles.Defect) -> None:
        """Count a bundle that was refused whole."""
        self._add(Count.BUNDLES_REFUSED, ("reason", reason.value))

    def count_platform_read(self) -> None:
        """Count one call to the platform."""
        self._add(Count.PLATFORM_READS)

    def total(self, count: Count) -> int:
        """Return the sum of one counter over all labels."""
        return sum(self._counts[count].values())

    def totals(self) -> dict[str, int]:
        """Return the sum of each counter, for the status of a daemon."""
        return {count.name.lower(): self.total(count) for count in Count}

    def render_parts(self) -> abc.Iterator[bytes]:
        """Yield the Prometheus text in parts of a millisecond or so."""
        yield histograms.render(self._gauge_collectors())
        yield histograms.render(self._counter_collectors())
        calls: dict[histograms.Labels, histograms.Series] = {
            (("class", name), ("tenant", tenant)): series
            for (name, tenant), series in self._calls.items()
        }
        yield from histograms.render_parts(
            "call_seconds", "Time of whole answers to callers", calls
        )
        upstream: dict[histograms.Labels, histograms.Series] = {
            (("class", name),): series
            for name, series in self._upstream.items()
        }
        yield from histograms.render_parts(
            "upstream_seconds", "Time of attempts at the upstream", upstream
        )

    def _new_pair(self, pair: tuple[str, str]) -> histograms.Series:
        if len(self._calls) >= CALL_SERIES_MAX:
            pair = (pair[0], OTHER)
        return self._calls.setdefault(pair, histograms.Series())

    def _add(self, count: Count, *labels: tuple[str, str]) -> None:
        counts = self._counts[count]
        counts[labels] = counts.get(labels, 0) + 1

    def _keep(self, count: Count, label: str, names: frozenset[str]) -> None:
        kept = names | {OTHER}
        self._counts[count] = {
            labels: value
            for labels, value in self._counts[count].items()
            if dict(labels)[label] in kept
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


def _known(name: str, names: frozenset[str]) -> str:
    return name if name in names else OTHER
