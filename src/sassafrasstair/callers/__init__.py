"""HTTP interface for callers, documented in docs/CALLERS.md."""

from __future__ import annotations

from sassafrasstair.callers._app import create_app
from sassafrasstair.callers._intake import end
from sassafrasstair.callers._intake import Intake
from sassafrasstair.callers._intake import leave
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
    "Intake",
    "Refusal",
    "Reply",
    "Request",
    "TicketReply",
    "create_app",
    "end",
    "leave",
]
