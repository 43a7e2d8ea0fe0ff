"""The command ``sassafras-standin platform``."""

from __future__ import annotations

import click
import uvloop

from sassafrasstair import standins


@click.command()
@click.option("--listen", required=True, metavar="IP:PORT")
@click.option("--control", required=True, metavar="IP:PORT")
def platform(listen: str, control: str) -> None:
    """Serve a stand-in for the configuration service and the VM list."""
    uvloop.run(standins.run_platform(listen, control))
