"""Bodies that tell a whole own answer from any other one.

A request's body begins with its nonce. The answer repeats the nonce and
tells the digest of the whole body that the upstream read.
"""

from __future__ import annotations

import hashlib

import msgspec

NONCE_BYTES = 32


class Done(msgspec.Struct, frozen=True):
    """Answer of a stand-in upstream; ``calls`` are those it made first."""

    service: str
    nonce: str
    digest: str
    size: int
    calls: tuple[Done, ...] = ()


_DONE = msgspec.json.Decoder(Done)


def new_body(nonce: str, size: int) -> bytes:
    """Return a body of ``size`` bytes, but no less than the nonce."""
    unit = nonce.encode()
    return (unit * (size // len(unit) + 1))[: max(size, len(unit))]


def child_body(nonce: str, service: str) -> bytes:
    """Return the body that an upstream sends to ``service``."""
    return f"{nonce}/{service}".encode()


def digest(body: bytes) -> str:
    """Return the digest that the answer to ``body`` tells."""
    return hashlib.sha256(body).hexdigest()


def decode(raw: bytes, nonce: str, body: bytes) -> Done | None:
    """Return the answer if it is whole and is the one to ``body``."""
    try:
        answer = _DONE.decode(raw)
    except msgspec.DecodeError:
        return None
    mine = (answer.nonce, answer.digest, answer.size)
    if mine != (nonce, digest(body), len(body)):
        return None
    for call in answer.calls:
        if call.nonce != nonce:
            return None
        if call.digest != digest(child_body(nonce, call.service)):
            return None
    return answer
