"""The command ``sassafrasstaird``: the daemon of an upstream VM."""

from __future__ import annotations

import functools
import logging
import signal
import sys

import click
import uvloop

from sassafrasstair import clocks
from sassafrasstair import daemons
from sassafrasstair import logs
from sassafrasstair import loops
from sassafrasstair import runtime
from sassafrasstair import settings as settings_module

EXIT_BAD_INPUT = 2
EXIT_NOT_STARTED = 1
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_VERBOSE_LIBRARIES = ("httpx", "httpcore", "uvicorn")
"""Libraries that log each request or start at INFO. These lines are
suppressed, because they are not events of this daemon."""


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="The daemon's settings, a JSON file (docs/SETTINGS.md).",
)
@click.option(
    "--check", is_flag=True, help="Check the settings and exit with 0 or 2."
)
def main(path: str, check: bool) -> None:
    """Run the daemon of one upstream VM until SIGTERM.

    Exit codes: 0 after a planned stop, 1 when an address can't be bound,
    2 when the settings can't be used.
    """
    try:
        settings = settings_module.load(path)
    except settings_module.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_INPUT)
    if check:
        click.echo(f"{path}: ok")
        return
    logs.configure(settings.log.format, settings.log.level)
    for name in _VERBOSE_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
    try:
        uvloop.run(_run(settings))
    except OSError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_NOT_STARTED)


async def _run(settings: settings_module.Settings) -> None:
    await loops.confine_signals(_STOP_SIGNALS, daemons.start_threads)
    daemon = runtime.build(settings, clocks.SystemClock())
    note = functools.partial(runtime.note_stop, daemon)
    stop = functools.partial(runtime.stop, daemon)
    for signal_number in _STOP_SIGNALS:
        # A second signal has no effect: it must not abort running requests.
        loops.handle_signal(signal_number, note, stop)
    await runtime.run(daemon)
