"""The command ``sassafras status``."""

from __future__ import annotations

import asyncio
import collections
import typing

import click

from sassafrasstair.console import _daemons
from sassafrasstair.console import _errors
from sassafrasstair.console import _files
from sassafrasstair.console import _tables
from sassafrasstair import operators
from sassafrasstair import settings

if typing.TYPE_CHECKING:
    from collections import abc

_DAEMON_HEAD = (
    "VM",
    "SERVICE",
    "DOMAIN",
    "STATE",
    "VERSION",
    "DIGEST",
    "MEMBERS",
    "LIMIT",
    "RUNNING",
    "WAITING",
    "FLOOR",
    "IN FLIGHT",
    "RETRIES",
    "REFUSALS",
)
_FORWARDER_HEAD = (
    "ADDRESS",
    "FOLLOWS",
    "VIEW AGE",
    "POLICY",
    "SUSPECTED",
    "BLOCKED",
)
_SUSPECT_HEAD = (
    "ADDRESS",
    "REQUEST",
    "STANDING",
    "STRIKES",
    "BLOCKED FOR",
    "CRASHED",
)
_CUSTOMER_HEAD = (
    "ADDRESS",
    "CUSTOMER",
    "LIMIT",
    "DEMAND",
    "TOKENS",
    "SHARE",
)
_BLOCKED_STANDING = "blocked"
_DIGEST_LENGTH = 8


@click.command("status")
@click.argument("addresses", nargs=-1, required=True, metavar="IP:PORT...")
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object per daemon."
)
@click.option(
    "--timeout",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.01, 60.0),
    help="Timeout per daemon in seconds.",
)
@click.option(
    "--expect",
    type=click.IntRange(1),
    metavar="VERSION",
    help="Report daemons with a different version in force.",
)
@click.pass_context
def status(
    context: click.Context,
    addresses: tuple[str, ...],
    as_json: bool,
    timeout: float,
    expect: int | None,
) -> None:
    """Show the bundle, members, limits and load of daemons.

    IP:PORT is a daemon's interface for operators. For a forwarder, show
    the source of its configuration, its customers' quotas, and the requests
    it suspects or blocks because they crashed instances (with the seconds
    since each crash).

    Exits 1 if a daemon is not serving, refused a bundle, saw two bundles of
    one version, or has a different bundle in force than the others of its
    failure domain; exits 3 if a daemon cannot be reached.
    """
    _check_addresses(addresses)
    readings = asyncio.run(_daemons.read_all(addresses, timeout))
    if as_json:
        click.echo("\n".join(map(_files.as_json, readings)))
    else:
        click.echo(_format_readings(readings))
    findings = _findings(readings, expect)
    for line in findings:
        click.echo(line, err=True)
    context.exit(_exit_code(readings, findings))


def _check_addresses(addresses: abc.Iterable[str]) -> None:
    for address in addresses:
        try:
            settings.parse_address(address)
        except ValueError as error:
            raise _errors.BadInputError(str(error)) from error


def _exit_code(
    readings: abc.Iterable[_daemons.Reading], findings: list[str]
) -> int:
    if any(isinstance(one, _daemons.Unreachable) for one in readings):
        return _errors.UNREACHABLE
    return _errors.FINDING if findings else 0


def _format_readings(readings: abc.Iterable[_daemons.Reading]) -> str:
    listed = list(readings)
    rows = [
        _daemon_row(one) for one in listed if isinstance(one, operators.Status)
    ]
    forwarders = [one for one in listed if isinstance(one, _daemons.Forwarder)]
    suspects = [row for one in forwarders for row in _suspect_rows(one)]
    parts = []
    if rows or not forwarders:
        parts.append(_tables.format_table(_DAEMON_HEAD, rows))
    if forwarders:
        forwarder_rows = map(_forwarder_row, forwarders)
        parts.append(_tables.format_table(_FORWARDER_HEAD, forwarder_rows))
    customers = [row for one in forwarders for row in _customer_rows(one)]
    if customers:
        parts.append(_tables.format_table(_CUSTOMER_HEAD, customers))
    if suspects:
        parts.append(_tables.format_table(_SUSPECT_HEAD, suspects))
    return "\n\n".join(parts)


