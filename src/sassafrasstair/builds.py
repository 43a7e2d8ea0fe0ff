"""Identifies the build that runs, so that a log names its sources."""

from __future__ import annotations

import pathlib

FILE = "BUILD"
"""Written beside the package by ``deploy/build.sh``."""
UNKNOWN = "unknown"
"""The id of sources that run without having been built."""


def build_id(package: pathlib.Path = pathlib.Path(__file__).parent) -> str:
    """Return the digest of the sources of the package that runs."""
    try:
        return (package / FILE).read_text().strip() or UNKNOWN
    except FileNotFoundError:
        return UNKNOWN
