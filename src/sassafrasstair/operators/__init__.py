"""Read-only HTTP interface that shows operators a daemon's state."""

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

    ``_application`` is imported late because ``litestar`` takes 8 MB and
    0.2 s. The client, which only decodes the application's answers, does
    not need it.
    """
    from sassafrasstair.operators import _application

    return _application.create_app(current_status, registry)
