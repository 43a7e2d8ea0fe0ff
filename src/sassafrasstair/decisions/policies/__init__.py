"""The operators' policy: routes, services, customers and client limits."""

from __future__ import annotations

from sassafrasstair.decisions.policies._checks import COUNT_MAX
from sassafrasstair.decisions.policies._checks import find_fault
from sassafrasstair.decisions.policies._customers import digest_key
from sassafrasstair.decisions.policies._customers import identify_customer
from sassafrasstair.decisions.policies._customers import Unidentified
from sassafrasstair.decisions.policies._policies import ClientLimits
from sassafrasstair.decisions.policies._policies import Customer
from sassafrasstair.decisions.policies._policies import Policy
from sassafrasstair.decisions.policies._policies import Route
from sassafrasstair.decisions.policies._policies import Share
from sassafrasstair.decisions.policies._tables import choose_service
from sassafrasstair.decisions.policies._tables import match_route
from sassafrasstair.decisions.policies._tables import new_table
from sassafrasstair.decisions.policies._tables import Table

__all__ = [
    "COUNT_MAX",
    "ClientLimits",
    "Customer",
    "Policy",
    "Route",
    "Share",
    "Table",
    "Unidentified",
    "choose_service",
    "digest_key",
    "find_fault",
    "identify_customer",
    "match_route",
    "new_table",
]
