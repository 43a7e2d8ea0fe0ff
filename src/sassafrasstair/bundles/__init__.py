"""Bundles: schema, validation and approval."""

from __future__ import annotations

from sassafrasstair.bundles._checks import duplicate_keys
from sassafrasstair.bundles._differences import Change
from sassafrasstair.bundles._differences import differences
from sassafrasstair.bundles._envelopes import Approval
from sassafrasstair.bundles._envelopes import approve
from sassafrasstair.bundles._envelopes import ApprovedBundle
from sassafrasstair.bundles._envelopes import decode
from sassafrasstair.bundles._envelopes import digest
from sassafrasstair.bundles._envelopes import Envelope
from sassafrasstair.bundles._envelopes import new_key_pair
from sassafrasstair.bundles._envelopes import open_envelope
from sassafrasstair.bundles._envelopes import verify
from sassafrasstair.bundles._errors import BundleError
from sassafrasstair.bundles._errors import Defect
from sassafrasstair.bundles._errors import InvalidKeyError
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
    "Approval",
    "ApprovedBundle",
    "Bundle",
    "BundleError",
    "Change",
    "Defect",
    "Envelope",
    "InvalidKeyError",
    "Refusal",
    "RequestClass",
    "RetryBudget",
    "Service",
    "Tenant",
    "approve",
    "decode",
    "differences",
    "digest",
    "duplicate_keys",
    "new_key_pair",
    "open_envelope",
    "verify",
]
