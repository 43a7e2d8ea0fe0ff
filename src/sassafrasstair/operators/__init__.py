"""Operators: what a daemon shows them, over HTTP and read only."""

from __future__ import annotations

import typing

from sassafrasstair.operators._status import BundleId
from sassafrasstair.operators._status import ConflictingBundles
from sassafrasstair.operators._status import EntranceStatus
from sassafrasstair.operators._status import Health
from sassafrasstair.operators._status import InForceBundle
from sassafrasstair.operators._status import InstanceLoad
from sassafrasstair.operators._status import PlatformStatus
from sassafrasstair.operators._status import RefusedBundle
from sassafrasstair.operators._status import State
from sassafrasstair.operators._status import Status

if typing.TYPE_CHECKING:
    from collections import abc

    import litestar

    from sassafrasstair import metrics

__all__ = [
    "BundleId",
    "ConflictingBundles",
    "EntranceStatus",
    "Health",
    "InForceBundle",
    "InstanceLoad",
    "PlatformStatus",
    "RefusedBundle",
    "State",
    "Status",
    "create_app",
]


def create_app(
    current_status: abc.Callable[[], Status], registry: metrics.Metrics
) -> litestar.Litestar:
    """Return the ASGI application; see ``_application``.

    Imported late: ``litestar`` takes 8 MB and 0.2 s, which the client,
    that only decodes what the application answers, does without.
    """
    from sassafrasstair.operators import _application

    return _application.create_app(current_status, registry)
