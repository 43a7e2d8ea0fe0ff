from __future__ import annotations

import json
import typing

import pytest

from sassafrasstair import configservice
from tests import odd_values

GOOD = {
    "vm": "ledger-1",
    "service": "ledger",
    "failure_domain": "pos-a",
    "region": "tt-north",
    "address": "127.0.0.1:7000",
    "state": "live",
}


def test_list_is_decoded() -> None:
    (entry,) = configservice.decode_vms(json.dumps([GOOD]).encode())
    assert entry == configservice.VmEntry(**typing.cast("typing.Any", GOOD))


@pytest.mark.parametrize(
    "change",
    [
        {"vm": ""},
        {"state": "dead"},
        {"address": "ledger-1:7000"},
        {"address": "127.0.0.1"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:-1"},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:" + 400 * "9"},
        {"address": "127.0.0.1:"},
        {"rack": "7"},
        {"vm": "ledger-0"},
    ],
)
def test_one_bad_entry_refuses_the_whole_list(
    change: dict[str, str],
) -> None:
    entries = [{**GOOD, "vm": "ledger-0"}, {**GOOD, **change}]
    with pytest.raises(configservice.PlatformError) as caught:
        configservice.decode_vms(json.dumps(entries).encode())
    assert caught.value.reason is configservice.Reason.MALFORMED


@pytest.mark.parametrize("field", [*GOOD, "unknown"])
@pytest.mark.parametrize("name", odd_values.TEXTS)
def test_entry_of_any_odd_value_refuses_the_list(
    name: str, field: str
) -> None:
    """Any other error would end the watch that has read the list."""
    entry = json.dumps({**GOOD, field: "#"}).encode()
    raw = b"[%s]" % entry.replace(b'"#"', odd_values.TEXTS[name])
    with pytest.raises(configservice.PlatformError) as caught:
        configservice.decode_vms(raw)
    assert caught.value.reason is configservice.Reason.MALFORMED


def test_truncated_list_is_refused() -> None:
    with pytest.raises(configservice.PlatformError):
        configservice.decode_vms(json.dumps([GOOD]).encode()[:-3])
