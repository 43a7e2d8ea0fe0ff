"""The rank by which load is shed: importance first, then the caller.

The combined priority follows DAGOR (Zhou et al., "Overload Control for
Scaling WeChat Microservices", SoCC 2018): business priority first, then a
hash of the user. This way all calls in the chain of one caller's request are
admitted, or the request is refused at the entrance; shedding does not fail
single calls of many chains.
"""

from __future__ import annotations

import hashlib

from sassafrasstair import bundles

_HASH_SPAN = 1 << 32


def rank(importance: int, caller: str, epoch: int) -> float:
    """Return the rank in [0, 10); a higher rank is shed later.

    The integer part is the importance, and the fraction a hash of the epoch
    and the caller. A change of ``epoch`` changes the hash, so that it is not
    always the same callers that are shed.
    """
    bounded = min(max(importance, 0), bundles.IMPORTANCE_MAX)
    digest = hashlib.blake2b(
        f"{epoch}/{caller}".encode(), digest_size=4
    ).digest()
    return bounded + int.from_bytes(digest, "big") / _HASH_SPAN
