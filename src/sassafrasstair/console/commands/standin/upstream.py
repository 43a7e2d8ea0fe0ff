"""The command ``sassafras-standin upstream``."""

from __future__ import annotations

import click
import uvloop

from sassafrasstair import standins


@click.command()
@click.option("--listen", required=True, metavar="IP:PORT")
@click.option("--service", required=True, metavar="NAME")
@click.option("--slots", required=True, type=click.IntRange(min=1))
@click.option("--service-ms", required=True, type=float, help="Mean.")
@click.option(
    "--daemon", default="", metavar="URL", help="Daemon of the same VM."
)
@click.option(
    "--calls",
    multiple=True,
    metavar="SERVICE",
    help="Service to call before the upstream's own work; repeatable.",
)
@click.option(
    "--direct",
    multiple=True,
    metavar="SERVICE=URL",
    help="Upstream of a called service, if there is no daemon.",
)
@click.option(
    "--cold-ms", default=0, help="Length of the slow phase after the start."
)
@click.option("--health-lag-ms", default=0, help="Age of the reported load.")
@click.option(
    "--health-says", default="", help="Fixed health state to report."
)
@click.option(
    "--rate-limit",
    default=None,
    type=click.FloatRange(min=0.0),
    help="Requests per second that its answers say it takes.",
)
def upstream(
    listen: str,
    service: str,
    slots: int,
    service_ms: float,
    daemon: str,
    calls: tuple[str, ...],
    direct: tuple[str, ...],
    cold_ms: int,
    health_lag_ms: int,
    health_says: str,
    rate_limit: float | None,
) -> None:
    """Serve a stand-in upstream.

    SIGTERM drains it, which its answers say from then on; before it exits,
    it prints the executed work as JSON.
    """
    pairs = [tuple(item.split("=", 1)) for item in direct]
    if not daemon and not set(calls) <= {pair[0] for pair in pairs}:
        raise click.UsageError("--calls needs --daemon or --direct")
    rules = standins.Rules(
        slots,
        service_ms / 1000,
        cold_ms / 1000,
        health_lag_ms / 1000,
        health_says,
        rate_limit,
    )
    state = standins.new_upstream(
        service, rules, calls, daemon, [(name, url) for name, url in pairs]
    )
    uvloop.run(standins.run_upstream(state, listen))
