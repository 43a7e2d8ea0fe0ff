"""Tests of what stays of a soak that failed."""

from __future__ import annotations

import tempfile
import typing

import pytest

from tests.platform.soak import records

if typing.TYPE_CHECKING:
    import pathlib


def test_folder_of_a_failed_soak_is_kept_and_named(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: pathlib.Path,
) -> None:
    """A failure that showed once could not be traced without its logs."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    with pytest.raises(AssertionError):
        with records.kept_on_failure("case") as folder:
            records.Timeline(folder).note("fault kill vm-2")
            records.write_report(folder, "calm 0.97")
            raise AssertionError
    assert str(folder) in capsys.readouterr().out
    assert "fault kill vm-2" in (folder / records.TIMELINE).read_text()
    assert (folder / records.REPORT).read_text() == "calm 0.97\n"


def test_folder_of_a_passed_soak_is_removed() -> None:
    """Soaks in a loop must not fill the disk."""
    with records.kept_on_failure("case") as folder:
        pass
    assert not folder.exists()
