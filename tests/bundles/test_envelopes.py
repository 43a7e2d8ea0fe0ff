from __future__ import annotations

import copy
import functools
import json
import typing

import msgspec
from nacl import signing
import pytest

from sassafrasstair import bundles
from sassafrasstair.bundles import _signatures
from tests import odd_values

PRIVATE, PUBLIC = _signatures.new_key_pair()
OTHER_PRIVATE, OTHER_PUBLIC = _signatures.new_key_pair()
KEYS = {"ops-1": PUBLIC}

DOCUMENT: dict[str, typing.Any] = {
    "format": 1,
    "mesh": "m",
    "version": 2,
    "supersedes": 1,
    "failure_domains": {"a": "r"},
    "services": {
        "s": {"slots": 1, "connections": 1, "calls": ["t"]},
        "t": {"slots": 1, "connections": 1},
    },
    "classes": {"c": {"service": "s", "importance": 9, "deadline_ms": 900}},
    "tenants": {"x": {}},
}


def text(path: str = "", value: object = None) -> bytes:
    document = copy.deepcopy(DOCUMENT)
    if path:
        *sections, last = path.split("/")
        parent = functools.reduce(lambda at, key: at[key], sections, document)
        parent[last] = value
    return json.dumps(document).encode()


@pytest.mark.parametrize("field", [*DOCUMENT, "unknown"])
@pytest.mark.parametrize("name", odd_values.TEXTS)
def test_bundle_of_any_odd_value_is_refused(name: str, field: str) -> None:
    """Any other error would end the watch that has read the bundle."""
    document = json.dumps({**DOCUMENT, field: "#"}).encode()
    with pytest.raises(bundles.BundleError):
        bundles.decode(document.replace(b'"#"', odd_values.TEXTS[name]))


@pytest.mark.parametrize("field", ["payload", "approvals", "unknown"])
@pytest.mark.parametrize("name", odd_values.TEXTS)
def test_envelope_of_any_odd_value_is_refused(name: str, field: str) -> None:
    """It comes from another writer, and is decoded before it is verified."""
    envelope = json.loads(bundles.approve(text(), PRIVATE, "ops-1"))
    written = json.dumps({**envelope, field: "#"}).encode()
    with pytest.raises(bundles.BundleError):
        bundles.verify(written.replace(b'"#"', odd_values.TEXTS[name]), KEYS)


@pytest.mark.parametrize(
    ("path", "value", "reason", "detail"),
    [
        ("x", 1, "unknown_key", "x: unknown key, not one of format, mesh"),
        (
            "classes/c/deadline_s",
            1,
            "unknown_key",
            "classes.c.deadline_s: unknown key, did you mean deadline_ms?",
        ),
        (
            "classes/c/deadline_ms",
            "900ms",
            "bad_value",
            "classes.c.deadline_ms: wants int, not str",
        ),
        (
            "classes/c/importance",
            10,
            "bad_value",
            "classes.c.importance: wants int <= 9",
        ),
        ("tenants/X y", {}, "bad_value", "tenants: wants a name of a-z"),
        ("tenants/x", 3, "bad_value", "tenants.x: wants object, not int"),
        ("format", 2, "bad_value", "format: wants one of 1"),
        ("version", 1, "inconsistent", "version: wants more than supersedes"),
        # Daemons could not encode it for their peers: OverflowError.
        ("version", 2**64, "bad_value", "version: wants int <= "),
        # A mistyped version could never be superseded by version 3.
        ("version", 2_000, "inconsistent", "version: wants at most 1001,"),
        ("subset_size", 2**64, "bad_value", "subset_size: wants int <= 64"),
        (
            "classes/c/max_body_bytes",
            2**64,
            "bad_value",
            "classes.c.max_body_bytes: wants int <= ",
        ),
        ("tenants", {}, "inconsistent", "tenants: wants one entry at least"),
        ("rollout", ["b"], "inconsistent", "rollout: wants names from failur"),
        ("rollout", ["a", "a"], "inconsistent", "rollout: wants each failure"),
        (
            "services/t/calls",
            ["q"],
            "inconsistent",
            "services.t.calls: wants names from services, not q",
        ),
        (
            "services/t/calls",
            ["s"],
            "inconsistent",
            "services: wants no cycle of calls: ",
        ),
        (
            "classes/c/service",
            "q",
            "inconsistent",
            "classes.c.service: wants a name from services, not q",
        ),
        (
            "classes/c/refusal",
            {"queue_ms": 900},
            "inconsistent",
            "classes.c.refusal.queue_ms: wants less than 900",
        ),
        (
            "classes/c/refusal",
            {"retry_after_min_ms": 9_000},
            "inconsistent",
            "classes.c.refusal.retry_after_min_ms: wants at most 4000",
        ),
        (
            "classes/c",
            DOCUMENT["classes"]["c"] | {"once": True, "deadline_ms": 600_001},
            "inconsistent",
            "classes.c.deadline_ms: wants at most 600000",
        ),
    ],
)
def test_decode_refuses(
    path: str, value: object, reason: str, detail: str
) -> None:
    with pytest.raises(bundles.BundleError) as caught:
        bundles.decode(text(path, value))
    assert caught.value.reason is bundles.Defect(reason)
    assert caught.value.detail.startswith(detail)


