"""The command ``sassafras-bench hop``: latency that two daemons add."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import click

from sassafrasstair.bench import _hop


@click.command()
@click.option("--direct", required=True, help="URL of the upstream.")
@click.option("--through", required=True, help="URL of the entrance daemon.")
@click.option("--class", "request_class", required=True)
@click.option(
    "--pid",
    "pids",
    type=int,
    multiple=True,
    help="PID of a daemon to measure.",
)
@click.option("--rate", default=160.0, show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--rounds", default=5, show_default=True)
def hop(
    direct: str,
    through: str,
    request_class: str,
    pids: tuple[int, ...],
    rate: float,
    seconds: float,
    rounds: int,
) -> None:
    """Measure the latency that daemons add; JSON on the last line.

    Start the processes first, for example with examples/hop.sh.
    """
    headers = {
        "Sassafras-Class": request_class,
        "Sassafras-Caller": "bench",
    }
    plan = _hop.Plan(direct, through, headers, pids, rate, seconds, rounds)
    measured_rounds = asyncio.run(_hop.measure(plan))
    figures = {
        "direct_p50_ms": [one.direct_p50 for one in measured_rounds],
        "direct_p99_ms": [one.direct_p99 for one in measured_rounds],
        "added_p50_ms": [one.added_p50 for one in measured_rounds],
        "added_p99_ms": [one.added_p99 for one in measured_rounds],
        "ratio_p50": [
            one.through_p50 / one.direct_p50 for one in measured_rounds
        ],
    }
    for number, pid in enumerate(pids):
        figures[f"cpu_ms_per_call_{number}"] = [
            one.cpu[number] for one in measured_rounds
        ]
        figures[f"resident_mb_{number}"] = [
            _hop.resident_kilobytes(pid) / 1000
        ]
    _print_figures(figures, sum(one.failed for one in measured_rounds), plan)


def _print_figures(
    figures: dict[str, list[float]], failed: int, plan: _hop.Plan
) -> None:
    click.echo(f"{'figure':24}{'median':>10}{'least':>10}{'greatest':>10}")
    result: dict[str, object] = {
        "rate": plan.rate,
        "rounds": plan.rounds,
        "failed": failed,
    }
    for name, values in figures.items():
        spread = _hop.spread(values)
        click.echo(
            f"{name:24}{spread.median:10.3f}"
            f"{spread.least:10.3f}{spread.greatest:10.3f}"
        )
        result[name] = {
            key: round(value, 4)
            for key, value in dataclasses.asdict(spread).items()
        }
    click.echo(json.dumps(result))
