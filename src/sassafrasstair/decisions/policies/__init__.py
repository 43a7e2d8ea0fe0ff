"""The operators' policy: routes, their services and what clients may send."""

from __future__ import annotations

from sassafrasstair.decisions.policies._checks import unsound
from sassafrasstair.decisions.policies._policies import ClientLimits
from sassafrasstair.decisions.policies._policies import Policy
from sassafrasstair.decisions.policies._policies import Route
from sassafrasstair.decisions.policies._policies import Share
from sassafrasstair.decisions.policies._tables import choose_service
from sassafrasstair.decisions.policies._tables import match
from sassafrasstair.decisions.policies._tables import new_table
from sassafrasstair.decisions.policies._tables import Table

__all__ = [
    "ClientLimits",
    "Policy",
    "Route",
    "Share",
    "Table",
    "choose_service",
    "match",
    "new_table",
    "unsound",
]
