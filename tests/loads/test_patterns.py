"""Load patterns of a deep chain, replayed on the decisions."""

from __future__ import annotations

import statistics

import pytest

from sassafrasstair.decisions import admission
from sassafrasstair.decisions.admission import _averages
from tests.loads import chains

SEEDS = (1, 2, 3)


def _power_back(seed: int) -> float:
    """Return the share of the worth served in the 4 s after the cold ones."""
    chain = chains.Chain(seed)
    chain.slowness = lambda now: 2.0 if now < 3.0 else 1.0
    chain.run(10.0)
    return chain.worth(4, 8)


def _surge(seed: int) -> chains.Chain:
    """Return a chain asked for 1.6 times what its last service can do."""
    chain = chains.Chain(seed)
    chain.surge = lambda now: 1.4 * (1.7 if 2.0 <= now < 8.0 else 1.0)
    chain.run(11.0)
    return chain


def test_gates_open_soon_after_a_loss_of_power() -> None:
    """All VMs lose power and come back with cold instances.

    The gates closed for the overload of the first seconds, and stayed so
    for 5 s after the queues had drained: the few answers that came hardly
    moved what was heard of the chain.
    """
    assert statistics.mean(map(_power_back, SEEDS)) > 0.95


def test_average_by_answers_kept_the_gates_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same with an average that each answer moves by a tenth."""
    monkeypatch.setattr(_averages, "SMOOTH_SECONDS", 1e9)
    assert statistics.mean(map(_power_back, SEEDS)) < 0.94


@pytest.mark.parametrize("seed", SEEDS)
def test_important_requests_pass_a_surge_at_the_last_service(
    seed: int,
) -> None:
    """The last service is asked for 1.6 times what it can do.

    All calls of the important kind fit. They waited behind calls of the
    others, and one in ten of their requests failed for one call of eight.
    """
    chain = _surge(seed)
    assert chain.tallies["order"].share(2, 8) > 0.985
    assert chain.tallies["lookup"].share(2, 8) > 0.25


def test_important_requests_fail_without_their_rank(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same with calls that have no rank but that of their own route."""
    monkeypatch.setattr(chains, "rank_of", lambda request: 9.5)
    shares = [_surge(seed).tallies["order"].share(2, 8) for seed in SEEDS]
    assert statistics.mean(shares) < 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_service_goes_on_when_an_instance_leaves(seed: int) -> None:
    """One of three instances leaves; the others can do four fifths.

    The important kind loses nothing, and the rest of the room is used.
    """
    chain = chains.Chain(seed, speeds=(1.0, 1.0, 1.0))
    chain.run(4.0)
    chain.remove(1)
    chain.run(14.0)
    assert chain.tallies["order"].share(4, 13) > 0.985
    assert chain.worth(6, 13) > 0.85


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_chain_serves_all_near_home(seed: int) -> None:
    """Instances differ in speed, and there is room in each domain."""
    chain = chains.Chain(seed, slots=30)
    chain.run(8.0)
    assert chain.worth(0, 7) > 0.995
    assert chain.crossed < 0.05 * chain.peeks


@pytest.mark.parametrize("seed", SEEDS)
def test_grey_last_service_is_used_again_at_once(seed: int) -> None:
    """All of the last service refuse half of their calls for 5 s.

    Hardly a request can be served meanwhile. The refusals tell of no load,
    so that no gate is closed when they end.
    """
    chain = chains.Chain(seed)
    chain.refusing = lambda now: 0.5 if 2.0 <= now < 7.0 else 0.0
    chain.run(11.0)
    assert chain.worth(3, 6) < 0.5
    assert chain.worth(8, 10) > 0.97


def test_gate_hears_what_its_importance_must_yield_to() -> None:
    """A last service is full of calls that matter less."""
    heard = admission.CalleeLoads()
    for at in range(10):
        admission.observe_inner_load(heard, "peek", 7, 3.0, 100.0 + 0.01 * at)
        admission.observe_inner_load(heard, "peek", 9, 0.6, 100.0 + 0.01 * at)
    assert admission.busiest_callee_load(heard, 9, 100.1) < 1.0
    assert admission.busiest_callee_load(heard, 7, 100.1) > 2.0
