"""A daemon that forwards HTTP requests between the upstreams of the VMs.

A client sends its request to the daemon on its own VM, the entrance. The
entrance chooses an instance and forwards the request to the daemon on that
instance's VM, which alone talks to the instance. A ``Dialect`` supplies the
header names, the settings and the store client of the platform.
"""

from __future__ import annotations

from sassafrasstair.forwarding._daemon import run
from sassafrasstair.forwarding._dialect import Address
from sassafrasstair.forwarding._dialect import Bounds
from sassafrasstair.forwarding._dialect import Dialect
from sassafrasstair.forwarding._dialect import HeaderNames
from sassafrasstair.forwarding._dialect import Reading
from sassafrasstair.forwarding._dialect import RefusedItem
from sassafrasstair.forwarding._dialect import Settings
from sassafrasstair.forwarding._dialect import SettingsError
from sassafrasstair.forwarding._dialect import Source
from sassafrasstair.forwarding._dialect import SourceError
from sassafrasstair.forwarding._dialect import SourceReason
from sassafrasstair.forwarding._events import descriptor_sink
from sassafrasstair.forwarding._status import CustomerStatus
from sassafrasstair.forwarding._status import FeedStatus
from sassafrasstair.forwarding._status import QuotasStatus
from sassafrasstair.forwarding._status import SuspectStatus

__all__ = [
    "Address",
    "Bounds",
    "CustomerStatus",
    "Dialect",
    "FeedStatus",
    "HeaderNames",
    "QuotasStatus",
    "Reading",
    "RefusedItem",
    "Settings",
    "SettingsError",
    "Source",
    "SourceError",
    "SourceReason",
    "SuspectStatus",
    "descriptor_sink",
    "run",
]
