"""The order in which the daemons of a failure domain follow each other.

Each daemon computes the order on its own from the hosts that it knows. Every
daemon orders two hosts the same way, whatever other hosts it knows, and a
daemon follows only a daemon that precedes it. So no two daemons follow each
other, and different sets of known hosts cost only additional calls. A host is
the address of a VM and of the daemon that runs on it.
"""

from __future__ import annotations

import functools
import hashlib
import typing

if typing.TYPE_CHECKING:
    from collections import abc

FANOUT = 6
"""Maximum number of daemons that follow one daemon.

Each follower polls once per poll hold (1.5 s for a bound of 6 s), with some
350 bytes both ways including TCP headers: 1.4 KB/s of the 3 KB/s that a
daemon's control traffic may use. 33 daemons of a failure domain are at most
two steps from its reader, 222 daemons three."""


@functools.cache
def sort_key(host: str) -> bytes:
    """Return the key by which hosts are ordered: a hash of the address.

    Ordered by address, the VM with the lowest address of a failure domain
    would always be its reader, whatever else runs on it.
    """
    return hashlib.blake2b(host.encode(), digest_size=8).digest()


def earlier_hosts(hosts: abc.Iterable[str], own: str) -> tuple[str, ...]:
    """Return the hosts that precede ``own``, in order."""
    own_key = sort_key(own)
    before = [host for host in hosts if sort_key(host) < own_key]
    return tuple(sorted(before, key=sort_key))


def first_hosts(hosts: abc.Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first ``count`` hosts, or all, in the daemons' order."""
    return tuple(sorted(hosts, key=sort_key)[:count])


def is_first(
    own_hosts: abc.Iterable[str], other_hosts: abc.Iterable[str]
) -> bool:
    """Return whether the first of ``own_hosts`` precedes all other hosts.

    ``own_hosts`` are the hosts of this daemon's failure domain.
    """
    first_own_key = min(map(sort_key, own_hosts), default=b"")
    return all(first_own_key <= sort_key(host) for host in other_hosts)


def select_parent(earlier: abc.Sequence[str]) -> str:
    """Return the parent of a daemon: the host that the daemon follows.

    ``earlier`` are the hosts that precede the daemon, in order. The ordered
    hosts form a heap in which each has ``FANOUT`` children.
    """
    return earlier[(len(earlier) - 1) // FANOUT]
