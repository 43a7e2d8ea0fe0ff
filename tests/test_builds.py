"""Tests that a log can name the sources that run."""

from __future__ import annotations

import pathlib
import subprocess

import pytest

from sassafrasstair import builds

SCRIPT = pathlib.Path(__file__).parents[1] / "deploy" / "source_digest.sh"


@pytest.mark.parametrize(
    ("written", "expected"),
    [("0123456789ab\n", "0123456789ab"), ("\n", "unknown"), (None, "unknown")],
)
def test_build_id_is_read_from_the_package(
    written: str | None, expected: str, tmp_path: pathlib.Path
) -> None:
    if written is not None:
        (tmp_path / builds.FILE).write_text(written)
    assert builds.build_id(tmp_path) == expected


def test_digest_changes_with_the_sources(tmp_path: pathlib.Path) -> None:
    """An operator must be able to find the commit whose sources run."""
    digests = set()
    for text in ("a = 1\n", "a = 2\n"):
        (tmp_path / "a.py").write_text(text)
        digests.add(_digest(tmp_path))
    (tmp_path / "a.py").rename(tmp_path / "b.py")
    digests.add(_digest(tmp_path))
    assert len(digests) == 3
    (tmp_path / "notes.txt").write_text("not a source")
    assert _digest(tmp_path) in digests


def _digest(folder: pathlib.Path) -> str:
    ended = subprocess.run(
        ["sh", SCRIPT, folder], capture_output=True, check=True, text=True
    )
    return ended.stdout.strip()
