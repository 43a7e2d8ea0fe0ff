"""Bundles: schema, validation and approval."""

from __future__ import annotations

from sassafrasstair.bundles._schema import Bundle
from sassafrasstair.bundles._schema import BUNDLE_FORMAT
from sassafrasstair.bundles._schema import IMPORTANCE_MAX
from sassafrasstair.bundles._schema import MAX_BUNDLE_BYTES
from sassafrasstair.bundles._schema import Refusal
from sassafrasstair.bundles._schema import RequestClass
from sassafrasstair.bundles._schema import RetryBudget
from sassafrasstair.bundles._schema import Service
from sassafrasstair.bundles._schema import Tenant

__all__ = [
    "BUNDLE_FORMAT",
    "IMPORTANCE_MAX",
    "MAX_BUNDLE_BYTES",
    "Bundle",
    "Refusal",
    "RequestClass",
    "RetryBudget",
    "Service",
    "Tenant",
]
