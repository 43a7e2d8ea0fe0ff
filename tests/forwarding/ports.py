"""Ports for tests that listen on several loopback addresses."""

from __future__ import annotations

import itertools
import os
import socket
import typing

if typing.TYPE_CHECKING:
    from collections import abc

PORTS = range(15_000, 32_000)
_candidates = itertools.cycle(
    [*PORTS[os.getpid() % len(PORTS) :], *PORTS[: os.getpid() % len(PORTS)]]
)


def free_ports(hosts: abc.Sequence[str], count: int) -> list[int]:
    """Return ports that are free on all ``hosts``.

    The ports are below the kernel's ephemeral range: a connection could take
    an ephemeral port between this check and the listening.
    """
    found: list[int] = []
    while len(found) < count:
        port = next(_candidates)
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
