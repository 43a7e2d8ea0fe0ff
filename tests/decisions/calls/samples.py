from __future__ import annotations

from sassafrasstair import bundles
from sassafrasstair.decisions import calls

TARGETS = [
    calls.Target(f"vm-{name}", "intake", f"domain-{name}", "region")
    for name in "abc"
]


def bundle(once: bool = False, retries: int = 2) -> bundles.Bundle:
    services = {
        "intake": bundles.Service(slots=4, connections=8, calls=("ledger",)),
        "ledger": bundles.Service(slots=4, connections=8),
    }
    rules = bundles.RequestClass(
        service="intake",
        importance=5,
        deadline_ms=1_000,
        once=once,
        retries=retries,
        caller_repeats=1,
    )
    return bundles.Bundle(
        format=1,
        mesh="mesh",
        version=1,
        supersedes=0,
        failure_domains={"domain-a": "region"},
        services=services,
        classes={"lookup": rules},
        tenants={},
    )


def call(retries: int = 2, repeat: int = 0) -> calls.Call:
    return calls.Call(
        "call", "intake", "lookup", "main", "me", 1.0, repeat, retries
    )
