"""Tests of ``sassafras explain`` on the logs of several daemons."""

from __future__ import annotations

import json

from click import testing

from sassafrasstair.console import application
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


def _log_line(second: int, event: str, **fields: object) -> str:
    return json.dumps(
        {"time": f"2026-01-01T00:00:{second:02}.000+00:00", "event": event}
        | fields
    )


def _explain(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(
        application.main, ["explain", *arguments]
    )


def test_explain_merges_files_by_time_with_process_state(
    tmp_path: pathlib.Path,
) -> None:
    callee = tmp_path / "callee.log"
    callee.write_text(
        _log_line(2, "run_ended", request="r1", reason="queue_full") + "\n"
    )
    entrance = tmp_path / "entrance.log"
    entrance.write_text(
        "\n".join(
            [
                "not a line of a daemon",
                _log_line(1, "policy_in_force", version=7),
                _log_line(1, "peer_lost", peer="10.0.0.9", instance="i-9"),
                _log_line(1, "peer_lost", peer="10.0.0.8", instance="i-8"),
                _log_line(3, "refused", request="r1", tried="i-9,i-7"),
                _log_line(4, "policy_in_force", version=8),
                _log_line(3, "refused", request="r2"),
            ]
        )
    )
    result = _explain("r1", str(entrance), str(callee))
    assert result.exit_code == 0
    events = [line.split()[2] for line in result.output.splitlines()]
    assert events[0] == "run_ended"
    assert events[1] == "refused"
    assert "version=7" in result.output
    assert "i-9" in result.output
    assert "i-8" not in result.output
    assert "version=8" not in result.output
    assert "r2" not in result.output


def test_collector_prefix_names_the_process(
    tmp_path: pathlib.Path,
) -> None:
    log = tmp_path / "all.log"
    log.write_text("  1.25 vm-3 " + _log_line(1, "refused", request="r1"))
    assert " vm-3 refused" in _explain("r1", str(log)).output


def test_unknown_request_is_a_finding(tmp_path: pathlib.Path) -> None:
    log = tmp_path / "log"
    log.write_text(_log_line(1, "refused", request="r1"))
    result = _explain("r9", str(log))
    assert result.exit_code == 1
    assert "r9" in result.output


def test_refused_request_shows_its_own_suspect_only(
    tmp_path: pathlib.Path,
) -> None:
    log = tmp_path / "entrance.log"
    log.write_text(
        "\n".join(
            [
                _log_line(1, "request_blocked", fingerprint="0a", strikes=3),
                _log_line(1, "request_blocked", fingerprint="0b", strikes=4),
                _log_line(2, "refused", request="r1", fingerprint="0a"),
            ]
        )
    )
    result = _explain("r1", str(log))
    assert "strikes=3" in result.output
    assert "strikes=4" not in result.output
