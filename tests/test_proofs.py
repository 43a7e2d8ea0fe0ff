"""The pages on what is proved name only what exists, and leave out nothing."""

from __future__ import annotations

import ast
import pathlib
import re

import pytest

from tests.platform.soak import faults

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "PROOFS.md").read_text()
COVERAGE = (ROOT / "docs" / "RULES-COVERAGE.md").read_text()
PAGES = (PAGE, COVERAGE)
NODE = re.compile(r"`(tests/[\w/]+\.py)::(\w+)`")
ROW = re.compile(r"^\| (\d) \|.*$", re.MULTILINE)
STATES = {"proved", "partly", "not"}
PROMISES = 8
CLAUSE = re.compile(r"^\| (\d+)([a-z]?) \| [A-Z]+ \|.*$", re.MULTILINE)
COVERAGE_CELLS = 6
RULES = 37
SOAK_CHECK = re.compile(r"soak: `(\w+)`")
SOAK_SOURCES = (
    "tests/notices.py",
    "tests/platform/soak/losses.py",
    "tests/platform/soak/oracle.py",
    "tests/platform/soak/scenario.py",
)
OPEN = "**open**"


def functions(path: pathlib.Path) -> set[str]:
    tree = ast.parse(path.read_text())
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {one.name for one in tree.body if isinstance(one, kinds)}


def clauses() -> list[list[str]]:
    """Return the cells of each row on the platform's rules."""
    rows = [match.group() for match in CLAUSE.finditer(COVERAGE)]
    return [[cell.strip() for cell in row.split("|")[1:-1]] for row in rows]


@pytest.mark.parametrize(
    ("path", "name"), sorted(set(NODE.findall(PAGE + COVERAGE)))
)
def test_named_test_exists(path: str, name: str) -> None:
    assert (ROOT / path).is_file()
    assert name in functions(ROOT / path)


def test_each_promise_has_its_row() -> None:
    rows = [match.group() for match in ROW.finditer(PAGE)]
    numbers = [int(row.split("|")[1]) for row in rows]
    assert numbers == list(range(1, PROMISES + 1))
    for row in rows:
        state = row.rstrip(" |").rsplit("|", 1)[1].strip()
        assert state in STATES
        assert state == "not" or NODE.search(row)


def test_no_other_spelling_of_a_node() -> None:
    for page in PAGES:
        assert page.count("::") == len(NODE.findall(page))


def test_each_rule_has_its_clauses_in_order() -> None:
    found = [match.groups() for match in CLAUSE.finditer(COVERAGE)]
    numbers = list(dict.fromkeys(int(number) for number, _ in found))
    assert numbers == list(range(1, RULES + 1))
    assert found == sorted(set(found), key=lambda one: (int(one[0]), one[1]))


@pytest.mark.parametrize("cells", clauses(), ids=lambda cells: cells[0])
def test_clause_names_its_check_or_is_open(cells: list[str]) -> None:
    assert len(cells) == COVERAGE_CELLS
    assert all(cells)
    check, drawn = cells[3], cells[4]
    assert NODE.search(check) or SOAK_CHECK.search(check) or OPEN in check
    methods = {
        one.name
        for path in SOAK_SOURCES
        for one in ast.walk(ast.parse((ROOT / path).read_text()))
        if isinstance(one, (ast.FunctionDef, ast.AsyncFunctionDef))
    }
    assert set(SOAK_CHECK.findall(check)) <= methods
    days = {path.stem for path in (ROOT / "deploy" / "days").glob("*.toml")}
    assert set(re.findall(r"`(\w+)`", drawn)) <= days | set(faults.FAULTS)
