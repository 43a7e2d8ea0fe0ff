"""Errors and exit codes of the ``sassafras`` client.

0: success, nothing to report. 1: success, with a finding. 2: bad input.
3: a daemon could not be reached. ``click`` uses 2 for its own usage errors.
"""

from __future__ import annotations

import click

FINDING = 1
BAD_INPUT = 2
UNREACHABLE = 3


class BadInputError(click.ClickException):
    """A file, key or address that cannot be used."""

    exit_code = BAD_INPUT