def test_verify_returns_the_exact_text() -> None:
    payload = json.dumps(DOCUMENT, indent=3).encode()
    approved = bundles.verify(bundles.approve(payload, PRIVATE, "ops-1"), KEYS)
    assert approved.payload == payload
    assert approved.digest == bundles.digest(payload)
    assert approved.bundle == bundles.decode(payload)
    assert approved.approved_by == ("ops-1",)


def test_verify_while_keys_change() -> None:
    """Both keys sign while operators replace ops-1 by ops-2.

    Restarted daemons know only the new key, others only the old one. All of
    them must accept the bundle, or a key rotation would split the fleet.
    """
    payload = text()
    first = bundles.open_envelope(bundles.approve(payload, PRIVATE, "ops-1"))
    envelope = bundles.approve(
        payload, OTHER_PRIVATE, "ops-2", first.approvals
    )
    new = {"ops-2": OTHER_PUBLIC}
    assert bundles.verify(envelope, KEYS).approved_by == ("ops-1",)
    assert bundles.verify(envelope, new).approved_by == ("ops-2",)
    both = bundles.verify(envelope, KEYS | new).approved_by
    assert both == ("ops-1", "ops-2")


def forged(**changes: object) -> bytes:
    envelope = bundles.open_envelope(bundles.approve(text(), PRIVATE, "ops-1"))
    return msgspec.json.encode(msgspec.to_builtins(envelope) | changes)


@pytest.mark.parametrize(
    ("envelope", "reason"),
    [
        (b" " * 1_000_001, "too_large"),
        (b"", "not_json"),
        (forged(extra=1), "unknown_key"),
        (forged(payload=1), "bad_value"),
        (b'{"payload": "\\ud800"}', "not_json"),
        (forged(approvals=[]), "unsigned"),
        (bundles.approve(text(), PRIVATE, "ops-9"), "unknown_signer"),
        (bundles.approve(text(), OTHER_PRIVATE, "ops-1"), "bad_signature"),
        (forged(payload=text("version", 3).decode()), "bad_signature"),
        (
            forged(approvals=[{"key": "ops-1", "signature": "?"}]),
            "bad_signature",
        ),
        # The text is invalid JSON too, but unsigned text is not decoded.
        (forged(payload="{"), "bad_signature"),
    ],
)
def test_verify_refuses(envelope: bytes, reason: str) -> None:
    with pytest.raises(bundles.BundleError) as caught:
        bundles.verify(envelope, KEYS)
    assert caught.value.reason is bundles.Defect(reason)
    assert caught.value.detail


def test_signature_without_the_prefix_is_invalid() -> None:
    bare = signing.SigningKey(PRIVATE).sign(text()).signature
    assert not _signatures.is_valid(text(), bare, PUBLIC)
