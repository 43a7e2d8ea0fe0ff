"""HTTP client for the VM's own upstream."""

from __future__ import annotations

from sassafrasstair.upstreams._client import accepts_connections
from sassafrasstair.upstreams._client import close
from sassafrasstair.upstreams._client import connect
from sassafrasstair.upstreams._client import Request
from sassafrasstair.upstreams._client import Response
from sassafrasstair.upstreams._client import send
from sassafrasstair.upstreams._client import Upstream
from sassafrasstair.upstreams._client import UpstreamError

__all__ = [
    "Request",
    "Response",
    "Upstream",
    "UpstreamError",
    "accepts_connections",
    "close",
    "connect",
    "send",
]
