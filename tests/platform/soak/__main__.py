"""Run soaks of several seeds and print a line for each."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import sys
import tempfile
import time
import typing

import click

from tests.platform.soak import endless_turns
from tests.platform.soak import growing as growing_module
from tests.platform.soak import mesh as mesh_module
from tests.platform.soak import power
from tests.platform.soak import scenario
from tests.platform.soak import stalls as stalls_module
from tests.platform.soak import stops as stops_module

_Soak = typing.Coroutine[typing.Any, typing.Any, scenario.Report]


@click.command()
@click.option("--seeds", default="", help="One seed, or FIRST-LAST.")
@click.option("--minutes", default=0.0, help="Fresh seeds for so long.")
@click.option("--seconds", default=20.0, help="Length of each soak.")
@click.option("--keep", default="", help="Folder for the daemons' logs.")
@click.option("--losses", default=0, help="Lose all power, so often, instead.")
@click.option("--stops", is_flag=True, help="Planned stops only.")
@click.option("--mesh", is_flag=True, help="A call graph with chains.")
@click.option("--growing", is_flag=True, help="Single stops, longer work.")
@click.option("--endless", is_flag=True, help="Bytes without end.")
@click.option("--stalls", is_flag=True, help="Daemons without processor.")
@click.option("--prompt", is_flag=True, help="None at the end of others.")
@click.option("--copies", default=1, help="Sets of six VMs.")
@click.option("--grace", default=0.0, help="0 draws it (--mesh, --growing).")
def main(
    seeds: str,
    minutes: float,
    seconds: float,
    keep: str,
    losses: int,
    stops: bool,
    mesh: bool,
    growing: bool,
    endless: bool,
    stalls: bool,
    prompt: bool,
    copies: int,
    grace: float,
) -> None:
    """Soak the daemons; exits with 1 if a promise was broken."""
    first, _, last = seeds.partition("-")
    chosen = list(range(int(first), int(last or first) + 1)) if first else []
    until = time.monotonic() + 60 * minutes
    bad = 0
    while chosen or time.monotonic() < until:
        seed = chosen.pop(0) if chosen else time.time_ns() % 1_000_000_007

        def soak(folder: pathlib.Path, seed: int = seed) -> _Soak:
            if losses:
                return power.run(seed, losses, folder, copies)
            if stalls:
                return stalls_module.run(seed, seconds, folder, copies, prompt)
            if growing:
                return growing_module.run(seed, seconds, folder, copies, grace)
            if mesh:
                return mesh_module.run(seed, seconds, folder, copies, grace)
            if endless:
                return endless_turns.run(seed, seconds, folder, copies, grace)
            if stops:
                return stops_module.run(seed, seconds, folder, copies)
            return scenario.run(seed, seconds, folder, copies)

        bad += _soak(seed, soak, keep)
    sys.exit(1 if bad else 0)


def _soak(
    seed: int, soak: typing.Callable[[pathlib.Path], _Soak], keep: str
) -> bool:
    """Run a soak; return whether it broke a promise.

    The folder with its logs stays in that case, or if all are to be kept.
    """
    folder = pathlib.Path(keep) / f"{seed}"
    if keep:
        folder.mkdir(parents=True, exist_ok=True)
    else:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        report = asyncio.run(soak(folder))
    except BaseException:
        click.echo(f"seed {seed} ended early, logs: {folder}")
        raise
    click.echo(
        f"seed {seed}: faults {len(report.faults)}, served {report.served},"
        f" refused {report.refused}, failed {report.failed},"
        f" broken {len(report.broken)}"
    )
    for line in report.broken[:10]:
        click.echo(f"  {line}")
    if report.broken or keep:
        click.echo(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    return bool(report.broken)


main()
