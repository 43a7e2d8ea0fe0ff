from __future__ import annotations

import typing

import pytest

from tests import loopback

if typing.TYPE_CHECKING:
    from collections import abc


@pytest.fixture
def free_port() -> abc.Callable[[], int]:
    """Return a function that names a port that nothing listens on."""
    return lambda: loopback.free_ports(1)[0]
