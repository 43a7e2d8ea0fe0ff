from __future__ import annotations

import json
import typing

import pytest

from sassafrasstair import configservice

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
        {"address": "127.0.0.1:70000"},
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


def test_truncated_list_is_refused() -> None:
    with pytest.raises(configservice.PlatformError):
        configservice.decode_vms(json.dumps([GOOD]).encode()[:-3])
