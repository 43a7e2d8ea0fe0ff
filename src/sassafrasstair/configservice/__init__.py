"""Read-only client of the platform's configuration service and VM list.

Protocol: the Consul KV HTTP API with blocking queries
(https://developer.hashicorp.com/consul/api-docs/features/blocking).
"""

from __future__ import annotations

from sassafrasstair.configservice._client import Client
from sassafrasstair.configservice._client import MAX_VALUE_BYTES
from sassafrasstair.configservice._client import open_client
from sassafrasstair.configservice._client import Snapshot
from sassafrasstair.configservice._errors import PlatformError
from sassafrasstair.configservice._errors import Reason
from sassafrasstair.configservice._vms import decode_vms
from sassafrasstair.configservice._vms import VmEntry
from sassafrasstair.configservice._vms import VmState

BUNDLES_PREFIX = "sassafrasstair/bundles/"
BUNDLE_IN_FORCE_KEY = "sassafrasstair/bundles/all"
BUNDLE_STAGED_KEY = "sassafrasstair/bundles/staged"
VMS_KEY = "sassafrasstair/vms"

__all__ = [
    "BUNDLES_PREFIX",
    "BUNDLE_IN_FORCE_KEY",
    "BUNDLE_STAGED_KEY",
    "MAX_VALUE_BYTES",
    "VMS_KEY",
    "Client",
    "PlatformError",
    "Reason",
    "Snapshot",
    "VmEntry",
    "VmState",
    "decode_vms",
    "open_client",
]
