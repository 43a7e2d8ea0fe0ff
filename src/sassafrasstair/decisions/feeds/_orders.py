"""The order in which the daemons of a failure domain follow each other.

Each daemon works it out alone from the hosts that it knows. The order of two
hosts is the same at every daemon, whatever else each knows, and a daemon
follows only one that comes before it: so no two follow each other, and what
they disagree on costs calls and nothing else.
"""

from __future__ import annotations

import functools
import hashlib
import typing

if typing.TYPE_CHECKING:
    from collections import abc

FANOUT = 6
"""Daemons that follow one. Each asks once in a hold (1.5 s for a bound of
6 s), some 350 bytes both ways with headers of TCP: 1.4 KB/s of the 3 KB/s
that a daemon's control traffic may take. 33 daemons of a failure domain are
two steps from its reader, 222 three."""


@functools.cache
def sort_key(host: str) -> bytes:
    """Return where a host stands: hosts are ordered by a hash.

    A hash, since addresses would make the VM that is always first in its
    domain its reader, whatever else it does.
    """
    return hashlib.blake2b(host.encode(), digest_size=8).digest()


def earlier_hosts(hosts: abc.Iterable[str], own: str) -> tuple[str, ...]:
    """Return the hosts that come before ``own``, the first one first."""
    mark = sort_key(own)
    before = [host for host in hosts if sort_key(host) < mark]
    return tuple(sorted(before, key=sort_key))


def first_hosts(hosts: abc.Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first hosts, at most ``count``."""
    return tuple(sorted(hosts, key=sort_key)[:count])


def is_first(own: abc.Iterable[str], others: abc.Iterable[str]) -> bool:
    """Return whether the first of the own hosts comes before all others."""
    mark = min(map(sort_key, own), default=b"")
    return all(mark <= sort_key(host) for host in others)


def select_parent(before: abc.Sequence[str]) -> str:
    """Return whom the daemon behind these hosts follows: a heap by rank."""
    return before[(len(before) - 1) // FANOUT]
