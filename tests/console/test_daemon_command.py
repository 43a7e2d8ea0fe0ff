from __future__ import annotations

import pathlib

from click import testing
import pytest

from sassafrasstair.console import daemon

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples/daemon.settings.json"


@pytest.mark.parametrize(
    ("text", "code", "expected"),
    [
        (EXAMPLE.read_text(), 0, "{path}: ok"),
        ('{"bogus": 1}', 2, "{path}: bogus: unknown key"),
        ("", 2, "{path}: "),
    ],
)
def test_check_prints_one_line(
    tmp_path: pathlib.Path, text: str, code: int, expected: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text)
    result = testing.CliRunner().invoke(
        daemon.main, ["--settings", str(path), "--check"]
    )
    (line,) = result.output.splitlines()
    assert result.exit_code == code
    assert line.startswith(expected.format(path=path))
    assert line.count(str(path)) == 1
