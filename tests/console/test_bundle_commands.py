from __future__ import annotations

import json
import pathlib
import stat
import typing

from click import testing
import pytest

from sassafrasstair.console import application

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
EXAMPLE_BUNDLE = str(EXAMPLES / "trust.bundle.json")
EXAMPLE_SETTINGS = EXAMPLES / "daemon.settings.json"


def run(*arguments: str, stdin: bytes = b"") -> testing.Result:
    runner = testing.CliRunner()
    return runner.invoke(application.main, arguments, input=stdin)


@pytest.fixture
def key(tmp_path: pathlib.Path) -> tuple[str, dict[str, str]]:
    path = tmp_path / "ops-1.key"
    result = run("key", "new", "ops-1", "--output", str(path))
    assert result.exit_code == 0
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    return str(path), json.loads(result.output)


def write_edited_bundle(tmp_path: pathlib.Path, old: str, new: str) -> str:
    path = tmp_path / "edited.json"
    text = pathlib.Path(EXAMPLE_BUNDLE).read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    return str(path)


def test_approve_then_check_with_settings(
    tmp_path: pathlib.Path, key: tuple[str, dict[str, str]]
) -> None:
    path, entry = key
    settings = json.loads(EXAMPLE_SETTINGS.read_text()) | {"keys": [entry]}
    (tmp_path / "settings.json").write_text(json.dumps(settings))
    approved_path = str(tmp_path / "approved.json")
    with_keys = ("--settings", str(tmp_path / "settings.json"))
    approved = run(
        "bundle",
        "approve",
        EXAMPLE_BUNDLE,
        "--key",
        path,
        "--output",
        approved_path,
    )
    assert "approved valuation-mesh version 1 digest " in approved.stderr
    checked = run("bundle", "check", approved_path, *with_keys)
    assert checked.output.endswith("valuation-mesh 1, approved by ops-1\n")
    piped = pathlib.Path(approved_path).read_bytes()
    assert run("bundle", "check", "-", *with_keys, stdin=piped).exit_code == 0
    checked_without_key = run(
        "bundle", "check", approved_path, "--settings", str(EXAMPLE_SETTINGS)
    )
    assert checked_without_key.exit_code == 1
    assert "signature of ops-1 does not fit" in checked_without_key.output
    assert run("bundle", "show", approved_path, "--text").output.encode() == (
        pathlib.Path(EXAMPLE_BUNDLE).read_bytes()
    )


@pytest.mark.parametrize(
    ("old", "new", "code", "text"),
    [
        ('"importance": 8', '"importance": 9', 0, ": good, valuation-mesh 1"),
        ('"once": true', '"onec": true', 1, "did you mean once?"),
        ('"pos-a":', '"pos-b":', 1, "pos-b: wants each key once"),
        ('"calls": ["poster"]', '"calls": ["x"]', 1, "services.intake.calls"),
        ("{", "", 2, "Expected `object`, got `str`"),
    ],
)
def test_check(
    tmp_path: pathlib.Path, old: str, new: str, code: int, text: str
) -> None:
    result = run("bundle", "check", write_edited_bundle(tmp_path, old, new))
    # The folder is named after the case, and so after what it expects.
    output = result.output.replace(str(tmp_path), "")
    assert (result.exit_code, text in output) == (code, True)


def test_approve_refuses_what_daemons_refuse(
    tmp_path: pathlib.Path, key: tuple[str, dict[str, str]]
) -> None:
    bad = write_edited_bundle(tmp_path, '"pos-a":', '"pos-b":')
    assert run("bundle", "approve", bad, "--key", key[0]).exit_code == 2


