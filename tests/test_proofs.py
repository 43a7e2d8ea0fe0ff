"""docs/PROOFS.md names only tests that exist, in a row for each promise."""

from __future__ import annotations

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "PROOFS.md").read_text()
NODE = re.compile(r"`(tests/[\w/]+\.py)::(\w+)`")
ROW = re.compile(r"^\| (\d) \|.*$", re.MULTILINE)
STATES = {"proved", "partly", "not"}
PROMISES = 8


def functions(path: pathlib.Path) -> set[str]:
    tree = ast.parse(path.read_text())
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {one.name for one in tree.body if isinstance(one, kinds)}


@pytest.mark.parametrize(("path", "name"), sorted(set(NODE.findall(PAGE))))
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
    assert PAGE.count("::") == len(NODE.findall(PAGE))
