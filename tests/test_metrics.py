from __future__ import annotations

import pytest

from sassafrasstair import bundles
from sassafrasstair import metrics
from sassafrasstair import outcomes


def bundle(classes: int = 1, tenants: int = 1) -> bundles.Bundle:
    rules = bundles.RequestClass(service="s", importance=1, deadline_ms=900)
    return bundles.Bundle(
        format=1,
        mesh="m",
        version=7,
        supersedes=6,
        failure_domains={"a": "r"},
        services={"s": bundles.Service(slots=1, connections=1)},
        classes={f"c-{i}": rules for i in range(classes)},
        tenants={f"t-{i}": bundles.Tenant() for i in range(tenants)},
    )


def metrics_with_bundle(classes: int = 1, tenants: int = 1) -> metrics.Metrics:
    state = metrics.Metrics()
    state.apply_bundle(bundle(classes, tenants))
    return state


def lines(state: metrics.Metrics) -> list[str]:
    return metrics.render(state).decode().splitlines()


def test_render() -> None:
    state = metrics_with_bundle()
    state.gauges.limit = 12.5
    state.count_answer("c-0", "t-0", 0.003)
    state.count_answer("c-0", "t-0", 99.0)
    state.count_attempt("c-0", 0.002)
    state.count_refusal(
        "c-0", outcomes.Outcome.NOT_RUN, outcomes.Reason.QUEUE_DELAY
    )
    state.count_retry("s")
    state.count_late_answer()
    state.count_refused_bundle(bundles.Defect.UNSIGNED)
    state.count_platform_read()
    name, tenant = 'class="c-0"', 'tenant="t-0"'
    bucket = f"sassafrasstair_call_seconds_bucket{{{name},le="
    expected = {
        f'{bucket}"0.0025",{tenant}}} 0.0',
        f'{bucket}"0.005",{tenant}}} 1.0',
        f'{bucket}"+Inf",{tenant}}} 2.0',
        f"sassafrasstair_call_seconds_count{{{name},{tenant}}} 2.0",
        f"sassafrasstair_call_seconds_sum{{{name},{tenant}}} 99.003",
        'sassafrasstair_upstream_seconds_count{class="c-0"} 1.0',
        'sassafrasstair_refusals_total{class="c-0",outcome="not run",'
        'reason="queue_delay"} 1',
        'sassafrasstair_retries_total{service="s"} 1',
        'sassafrasstair_bundles_refused_total{reason="unsigned"} 1',
        "sassafrasstair_late_answers_total 1",
        "sassafrasstair_platform_reads_total 1",
        "sassafrasstair_bundles_adopted_total 1",
        "sassafrasstair_bundle_version 7",
        "sassafrasstair_limit 12.5",
    }
    assert expected - set(lines(state)) == set()


def test_unknown_names_get_no_series() -> None:
    """A client sends a new tenant name with each request.

    If each name became a series, the daemon's memory and its metrics would
    grow until the VM runs out of memory. So names that are not in the bundle
    are counted as other.
    """
    state = metrics_with_bundle()
    for i in range(1_000):
        state.count_answer("c-0", f"made-up-{i}", 0.1)
        state.count_refusal(
            f"made-up-{i}",
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.UNKNOWN_CLASS,
        )
    text = "\n".join(lines(state))
    assert "made-up" not in text
    assert 'call_seconds_count{class="c-0",tenant="other"} 1000.0' in text
    assert state.total(metrics.Count.REFUSALS) == 1_000


@pytest.mark.parametrize(
    ("classes", "tenants"), [(1, 1_000), (100, 500), (300, 1)]
)
def test_number_of_call_series_is_bounded(classes: int, tenants: int) -> None:
    state = metrics_with_bundle(classes, tenants)
    for i in range(classes):
        for j in range(tenants):
            state.count_answer(f"c-{i}", f"t-{j}", 0.1)
    counts = [line for line in lines(state) if "call_seconds_count" in line]
    assert len(counts) <= metrics.CALL_SERIES_MAX + classes
    total = sum(float(line.rpartition(" ")[2]) for line in counts)
    assert total == classes * tenants


def test_series_of_names_removed_from_the_bundle_are_dropped() -> None:
    state = metrics_with_bundle(classes=2, tenants=2)
    state.count_answer("c-1", "t-0", 0.1)
    state.count_answer("c-0", "t-1", 0.1)
    state.count_answer("c-0", "t-0", 0.1)
    state.count_attempt("c-1", 0.1)
    state.count_refusal(
        "c-1", outcomes.Outcome.UNKNOWN, outcomes.Reason.PEER_LOST
    )
    state.apply_bundle(bundle())
    text = "\n".join(lines(state))
    assert 'class="c-0",tenant="t-0"' in text
    assert "c-1" not in text
    assert "t-1" not in text


def test_help_is_given_once_for_each_metric() -> None:
    state = metrics_with_bundle(classes=9, tenants=9)
    for i in range(9):
        state.count_answer(f"c-{i}", f"t-{i}", 0.1)
    helps = [line for line in lines(state) if line.startswith("# HELP")]
    assert len(helps) == len(set(helps))
