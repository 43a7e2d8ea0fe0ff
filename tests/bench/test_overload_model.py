from __future__ import annotations

import json

from click import testing
import pytest

from sassafrasstair import bench
from sassafrasstair.console import bench as console

# Goodput, important goodput, recovery and amplification.
AIMS = {"goodput": 0.95, "recovery_s": 2.0, "amplification": 0.1}


def _run(policy: str, scenario: str = "slow-deep") -> bench.Run:
    return bench.Run("trust", scenario, policy, 0)


def test_chosen_reaches_the_aims_where_none_collapses() -> None:
    """A slow deep service must not take the whole chain with it.

    The ledger slows to a tenth. With plain forwarding every hop times out
    and retries, so that the ledger works for callers that have gone. The
    cause is work started without regard to who still waits.
    """
    none = bench.run_one(_run("none"))
    chosen = bench.run_one(_run("chosen"))
    assert none.goodput < 0.5
    assert chosen.goodput >= AIMS["goodput"]
    assert chosen.recovery_s <= AIMS["recovery_s"]
    assert chosen.amplification <= AIMS["amplification"]


def test_same_seed_same_figures() -> None:
    run = _run("chosen", "domain-cut")
    assert bench.run_one(run) == bench.run_one(run)


@pytest.mark.parametrize("workers", [1, 2])
def test_report_ends_in_the_agreed_json(workers: int) -> None:
    runs = [_run("chosen", "upstream-lost")]
    figures = bench.run_all(runs, workers)
    results = dict(zip(runs, figures, strict=True))
    decoded = json.loads(bench.as_json(results))
    found = decoded["scenarios"]["trust/upstream-lost"]["chosen"]
    assert set(found) == {*AIMS, "important_goodput"}
    assert "trust/upstream-lost" in bench.as_table(results)


def test_command_prints_the_json_last() -> None:
    arguments = "overload --mix trust --scenario domain-cut --policy chosen"
    result = testing.CliRunner().invoke(
        console.main, [*arguments.split(), "--seeds", "1", "--workers", "1"]
    )
    assert result.exit_code == 0, result.output
    last = json.loads(result.output.splitlines()[-1])
    assert list(last["scenarios"]) == ["trust/domain-cut"]