def test_new_makes_the_next_version(tmp_path: pathlib.Path) -> None:
    result = run(
        "bundle", "new", "--from", EXAMPLE_BUNDLE, "--rollout", "arima"
    )
    path = tmp_path / "next.json"
    path.write_text(result.output)
    assert run("bundle", "check", str(path)).exit_code == 0
    differences = run("bundle", "diff", EXAMPLE_BUNDLE, str(path))
    assert differences.output.splitlines() == [
        "bundle: version 2 instead of 1",
        "bundle: supersedes version 1 instead of 0",
        "bundle: applies to arima instead of all failure domains",
    ]


def test_new_supersedes_a_given_version() -> None:
    result = run(
        "bundle", "new", "--from", EXAMPLE_BUNDLE, "--supersedes", "9"
    )
    made = json.loads(result.output)
    assert (made["version"], made["supersedes"]) == (10, 9)
    source = json.loads(pathlib.Path(EXAMPLE_BUNDLE).read_text())
    assert made["classes"] == source["classes"]


def test_new_makes_a_first_bundle(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "first.json"
    path.write_text(run("bundle", "new", "--mesh", "m").output)
    assert run("bundle", "check", str(path)).exit_code == 0


@pytest.mark.parametrize(
    ("old", "new", "lines"),
    [
        ("{", "{ ", []),
        (
            '"importance": 8',
            '"importance": 5',
            [
                "class write-down: shed earlier: importance 5 instead of 8",
            ],
        ),
        (
            '"once": true',
            '"once": false',
            [
                "class write-down: no longer once-only: "
                "a repeat may run it again",
            ],
        ),
        (
            '"queue_ms": 50,',
            '"queue_ms": 1500,',
            [
                "class valuation-lookup: refused after waiting "
                "1.5 s instead of 50 ms",
            ],
        ),
        (
            '"accountants"',
            '"bookkeepers"',
            ["tenant accountants: is gone", "tenant bookkeepers: is new"],
        ),
        (
            '"arima": "tt-north"',
            '"arima": "tt-south"',
            ["failure domain arima: in region tt-south"],
        ),
    ],
)
def test_diff_lists_changes(
    tmp_path: pathlib.Path, old: str, new: str, lines: list[str]
) -> None:
    path = write_edited_bundle(tmp_path, old, new)
    result = run("bundle", "diff", EXAMPLE_BUNDLE, path)
    assert result.output.splitlines() == lines
    assert result.exit_code == bool(lines)
    as_json: list[typing.Any] = json.loads(
        run("bundle", "diff", EXAMPLE_BUNDLE, path, "--json").output
    )
    assert len(as_json) == len(lines)


def test_show_orders_classes_by_descending_importance() -> None:
    lines = run("bundle", "show", EXAMPLE_BUNDLE).output.splitlines()
    head_index = next(
        i for i, line in enumerate(lines) if line.startswith("CLASS")
    )
    assert lines[head_index + 1].startswith("valuation-lookup")
    shown = json.loads(run("bundle", "show", EXAMPLE_BUNDLE, "--json").output)
    assert shown["bundle"]["services"]["ledger"]["cold_start_ms"] == 5_000


@pytest.mark.parametrize(
    "arguments",
    [
        ("bundle", "check", "none.json"),
        ("bundle", "diff", EXAMPLE_BUNDLE, "none.json"),
        ("bundle", "check", EXAMPLE_BUNDLE, "--settings", EXAMPLE_BUNDLE),
        (
            "bundle",
            "check",
            EXAMPLE_BUNDLE,
            "--settings",
            str(EXAMPLE_SETTINGS) + "x",
        ),
        ("bundle", "approve", EXAMPLE_BUNDLE, "--key", EXAMPLE_BUNDLE),
        ("key", "new", "Bad Name", "--output", "bad.key"),
        ("key", "new", "ops-1", "--output", EXAMPLE_BUNDLE),
        ("status", "localhost:1"),
        ("status",),
    ],
)
def test_bad_input_exits_2(arguments: tuple[str, ...]) -> None:
    result = run(*arguments)
    assert result.exit_code == 2
    assert "Error: " in result.stderr
    assert "Traceback" not in result.stderr
