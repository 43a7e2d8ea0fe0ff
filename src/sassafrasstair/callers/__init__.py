"""HTTP interface for callers, documented in docs/CALLERS.md."""

from __future__ import annotations

from sassafrasstair.callers._app import create_app
from sassafrasstair.callers._request import CallerGone
from sassafrasstair.callers._request import Fields
from sassafrasstair.callers._request import Headers
from sassafrasstair.callers._request import Refusal
from sassafrasstair.callers._request import Reply
from sassafrasstair.callers._request import Request
from sassafrasstair.callers._request import TicketReply

__all__ = [
    "CallerGone",
    "Fields",
    "Headers",
    "Refusal",
    "Reply",
    "Request",
    "TicketReply",
    "create_app",
]
