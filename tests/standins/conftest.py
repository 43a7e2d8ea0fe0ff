from __future__ import annotations

import socket
import typing

import pytest

if typing.TYPE_CHECKING:
    from collections import abc


@pytest.fixture
def free_port() -> abc.Callable[[], int]:
    """Return a function that names a port that nothing listens on."""

    def name() -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port: int = probe.getsockname()[1]
            return port

    return name
