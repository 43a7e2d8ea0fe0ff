"""The command ``sassafrasstair-forwarder``: a daemon on the users' platform.

It imports only what the daemon uses: each VM has one, and its memory and
its start are paid for.
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
_STDOUT = 1
_SEED_BYTES = 4
_COLLECT_AFTER = 50_000
"""Allocations between two collections: the default of 700 runs them for
each few requests, and hardly anything here is cyclic."""


@click.command()
@click.option(
    "--check", is_flag=True, help="Check the settings and stop: 0 or 2."
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
        gc.set_threshold(_COLLECT_AFTER, 20, 100)
        seed = int.from_bytes(os.urandom(_SEED_BYTES), "big")
        uvloop.run(
            forwarding.run(
                dialect,
                clocks.BootTimeClock(),
                forwarding.descriptor_sink(_STDOUT),
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
