"""Ed25519 signatures over a bundle's exact text, by PyNaCl.

PyNaCl takes 1 MB of a daemon's memory where ``cryptography`` takes 8.
"""

from __future__ import annotations

from nacl import exceptions
from nacl import signing

from sassafrasstair.bundles import _errors

_CONTEXT = b"sassafrasstair bundle 1\n"
"""Signed before the text, so that a signature made for anything else
with the same key can never approve a bundle."""


def sign(payload: bytes, private: bytes) -> bytes:
    """Return the signature of ``payload`` by the 32 raw private bytes."""
    return _private_key(private).sign(_CONTEXT + payload).signature


def is_valid(payload: bytes, signature: bytes, public: bytes) -> bool:
    """Return whether ``signature`` is that of the 32 raw public bytes."""
    try:
        signing.VerifyKey(public).verify(_CONTEXT + payload, signature)
    except (exceptions.CryptoError, ValueError):
        return False
    return True


def new_key_pair() -> tuple[bytes, bytes]:
    """Return a new private and public key, 32 raw bytes each."""
    key = signing.SigningKey.generate()
    return bytes(key), bytes(key.verify_key)


def public_key_of(private: bytes) -> bytes:
    """Return the 32 raw public bytes of a private key."""
    return bytes(_private_key(private).verify_key)


def _private_key(private: bytes) -> signing.SigningKey:
    try:
        return signing.SigningKey(private)
    except (exceptions.CryptoError, ValueError) as error:
        raise _errors.InvalidKeyError(
            "wants 32 bytes of a private key"
        ) from error
