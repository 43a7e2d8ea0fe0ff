"""The settings file: lines of ``key=value``; lists use commas."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import requests
from sassafrasstair import forwarding
from sassafrasstair.platform import _checks

if typing.TYPE_CHECKING:
    from collections import abc

METRICS_PORT = 9464
"""The port of the metrics in ``deploy/system.toml``."""
_ZONE_PREFIX = "zones."
_MEGABYTE = 1_000_000
NUMBER_MAX = 1e9
"""Far above any duration, size or ratio in the settings."""


def decode_settings(text: str) -> forwarding.Settings:
    """Return the settings; raises ``SettingsError`` naming the key."""
    values = _parse_lines(text)
    bounds = dict(
        part.split("=", 1)
        for part in values.get("bounds", "").split(",")
        if "=" in part
    )
    host = _required_text(values, "ip")
    control = values.get("listen.control", "")
    return forwarding.Settings(
        vm=_required_text(values, "node_id"),
        host=host,
        service=_required_text(values, "service"),
        failure_domain=_required_text(values, "zone"),
        regions={
            key.removeprefix(_ZONE_PREFIX): value
            for key, value in values.items()
            if key.startswith(_ZONE_PREFIX)
        },
        callers=_address(values, "listen.outbound"),
        daemons=_address(values, "listen.inbound"),
        operators=_address(values, "listen.readiness"),
        metrics=forwarding.Address(host, METRICS_PORT),
        seeding=_address(values, "listen.control") if control else None,
        seeds=tuple(
            _parse_address("seeds", part)
            for part in values.get("seeds", "").split(",")
            if part
        ),
        upstream=_address(values, "app_addr"),
        store=_address(values, "platform.address"),
        memory_bytes=int(
            _number(values, "limits.memory_mb", 300.0) * _MEGABYTE
        ),
        bounds=forwarding.Bounds(
            drain_seconds=_number(bounds, "drain_ms", 2000.0) / 1000,
            propagation_seconds=(
                _number(bounds, "propagation_ms", 2000.0) / 1000
            ),
            grace_seconds=_number(bounds, "grace_s", 6.0),
            budget=requests.BudgetRules(
                _number(bounds, "retry_budget_ratio", 0.2),
                _number(bounds, "budget_slack", 20.0),
                _number(bounds, "budget_window_s", 10.0),
            ),
            revocation_seconds=_revocation_seconds(bounds),
            quota=quotas.Rules(
                _number(bounds, "quota_window_s", 5.0),
                _number(bounds, "quota_over", 0.0),
                _number(bounds, "quota_slack", 0.0),
            ),
        ),
        places_by_objective=_switch(values, "placement.by_objective"),
        admits_by_cost=_switch(values, "admission.by_cost"),
        least_share=_share(
            values, "admission.least_share", admission.LEAST_SHARE
        ),
    )


def _switch(values: abc.Mapping[str, str], key: str) -> bool:
    """Return whether an option is on; it is off if it is left out."""
    value = values.get(key, "false")
    if value not in ("true", "false"):
        raise forwarding.SettingsError(f"{key}: not true or false: {value}")
    return value == "true"


def _share(values: abc.Mapping[str, str], key: str, default: float) -> float:
    """Return a number from 0 to 1."""
    share = _number(values, key, default)
    if share > 1.0:
        raise forwarding.SettingsError(f"{key}: not from 0 to 1: {share}")
    return share


def _revocation_seconds(bounds: abc.Mapping[str, str]) -> float | None:
    if bounds.get("revoke_strict", "") not in ("true", "True", "1"):
        return None
    return _number(bounds, "revoke_ms", 5000.0) / 1000


def _parse_lines(text: str) -> dict[str, str]:
    values = {}
    for line in text.splitlines():
        key, equals, value = line.strip().partition("=")
        if equals and not key.startswith("#"):
            values[key.strip()] = value.strip()
    return values


def _required_text(values: abc.Mapping[str, str], key: str) -> str:
    value = values.get(key, "")
    if not value:
        raise forwarding.SettingsError(f"{key}: is missing")
    return value


def _number(values: abc.Mapping[str, str], key: str, default: float) -> float:
    value = values.get(key, "")
    if not value:
        return default
    try:
        number = float(value)
    except ValueError as error:
        raise forwarding.SettingsError(f"{key}: not a number") from error
    if not 0.0 <= number <= NUMBER_MAX:
        raise forwarding.SettingsError(f"{key}: out of range: {value}")
    return number


def _address(values: abc.Mapping[str, str], key: str) -> forwarding.Address:
    return _parse_address(key, _required_text(values, key))


def _parse_address(key: str, value: str) -> forwarding.Address:
    host, _, port_text = value.rpartition(":")
    port = _checks.parse_port(port_text)
    if not host or port is None:
        raise forwarding.SettingsError(f"{key}: not IP:PORT: {value}")
    return forwarding.Address(host, port)
