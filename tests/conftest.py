"""Passes over the tests of KNOWN-RED.txt in CI, and prints how each ended.

They are run like all others; that one of them fails does not fail the run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import typing
import warnings

import pytest

from tests import known_red

_OUTCOMES = {"xfailed": "failed", "xpassed": "passed"}
_STREAMS_WARN_SINCE = (3, 11, 7)


def _close_stream(writer: asyncio.StreamWriter) -> None:
    """Close a stream that nobody refers to, as later versions of Python do.

    Earlier ones raise an error if the event loop has been closed before.
    """
    if writer.transport.is_closing():
        return
    if writer._loop.is_closed():  # type: ignore[attr-defined]
        warnings.warn("loop is closed", ResourceWarning, stacklevel=1)
    else:
        writer.close()


if sys.version_info < _STREAMS_WARN_SINCE:
    asyncio.StreamWriter.__del__ = (  # type: ignore[method-assign]
        _close_stream
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the listed tests; one that does not exist is an error."""
    listed = _listed(config)
    for item in items:
        entry = listed.pop(item.nodeid, None)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=False))
    if listed:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {min(listed)}")


def pytest_terminal_summary(
    terminalreporter: typing.Any, config: pytest.Config
) -> None:
    """Print each listed test with its outcome."""
    listed = _listed(config)
    for category, outcome in _OUTCOMES.items():
        for report in terminalreporter.stats.get(category, []):
            if report.nodeid in listed:
                entry = listed[report.nodeid]
                terminalreporter.write_line(
                    f"known red: {entry.test}: {outcome} ({entry.issue})"
                )


def _listed(config: pytest.Config) -> dict[str, known_red.Entry]:
    name = os.environ.get(known_red.VARIABLE)
    if not name:
        return {}
    try:
        return known_red.read(pathlib.Path(config.rootpath, name))
    except known_red.ListError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from error
