"""The daemon that forwards requests between the VMs' upstreams over HTTP.

A client's request enters at the daemon of its own VM, which chooses an
instance and hands the request to the daemon on that instance's VM, the only
way to it. What is spoken outside is named by a ``Dialect``.
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
