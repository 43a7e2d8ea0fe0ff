"""Decoding of the platform's settings file."""

from __future__ import annotations

import pytest

from sassafrasstair import forwarding
from sassafrasstair import platform
from sassafrasstair.platform import _settings

TEXT = """\
node_id=sidecar-a-1
zone=a
region=r1
zones.a=r1
zones.b=r2
ip=10.0.0.1
listen.inbound=10.0.0.1:8300
listen.outbound=10.0.0.1:8304
listen.readiness=10.0.0.1:8302
seeds=10.0.0.2:8310,10.0.0.3:8310
limits.memory_mb=300
bounds=drain_ms=2500,grace_s=6,retry_budget_ratio=0.2,budget_slack=48
app_addr=10.0.0.1:8301
service=huvo
platform.address=10.9.0.1:8309
a.field.of.tomorrow=1
"""


def test_fields_are_decoded() -> None:
    settings = _settings.decode_settings(TEXT)
    assert settings.vm == "sidecar-a-1"
    assert settings.regions == {"a": "r1", "b": "r2"}
    assert settings.callers == forwarding.Address("10.0.0.1", 8304)
    assert settings.upstream.port == 8301
    assert [seed.host for seed in settings.seeds] == ["10.0.0.2", "10.0.0.3"]
    assert settings.seeding is None
    assert settings.memory_bytes == 300_000_000
    assert settings.bounds.drain_seconds == 2.5
    assert settings.bounds.propagation_seconds == 2.0
    assert settings.bounds.budget.slack == 48.0


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("service=huvo", "", "service"),
        ("app_addr=10.0.0.1:8301", "app_addr=10.0.0.1", "app_addr"),
        ("platform.address=10.9.0.1:8309", "", "platform.address"),
        ("memory_mb=300", "memory_mb=lots", "limits.memory_mb"),
        ("drain_ms=2500", "drain_ms=soon", "drain_ms"),
        ("drain_ms=2500", "drain_ms=-1", "drain_ms"),
        ("drain_ms=2500", "drain_ms=nan", "drain_ms"),
        ("drain_ms=2500", "propagation_ms=soon", "propagation_ms"),
        ("memory_mb=300", "memory_mb=inf", "limits.memory_mb"),
        ("10.0.0.3:8310", "10.0.0.3:99999", "seeds"),
        ("10.0.0.1:8301", "10.0.0.1:0", "app_addr"),
        ("10.0.0.3:8310", "10.0.0.3:x", "seeds"),
        ("a.field.of", "admission.least_share=1.1\na.field.of", "least_share"),
        ("a.field.of", "admission.least_share=some\na.f", "least_share"),
        ("a.field.of", "admission.by_cost=yes\na.field.of", "by_cost"),
        ("a.field.of", "placement.by_objective=1\na.f", "by_objective"),
    ],
)
def test_error_names_the_invalid_key(old: str, new: str, key: str) -> None:
    with pytest.raises(forwarding.SettingsError, match=key):
        _settings.decode_settings(TEXT.replace(old, new))


@pytest.mark.parametrize(
    ("line", "least_share"),
    [("", 0.3), ("admission.least_share=0.1\n", 0.1)],
)
def test_least_share_may_be_set(line: str, least_share: float) -> None:
    settings = _settings.decode_settings(line + TEXT)
    assert settings.least_share == least_share


@pytest.mark.parametrize(
    ("line", "by_cost", "by_objective"),
    [
        ("", False, False),
        ("admission.by_cost=true\n", True, False),
        ("placement.by_objective=true\n", False, True),
        ("admission.by_cost=false\n", False, False),
    ],
)
def test_options_are_off_unless_they_are_set(
    line: str, by_cost: bool, by_objective: bool
) -> None:
    """Guards against daemons that decide otherwise without being told to."""
    settings = _settings.decode_settings(line + TEXT)
    assert settings.admits_by_cost is by_cost
    assert settings.places_by_objective is by_objective


def test_error_names_the_missing_file() -> None:
    dialect = platform.open_dialect({"SASSAFRASSTAIR_BOOT": "/none/boot"})
    with pytest.raises(forwarding.SettingsError, match="/none/boot"):
        dialect.settings()
