"""CI passes over the listed tests, and over no others."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

from tests import known_red

ROOT = pathlib.Path(__file__).parents[1]
TESTS = "def test_good():\n    pass\ndef test_bad():\n    assert False\n"
GOOD, BAD = "test_some.py::test_good", "test_some.py::test_bad"


def _run(
    place: pathlib.Path, listed: tuple[str, ...], ci: bool
) -> subprocess.CompletedProcess[str]:
    """Run two tests, one of which fails, as CI or a developer does."""
    (place / "test_some.py").write_text(TESTS)
    (place / "conftest.py").write_text(
        (ROOT / "tests" / "conftest.py").read_text()
    )
    lines = [f"{test} | pytest {test} | red | issue 1" for test in listed]
    (place / "KNOWN-RED.txt").write_text("\n".join(lines))
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    environment.pop(known_red.VARIABLE, None)
    if ci:
        environment[known_red.VARIABLE] = "KNOWN-RED.txt"
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "."],
        cwd=place,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    ("listed", "ci", "code", "shown"),
    [
        ((BAD,), True, 0, f"known red: {BAD}: failed (issue 1)"),
        ((GOOD, BAD), True, 0, f"known red: {GOOD}: passed (issue 1)"),
        ((GOOD,), True, 1, f"FAILED {BAD}"),
        ((BAD,), False, 1, f"FAILED {BAD}"),
        ((), True, 1, f"FAILED {BAD}"),
        ((BAD, "test_some.py::test_gone"), True, 4, "no such test"),
    ],
)
def test_only_listed_tests_are_passed_over(
    tmp_path: pathlib.Path,
    listed: tuple[str, ...],
    ci: bool,
    code: int,
    shown: str,
) -> None:
    ended = _run(tmp_path, listed, ci)
    assert ended.returncode == code
    assert shown in ended.stdout + ended.stderr


@pytest.mark.parametrize(
    "text",
    ["a::b | c | d", "a::b | c | | 1", "a::b | c | d | 1\na::b | c | d | 1"],
)
def test_entry_without_its_fields_is_refused(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "list.txt"
    path.write_text(text)
    with pytest.raises(known_red.ListError):
        known_red.read(path)


def test_list_of_the_project_can_be_read() -> None:
    assert isinstance(known_red.read(ROOT / "KNOWN-RED.txt"), dict)
