"""Tests that are known to fail: the entries of KNOWN-RED.txt.

An entry is one line of four fields parted by ``|``: the test's node id, the
command and seed that show the failure, what was seen, and the open issue.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import pathlib

VARIABLE = "KNOWN_RED"
"""Names the list; set by CI alone, so that a developer sees red as red."""
_FIELDS = 4


class ListError(Exception):
    """The list, or an entry of it, can't be used; says why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One test that is known to fail, and why it may."""

    test: str
    command: str
    seen: str
    issue: str


def read(path: pathlib.Path) -> dict[str, Entry]:
    """Return the entries by test, none if there is no list.

    Raises ``ListError``.
    """
    if not path.exists():
        return {}
    found: dict[str, Entry] = {}
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELDS or not all(fields):
            raise ListError(f"not test, command, seen, issue: {line!r}")
        entry = Entry(*fields)
        if entry.test in found:
            raise ListError(f"listed twice: {entry.test}")
        found[entry.test] = entry
    return found
