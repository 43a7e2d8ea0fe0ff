"""Ed25519 signatures over a bundle's exact text.

Only this module imports ``cryptography``, which takes about 6 MB.
"""

from __future__ import annotations

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from sassafrasstair.bundles import _errors

_CONTEXT = b"sassafrasstair bundle 1\n"
"""Signed before the text, so that a signature made for anything else
with the same key can never approve a bundle."""


def sign(payload: bytes, private: bytes) -> bytes:
    """Return the signature of ``payload`` by the 32 raw private bytes."""
    try:
        key = ed25519.Ed25519PrivateKey.from_private_bytes(private)
    except ValueError as error:
        raise _errors.KeyFault("wants 32 bytes of a private key") from error
    return key.sign(_CONTEXT + payload)


def is_valid(payload: bytes, signature: bytes, public: bytes) -> bool:
    """Return whether ``signature`` is that of the 32 raw public bytes."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(public)
        key.verify(signature, _CONTEXT + payload)
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True


def new_pair() -> tuple[bytes, bytes]:
    """Return a new private and public key, 32 raw bytes each."""
    private = ed25519.Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw(),
        private.public_key().public_bytes_raw(),
    )
