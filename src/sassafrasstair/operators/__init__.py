"""Operators: what a daemon shows them, over HTTP and read only."""

from __future__ import annotations

import typing

from sassafrasstair.operators._status import BundleId
from sassafrasstair.operators._status import Conflict
from sassafrasstair.operators._status import Entrance
from sassafrasstair.operators._status import Health
from sassafrasstair.operators._status import InForce
from sassafrasstair.operators._status import Instance
from sassafrasstair.operators._status import Platform
from sassafrasstair.operators._status import Refused
from sassafrasstair.operators._status import State
from sassafrasstair.operators._status import Status

if typing.TYPE_CHECKING:
    from collections import abc

    import litestar

    from sassafrasstair import metrics

__all__ = [
    "BundleId",
    "Conflict",
    "Entrance",
    "Health",
    "InForce",
    "Instance",
    "Platform",
    "Refused",
    "State",
    "Status",
    "create_app",
]


def create_app(
    status: abc.Callable[[], Status], counts: metrics.Metrics
) -> litestar.Litestar:
    """Return the ASGI application; see ``_application``.

    Imported late: ``litestar`` takes 8 MB and 0.2 s, which the client,
    that only decodes what the application answers, does without.
    """
    from sassafrasstair.operators import _application

    return _application.create_app(status, counts)
