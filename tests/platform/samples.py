"""Sample items of the store, and the values decoded from them."""

from __future__ import annotations

import base64
import json

from sassafrasstair.decisions import views

ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.0.0.5:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup_ms": 1500,
    "seq": 4,
}
REGIONS = {"a": "r1"}
INSTANCE = views.Instance(
    "i-1",
    "s",
    "10.0.0.5",
    80,
    5,
    "a",
    "r1",
    8,
    views.InstanceState.READY,
    1.5,
)
"""``ENTRY`` decoded with the id ``i-1``, first written at revision 5."""
ROUTE: dict[str, object] = {
    "host": "h",
    "prefix": "/a/",
    "type": "safe",
    "timeout_ms": 800,
    "target_latency_ms": 300,
    "priority": 0,
    "service": "s",
    "max_attempts": 2,
}


def encoded(value: object) -> str:
    """Return a value as JSON in base64, as an item holds it."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def item(key: str, value: object, revision: int = 6) -> dict[str, object]:
    """Return an item that was first written at revision 5."""
    return {
        "key": key,
        "value": encoded(value),
        "revision": revision,
        "created": 5,
        "lease": 0,
    }
