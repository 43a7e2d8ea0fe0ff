"""Ports for tests that listen on loopback addresses."""

from __future__ import annotations

import itertools
import os
import socket
import typing

if typing.TYPE_CHECKING:
    from collections import abc

LOOPBACK = ("127.0.0.1",)
PORTS = range(15_000, 32_000)
PORTS_PER_PROCESS = 1_009
"""Distance of the first ports of two processes that run one after another."""

_first = os.getpid() * PORTS_PER_PROCESS % len(PORTS)
_candidates = itertools.cycle([*PORTS[_first:], *PORTS[:_first]])


def free_ports(count: int, hosts: abc.Sequence[str] = LOOPBACK) -> list[int]:
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
