"""Experiments from a file: what is refused, and what comes out."""

from __future__ import annotations

import json
import typing

import click.testing
import pytest

from sassafrasstair import bench
from sassafrasstair.console import bench as console

if typing.TYPE_CHECKING:
    import pathlib

GOOD: dict[str, typing.Any] = {
    "name": "slow",
    "mix": "trust",
    "policies": ["chosen", "none"],
    "seeds": [1],
    "phases": [{"name": "slow", "seconds": 2, "slow": 8}],
}


def _bytes(**changes: object) -> bytes:
    return json.dumps(GOOD | changes).encode()


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"mix": "nobody"}, "mix: 'nobody' is none of trust"),
        ({"policies": []}, "policies: at least one"),
        ({"policies": ["best"]}, "policies: 'best' is none of"),
        ({"seeds": []}, "seeds"),
        ({"phases": []}, "phases: at least one"),
        ({"phases": [{"name": "x", "seconds": 0}]}, "phases[0].seconds"),
        ({"phases": [{"name": "x", "seconds": 1, "load": -1}]}, ".load"),
        ({"phases": [{"name": "x", "seconds": 1, "stale": -1}]}, ".stale"),
        ({"phases": [{"name": "x", "seconds": 1, "hot": 1}]}, "hot"),
        ({"seeds": "1"}, "seeds"),
        ({"nme": "typo"}, "nme"),
    ],
)
def test_file_that_describes_no_experiment_is_refused(
    changes: dict[str, object], said: str
) -> None:
    with pytest.raises(bench.ExperimentError) as caught:
        bench.decode(_bytes(**changes))
    assert said in str(caught.value)


def test_command_writes_results_and_a_plot(tmp_path: pathlib.Path) -> None:
    """An engineer compares two policies under a slow service."""
    file = tmp_path / "slow.json"
    file.write_bytes(_bytes())
    done = click.testing.CliRunner().invoke(
        console.main,
        ["experiment", str(file), "--out", str(tmp_path), "--workers", "1"],
    )
    assert done.exit_code == 0, done.output
    picture = (tmp_path / "slow.png").read_bytes()
    assert picture.startswith(b"\x89PNG")
    found = json.loads((tmp_path / "slow.results.json").read_bytes())
    assert [mark["name"] for mark in found["marks"]] == ["slow"]
    mark = found["marks"][0]
    during = range(int(mark["start"]), int(mark["end"]))
    shed = {
        name: sum(series["shed"][second] for second in during)
        for name, series in found["series"].items()
    }
    assert shed["chosen"] < shed["none"]
    for series in found["series"].values():
        assert len({len(values) for values in series.values()}) == 1
        assert sum(series["offered"]) <= sum(series["tries"])


def test_command_names_what_is_wrong_with_a_file(
    tmp_path: pathlib.Path,
) -> None:
    file = tmp_path / "bad.json"
    file.write_bytes(b"{")
    done = click.testing.CliRunner().invoke(
        console.main, ["experiment", str(file)]
    )
    assert done.exit_code == 1
    assert "bad.json" in done.output
