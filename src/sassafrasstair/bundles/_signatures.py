"""Ed25519 signatures over a bundle's exact text, made with PyNaCl.

PyNaCl takes 1 MB of a daemon's memory, while ``cryptography`` takes 8 MB.
"""

from __future__ import annotations

from nacl import exceptions
from nacl import signing

from sassafrasstair.bundles import _errors

_SIGNED_PREFIX = b"sassafrasstair bundle 1\n"
"""Prepended to the text before signing, so that a signature made for another
purpose with the same key can never approve a bundle."""


def sign(payload: bytes, private_key: bytes) -> bytes:
    """Sign ``payload`` with a raw private key of 32 bytes."""
    return _private_key(private_key).sign(_SIGNED_PREFIX + payload).signature


def is_valid(payload: bytes, signature: bytes, public_key: bytes) -> bool:
    """Return whether ``signature`` is valid for the raw public key."""
    try:
        signing.VerifyKey(public_key).verify(
            _SIGNED_PREFIX + payload, signature
        )
    except (exceptions.CryptoError, ValueError):
        return False
    return True


def new_key_pair() -> tuple[bytes, bytes]:
    """Return a new private and public key, 32 raw bytes each."""
    key = signing.SigningKey.generate()
    return bytes(key), bytes(key.verify_key)


def public_key_of(private_key: bytes) -> bytes:
    """Return the raw public key, 32 bytes, of a private key."""
    return bytes(_private_key(private_key).verify_key)


def _private_key(raw_key: bytes) -> signing.SigningKey:
    try:
        return signing.SigningKey(raw_key)
    except (exceptions.CryptoError, ValueError) as error:
        raise _errors.InvalidKeyError(
            "wants 32 bytes of a private key"
        ) from error
