from __future__ import annotations

import pathlib

import pytest

from sassafrasstair import bundles
from sassafrasstair import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "regions", "slots", "shed_last", "once"),
    [
        (
            "trust",
            {"tt-north"},
            {"pricer": 160, "poster": 160, "intake": 160, "ledger": 20},
            {"valuation-lookup", "ledger-lookup"},
            {"write-down", "ledger-entry"},
        ),
        (
            "swanfield",
            {"wa-perth"},
            {
                "certdesk": 120,
                "bindery": 120,
                "surveyhold": 120,
                "quoteline": 35,
            },
            {"rate-lookup", "cover-binding"},
            {"cover-binding"},
        ),
    ],
)
def test_example_bundle(
    name: str,
    regions: set[str],
    slots: dict[str, int],
    shed_last: set[str],
    once: set[str],
) -> None:
    text = (EXAMPLES / f"{name}.bundle.json").read_bytes()
    bundle = bundles.decode(text)
    classes = bundle.classes.items()
    top = {name for name, rules in classes if rules.importance == 9}
    assert len(bundle.failure_domains) == 4
    assert set(bundle.failure_domains.values()) == regions
    assert {k: v.slots for k, v in bundle.services.items()} == slots
    assert top == shed_last
    assert {name for name, rules in classes if rules.once} == once


def test_example_settings() -> None:
    loaded = settings.load(EXAMPLES / "daemon.settings.json")
    assert loaded.service == "pricer"
