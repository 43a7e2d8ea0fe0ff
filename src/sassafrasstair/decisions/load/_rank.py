"""The rank that shedding orders by: importance first, then the caller.

The combined priority follows DAGOR (Zhou et al., "Overload Control for
Scaling WeChat Microservices", SoCC 2018): business priority, then a hash
of the user, so that one caller's whole chain survives or is refused at
the entrance, and not pieces of many chains.
"""

from __future__ import annotations

import hashlib

from sassafrasstair import bundles

_HASH_SPAN = 1 << 32


def rank(importance: int, caller: str, epoch: int) -> float:
    """Return the rank in [0, 10): greater is shed later.

    ``epoch`` changes the hash now and then, so that no caller is the one
    that is always shed.
    """
    bounded = min(max(importance, 0), bundles.IMPORTANCE_MAX)
    digest = hashlib.blake2b(
        f"{epoch}/{caller}".encode(), digest_size=4
    ).digest()
    return bounded + int.from_bytes(digest, "big") / _HASH_SPAN
