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

_HEAD = (
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
_BLOCKED = "blocked"
_DIGEST_SHOWN = 8


@click.command("status")
@click.argument("addresses", nargs=-1, required=True, metavar="IP:PORT...")
@click.option("--json", "as_json", is_flag=True, help="One object a daemon.")
@click.option(
    "--timeout",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.01, 60.0),
    help="Seconds for each daemon.",
)
@click.option(
    "--expect",
    type=click.IntRange(1),
    metavar="VERSION",
    help="Find daemons with another version in force.",
)
@click.pass_context
def status(
    context: click.Context,
    addresses: tuple[str, ...],
    as_json: bool,
    timeout: float,
    expect: int | None,
) -> None:
    """Show what daemons have in force, their members, limits and load.

    IP:PORT is a daemon's interface for operators. Of a forwarder, whom it
    follows and which requests it holds back, since they crashed instances
    (each with how many seconds ago). Exit 1 if a daemon does
    not serve, refused a bundle, saw two bundles of one version, or has
    another bundle in force than the others of its failure domain; exit 3
    if one cannot be reached.
    """
    _check(addresses)
    readings = asyncio.run(_daemons.read_all(addresses, timeout))
    if as_json:
        click.echo("\n".join(map(_files.as_json, readings)))
    else:
        click.echo(_text(readings))
    findings = _findings(readings, expect)
    for line in findings:
        click.echo(line, err=True)
    context.exit(_code(readings, findings))


def _check(addresses: abc.Iterable[str]) -> None:
    for address in addresses:
        try:
            settings.parse_address(address)
        except ValueError as error:
            raise _errors.BadInputError(str(error)) from error


def _code(
    readings: abc.Iterable[_daemons.Reading], findings: list[str]
) -> int:
    if any(isinstance(one, _daemons.Unreachable) for one in readings):
        return _errors.UNREACHABLE
    return _errors.FINDING if findings else 0


def _text(readings: abc.Iterable[_daemons.Reading]) -> str:
    seen = list(readings)
    rows = [_row(one) for one in seen if isinstance(one, operators.Status)]
    forwarders = [one for one in seen if isinstance(one, _daemons.Forwarder)]
    suspects = [row for one in forwarders for row in _suspect_rows(one)]
    parts = []
    if rows or not forwarders:
        parts.append(_tables.table(_HEAD, rows))
    if forwarders:
        told = map(_forwarder_row, forwarders)
        parts.append(_tables.table(_FORWARDER_HEAD, told))
    customers = [row for one in forwarders for row in _customer_rows(one)]
    if customers:
        parts.append(_tables.table(_CUSTOMER_HEAD, customers))
    if suspects:
        parts.append(_tables.table(_SUSPECT_HEAD, suspects))
    return "\n\n".join(parts)


def _forwarder_row(one: _daemons.Forwarder) -> tuple[object, ...]:
    blocked = sum(each.standing == _BLOCKED for each in one.suspects)
    return (
        one.address,
        one.feed.parent,
        one.feed.view_age,
        one.feed.policy,
        len(one.suspects) - blocked,
        blocked,
    )


def _suspect_rows(
    one: _daemons.Forwarder,
) -> abc.Iterator[tuple[object, ...]]:
    for each in one.suspects:
        crashed = ",".join(
            f"{crash.instance}:{crash.age:.0f}" for crash in each.crashes
        )
        yield (
            one.address,
            each.fingerprint,
            each.standing,
            each.strikes,
            each.blocked_for,
            crashed,
        )


def _customer_rows(
    one: _daemons.Forwarder,
) -> abc.Iterator[tuple[object, ...]]:
    """Yield the customers of which the daemon has requests or a share."""
    for each in () if one.quotas is None else one.quotas.customers:
        if each.demand or each.share is not None:
            yield (
                one.address,
                each.customer,
                each.rate,
                each.demand,
                each.tokens,
                "-" if each.share is None else each.share,
            )


def _row(one: operators.Status) -> tuple[object, ...]:
    in_force = one.in_force.bundle
    return (
        one.vm,
        one.service,
        one.failure_domain,
        one.state.value,
        in_force.version,
        in_force.digest[:_DIGEST_SHOWN] or "-",
        one.members,
        one.instance.limit,
        one.instance.running,
        one.instance.waiting,
        one.instance.shed_floor,
        one.entrance.in_flight,
        one.counters.get("retries", 0),
        one.counters.get("refusals", 0),
    )


def _findings(
    readings: abc.Iterable[_daemons.Reading], expect: int | None
) -> list[str]:
    lines: list[str] = []
    seen: list[operators.Status] = []
    for one in readings:
        if isinstance(one, _daemons.Unreachable):
            lines.append(f"{one.address}: unreachable: {one.error}")
        elif isinstance(one, operators.Status):
            seen.append(one)
            lines += [f"{one.vm}: {text}" for text in _of_one(one, expect)]
    return lines + _disagreements(seen)


def _of_one(one: operators.Status, expect: int | None) -> abc.Iterator[str]:
    version = one.in_force.bundle.version
    if one.state is not operators.State.SERVING:
        yield one.state.value
    if expect is not None and version != expect:
        yield f"version {version} in force, not {expect}"
    for refused in one.refused_bundles:
        source = f" from {refused.source}" if refused.source else ""
        why = ": ".join(filter(None, (refused.reason, refused.detail)))
        yield f"refused a bundle{source}: {why}"
    for conflict in one.conflicts:
        kept = f"kept {conflict.kept}, " if conflict.kept else ""
        yield (
            f"two bundles of version {conflict.version}: "
            f"{kept}dropped {conflict.dropped}"
        )


def _disagreements(seen: abc.Iterable[operators.Status]) -> list[str]:
    """Compare daemons of one failure domain only.

    A rollout gives different failure domains different bundles on purpose.
    """
    domains: dict[str, set[tuple[int, str]]] = collections.defaultdict(set)
    for one in seen:
        in_force = one.in_force.bundle
        digest = in_force.digest[:_DIGEST_SHOWN]
        domains[one.failure_domain].add((in_force.version, digest))
    return [
        f"{domain}: bundles in force differ: "
        + ", ".join(f"{version} {digest}" for version, digest in sorted(ids))
        for domain, ids in sorted(domains.items())
        if len(ids) > 1
    ]
