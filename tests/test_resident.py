"""Tests of the figure for resident memory."""

from __future__ import annotations

import mmap
import typing

import pytest

from sassafrasstair import resident

if typing.TYPE_CHECKING:
    import pathlib

BLOCK = 32_000_000


def test_resident_memory_follows_what_is_held() -> None:
    # A mapping of its own takes no memory that was freed before.
    with mmap.mmap(-1, BLOCK) as held:
        before = resident.resident_bytes()
        held.write(b"x" * BLOCK)
        assert resident.resident_bytes() - before > 0.9 * BLOCK


@pytest.mark.parametrize("text", [None, "", "12", "a b"])
def test_resident_memory_is_0_where_it_is_unknown(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, text: str | None
) -> None:
    path = tmp_path / "statm"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(resident, "_FIGURES", path)
    assert resident.resident_bytes() == 0
