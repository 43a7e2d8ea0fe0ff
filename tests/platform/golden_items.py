"""Items of the platform's store, as another program has written them."""

from __future__ import annotations

import base64
import json

CONFIG: dict[str, object] = {
    "version": "r3",
    "routes": {
        "r": {
            "host": "h",
            "prefix": "/a/",
            "type": "safe",
            "timeout_ms": 2000,
            "priority": 2,
            "target_latency_ms": 500,
            "max_attempts": 2,
            "traffic_split": [{"service": "s", "weight": 0.75}],
            "allow_anonymous": True,
        }
    },
    "limits": {
        "max_header_bytes": 1000,
        "max_body_bytes": 2000,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 30000,
    },
    "services": {"t": {}},
    "tenants": {
        "c": {
            "api_keys": ["key"],
            "rate_per_s": 10,
            "burst": 5,
            "priority": 1,
        }
    },
}
_ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.0.0.5:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "warmup_ms": 1500,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def _item(key: str, value: object, **more: object) -> dict[str, object]:
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "value": text, "revision": 6, "created": 5, **more}


ITEMS = [
    _item("op/config", CONFIG),
    _item("servers/i-1", _ENTRY),
    _item("servers/i-2", _ENTRY, removed=True),
    _item("servers/i-3", {**_ENTRY, "slots": 0}),
]
