"""The reference tables in docs/ name what the code has, no less or more."""

from __future__ import annotations

import pathlib
import re
import typing

import msgspec
import pytest

from sassafrasstair import bundles
from sassafrasstair import metrics
from sassafrasstair import settings

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
PAGES = sorted(DOCS.rglob("*.md"))
SOURCES = ("src", "tests", "deploy", "examples")
SPAN = re.compile(r"`([^`\n]+)`")
IDENTIFIER = re.compile(r"[A-Za-z_]*(?:_|[a-z][A-Z])\w*")
FOREIGN = {"CLOCK_MONOTONIC", "MALLOC_ARENA_MAX", "VmHWM"}
"""Names of the system that the docs quote."""
ROW = re.compile(r"^\| `([^`]+)` \|(?:.*\| ([^|]*) \|)?", re.MULTILINE)


def rows(page: str, head: str) -> dict[str, str]:
    """Return first and last cell of the table that starts with ``head``."""
    text = (DOCS / page).read_text()
    table = text[text.index(head) :].split("\n\n")[0]
    return {name: last.strip("`") for name, last in ROW.findall(table)}


def inner(kind: object) -> type[msgspec.Struct] | None:
    for one in (kind, *typing.get_args(kind)):
        if isinstance(one, type) and issubclass(one, msgspec.Struct):
            return one
    return None


def default(field: msgspec.structs.FieldInfo) -> str:
    if field.default in (msgspec.NODEFAULT, {}) or inner(field.type):
        return ""
    if field.default == ():
        return "[]"
    return str(field.default).lower()


def documented(kind: type[msgspec.Struct], path: str = "") -> dict[str, str]:
    """Return the dotted keys of ``kind`` with their defaults."""
    found = {}
    for field in msgspec.structs.fields(kind):
        found[path + field.name] = default(field)
        if struct := inner(field.type):
            found |= documented(struct, f"{path}{field.name}.")
    return found


def source_words() -> set[str]:
    """Return all words of the sources, and the names of their files."""
    files = [
        path
        for folder in SOURCES
        for path in (ROOT / folder).rglob("*")
        if path.suffix in {".py", ".toml", ".json", ".sh"}
    ]
    words = {path.stem for path in files}
    for path in files:
        words |= set(re.findall(r"\w+", path.read_text()))
    return words


def exists(name: str, words: set[str]) -> bool:
    """Return whether a source has the name, or one that it abbreviates.

    The pages shorten names of metrics and log events to a prefix or suffix.
    """
    name = name.removeprefix("sassafrasstair_")
    if name in words:
        return True
    if name.startswith("_"):
        return name[1:] in words or any(word.endswith(name) for word in words)
    return name.endswith("_") and any(word.startswith(name) for word in words)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_named_identifiers_exist(page: pathlib.Path) -> None:
    words = source_words() | FOREIGN
    named = {
        name
        for span in SPAN.findall(page.read_text())
        for name in IDENTIFIER.findall(span)
    }
    assert not {name for name in named if not exists(name, words)}


@pytest.mark.parametrize(
    ("page", "kind"),
    [
        ("SETTINGS.md", settings.Settings),
        ("OPERATORS.md", bundles.Bundle),
    ],
)
def test_keys_and_defaults(page: str, kind: type[msgspec.Struct]) -> None:
    assert rows(page, "| Key | Value | Default |") == documented(kind)


def test_metrics() -> None:
    state = metrics.Metrics()
    state.count_answer("c", "t", 1.0)
    state.count_attempt("c", 1.0)
    text = metrics.render(state).decode()
    names = set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))
    assert rows("OPERATORS.md", "| Metric |").keys() == names


def test_defects() -> None:
    reasons = {defect.value for defect in bundles.Defect}
    assert rows("OPERATORS.md", "| Reason |").keys() == reasons
