"""The command ``sassafrasstair-forwarder``: a daemon on the users' platform.

This module imports only what the daemon uses: the daemon runs on every VM,
so its memory and start time count.
"""

from __future__ import annotations

import gc
import os
import sys

import click
import uvloop

from sassafrasstair import clocks
from sassafrasstair import forwarding
from sassafrasstair import platform

EXIT_BAD_INPUT = 2
EXIT_NOT_STARTED = 1
_STDOUT_DESCRIPTOR = 1
_SEED_BYTES = 4
_GC_THRESHOLD = 50_000
"""Allocations between two garbage collections. The default of 700 collects
every few requests, although the daemon creates hardly any cycles."""


@click.command()
@click.option(
    "--check", is_flag=True, help="Check the settings and exit with 0 or 2."
)
def main(check: bool) -> None:
    """Run the daemon of one VM until SIGTERM.

    Exit codes: 0 after a planned stop, 1 when an address can't be bound,
    2 when the settings can't be used.
    """
    dialect = platform.open_dialect(os.environ)
    try:
        if check:
            settings = dialect.settings()
            click.echo(f"{settings.vm}: ok")
            return
        gc.freeze()
        gc.set_threshold(_GC_THRESHOLD, 20, 100)
        seed = int.from_bytes(os.urandom(_SEED_BYTES), "big")
        uvloop.run(
            forwarding.run(
                dialect,
                clocks.BootTimeClock(),
                forwarding.descriptor_sink(_STDOUT_DESCRIPTOR),
                seed,
            )
        )
    except forwarding.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_INPUT)
    except OSError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_NOT_STARTED)


if __name__ == "__main__":
    main()