def _forwarder_row(forwarder: _daemons.Forwarder) -> tuple[object, ...]:
    blocked_count = sum(
        each.standing == _BLOCKED_STANDING for each in forwarder.suspects
    )
    return (
        forwarder.address,
        forwarder.feed.parent,
        forwarder.feed.view_age,
        forwarder.feed.policy,
        len(forwarder.suspects) - blocked_count,
        blocked_count,
    )


def _suspect_rows(
    forwarder: _daemons.Forwarder,
) -> abc.Iterator[tuple[object, ...]]:
    for suspect in forwarder.suspects:
        crashed = ",".join(
            f"{crash.instance}:{crash.age:.0f}" for crash in suspect.crashes
        )
        yield (
            forwarder.address,
            suspect.fingerprint,
            suspect.standing,
            suspect.strikes,
            suspect.blocked_for,
            crashed,
        )


def _customer_rows(
    forwarder: _daemons.Forwarder,
) -> abc.Iterator[tuple[object, ...]]:
    """Yield a row for each customer with demand or a share of the quota."""
    for customer in (
        () if forwarder.quotas is None else forwarder.quotas.customers
    ):
        if customer.demand or customer.share is not None:
            yield (
                forwarder.address,
                customer.customer,
                customer.rate,
                customer.demand,
                customer.tokens,
                "-" if customer.share is None else customer.share,
            )


def _daemon_row(status: operators.Status) -> tuple[object, ...]:
    in_force = status.in_force.bundle
    return (
        status.vm,
        status.service,
        status.failure_domain,
        status.state.value,
        in_force.version,
        in_force.digest[:_DIGEST_LENGTH] or "-",
        status.members,
        status.instance.limit,
        status.instance.running,
        status.instance.waiting,
        status.instance.shed_floor,
        status.entrance.in_flight,
        status.counters.get("retries", 0),
        status.counters.get("refusals", 0),
    )


def _findings(
    readings: abc.Iterable[_daemons.Reading], expect: int | None
) -> list[str]:
    lines: list[str] = []
    statuses: list[operators.Status] = []
    for reading in readings:
        if isinstance(reading, _daemons.Unreachable):
            lines.append(f"{reading.address}: unreachable: {reading.error}")
        elif isinstance(reading, operators.Status):
            statuses.append(reading)
            lines += [
                f"{reading.vm}: {text}"
                for text in _daemon_findings(reading, expect)
            ]
    return lines + _bundle_differences(statuses)


def _daemon_findings(
    status: operators.Status, expect: int | None
) -> abc.Iterator[str]:
    version = status.in_force.bundle.version
    if status.state is not operators.State.SERVING:
        yield status.state.value
    if expect is not None and version != expect:
        yield f"version {version} in force, not {expect}"
    for refused in status.refused_bundles:
        source = f" from {refused.source}" if refused.source else ""
        why = ": ".join(filter(None, (refused.reason, refused.detail)))
        yield f"refused a bundle{source}: {why}"
    for conflict in status.conflicts:
        kept = f"kept {conflict.kept}, " if conflict.kept else ""
        yield (
            f"two bundles of version {conflict.version}: "
            f"{kept}dropped {conflict.dropped}"
        )


def _bundle_differences(statuses: abc.Iterable[operators.Status]) -> list[str]:
    """Report failure domains whose daemons have different bundles in force.

    Bundles of different failure domains are not compared, because a rollout
    deliberately gives different failure domains different bundles.
    """
    domains: dict[str, set[tuple[int, str]]] = collections.defaultdict(set)
    for status in statuses:
        in_force = status.in_force.bundle
        digest = in_force.digest[:_DIGEST_LENGTH]
        domains[status.failure_domain].add((in_force.version, digest))
    return [
        f"{domain}: bundles in force differ: "
        + ", ".join(f"{version} {digest}" for version, digest in sorted(ids))
        for domain, ids in sorted(domains.items())
        if len(ids) > 1
    ]
