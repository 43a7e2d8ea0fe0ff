from __future__ import annotations

import base64
import json
import typing

import pytest

from sassafrasstair import settings

if typing.TYPE_CHECKING:
    import pathlib

KEY = base64.b64encode(bytes(32)).decode()


def document(**changes: typing.Any) -> dict[str, typing.Any]:
    return {
        "vm": "vm-1",
        "service": "pricer",
        "failure_domain": "pos-a",
        "region": "tt-north",
        "callers": {"listen": "127.0.0.1:7001"},
        "peers": {"listen": "127.0.0.1:7002", "seeds": ["10.0.0.2:7002"]},
        "operators": {"listen": "127.0.0.1:7003"},
        "upstream": {"url": "http://127.0.0.1:8080"},
        "platform": {"urls": ["http://127.0.0.1:9000"]},
        "keys": [{"name": "ops-1", "public": KEY}],
    } | changes


def load(path: pathlib.Path, text: str) -> settings.Settings:
    path.write_text(text)
    return settings.load(path)


def test_load(tmp_path: pathlib.Path) -> None:
    loaded = load(tmp_path / "s.json", json.dumps(document()))
    assert loaded.peers.seeds == ("10.0.0.2:7002",)
    assert loaded.keys[0].raw == bytes(32)
    assert loaded.log == settings.Log("keyvalue", "info")


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"vmm": "x"}, "vmm: unknown key, did you mean vm?"),
        ({"log": {"zzz": 1}}, "log.zzz: unknown key, not one of format, le"),
        ({"vm": "VM 1"}, "vm: wants a name of a-z, 0-9 and -, 63 char"),
        ({"vm": "vm-1\n"}, "vm: wants a name of a-z"),
        ({"vm": 1}, "vm: wants str, not int"),
        ({"log": {"level": "loud"}}, "log.level: wants one of debug, info, w"),
        ({"callers": {}}, "callers.listen: missing, wants a string"),
        ({"callers": {"listen": "localhost:1"}}, "callers.listen: wants IP:P"),
        ({"callers": {"listen": "1.2.3.4:0"}}, "callers.listen: wants IP:POR"),
        ({"callers": {"listen": "::1:80"}}, "callers.listen: wants IP:PORT"),
        (
            {"peers": {"listen": "1.2.3.4:1", "seeds": ["1.2.3.4"]}},
            "peers.seeds: wants IP:PORT",
        ),
        (
            {"operators": {"listen": "127.0.0.1:7001"}},
            "operators: wants an address unlike callers' and peers'",
        ),
        ({"upstream": {"url": "https://1.2.3.4:1"}}, "upstream.url: wants ht"),
        ({"upstream": {"url": "http://1.2.3.4:1/x"}}, "upstream.url: wants h"),
        ({"platform": {"urls": []}}, "platform.urls: wants one URL at least"),
        ({"platform": {"urls": ["http://a:1"]}}, "platform.urls: wants http"),
        ({"keys": []}, "keys: wants one key at least"),
        (
            {"keys": [{"name": "a", "public": "AAAA"}]},
            "keys.0.public: wants base64 of 32 bytes",
        ),
        (
            {"keys": [{"name": "a", "public": KEY}] * 2},
            "keys: wants names that differ",
        ),
    ],
)
def test_load_rejects(
    tmp_path: pathlib.Path, changes: dict[str, typing.Any], message: str
) -> None:
    path = tmp_path / "s.json"
    with pytest.raises(settings.SettingsError) as error:
        load(path, json.dumps(document(**changes)))
    assert str(error.value).startswith(f"{path}: {message}")
    assert "\n" not in str(error.value)


@pytest.mark.parametrize("text", ["", "{", '{"vm":', "[" * 50_000, "\udcff"])
def test_load_rejects_invalid_json(tmp_path: pathlib.Path, text: str) -> None:
    path = tmp_path / "s.json"
    path.write_bytes(text.encode("utf-8", "surrogateescape"))
    with pytest.raises(settings.SettingsError, match="document: wants"):
        settings.load(path)


def test_load_reports_a_missing_file(tmp_path: pathlib.Path) -> None:
    with pytest.raises(settings.SettingsError, match="wants a readable"):
        settings.load(tmp_path / "none.json")


@pytest.mark.parametrize(
    ("address", "pair"),
    [
        ("10.0.0.1:80", ("10.0.0.1", 80)),
        ("[::1]:65535", ("::1", 65_535)),
    ],
)
def test_parse_address(address: str, pair: tuple[str, int]) -> None:
    assert settings.parse_address(address) == pair
