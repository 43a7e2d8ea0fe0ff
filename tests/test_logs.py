from __future__ import annotations

import io
import json
import logging
import typing

import pytest

from sassafrasstair import logs
from sassafrasstair import outcomes


@pytest.fixture(autouse=True)
def restore_logging() -> typing.Iterator[None]:
    root = logging.getLogger()
    saved = root.handlers[:], root.level
    yield
    root.handlers[:], root.level = saved


def written(format: typing.Literal["keyvalue", "json"], value: str) -> str:
    stream = io.StringIO()
    logs.configure(format, "info", stream)
    logger = logging.getLogger("calls")
    reason = outcomes.Reason.LEAVING
    logs.event(logger, logging.DEBUG, "hidden")
    logs.event(logger, logging.INFO, "seen", reason=reason, value=value, n=0.5)
    return stream.getvalue()


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("10.0.0.1:80", "10.0.0.1:80"),
        ("", '""'),
        ("two words", '"two words"'),
        ("a=b", '"a=b"'),
        ('say "x"', r'"say \"x\""'),
        ("a\nevent=forged", r'"a\nevent=forged"'),
        ("a\u2028b", r'"a\u2028b"'),
        ("x" * 2_000, "x" * 1_000 + "..."),
    ],
)
def test_event_is_one_line(value: str, expected: str) -> None:
    line = written("keyvalue", value)
    fields = f" event=seen reason=leaving value={expected} n=0.5\n"
    assert line.endswith(f" level=info logger=calls{fields}")
    assert len(line.splitlines()) == 1


def test_event_as_json() -> None:
    seen = json.loads(written("json", "a\nb"))
    del seen["time"]
    assert seen == {
        "level": "info",
        "logger": "calls",
        "event": "seen",
        "reason": "leaving",
        "value": "a\nb",
        "n": 0.5,
    }


@pytest.mark.parametrize(
    ("level", "expected"),
    [("error", []), ("info", ["warned"]), ("debug", ["told", "warned"])],
)
def test_http_libraries_log_requests_only_at_level_debug(
    level: str, expected: list[str]
) -> None:
    """The httpx library logs each request to the upstream at level info.

    At hundreds of calls a second, these lines would hide the daemon's own
    events and cost too much.
    """
    stream = io.StringIO()
    logs.configure("keyvalue", level, stream)
    logging.getLogger("httpx").info("told")
    logging.getLogger("httpx").warning("warned")
    lines = stream.getvalue().splitlines()
    assert [line.rpartition("=")[2] for line in lines] == expected


def test_library_records_keep_to_one_line() -> None:
    stream = io.StringIO()
    logs.configure("keyvalue", "info", stream)
    try:
        raise ValueError("a\nb")
    except ValueError:
        logging.getLogger("lib").exception("failed %s", "x\ny")
    assert len(stream.getvalue().splitlines()) == 1
    assert r'event=library_message message="failed x\ny"' in stream.getvalue()
