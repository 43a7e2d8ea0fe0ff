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

DOCS = pathlib.Path(__file__).parents[1] / "docs"
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
