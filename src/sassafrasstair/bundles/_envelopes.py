"""The published file: a bundle's exact text and its approvals.

A signature covers the exact text. So no canonical form of JSON is needed,
and an operator signs exactly the text that they have read.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import typing

import msgspec

from sassafrasstair.bundles import _checks
from sassafrasstair.bundles import _errors
from sassafrasstair.bundles import _schema
from sassafrasstair import decoding

if typing.TYPE_CHECKING:
    from collections import abc

MAX_APPROVALS = 16

_DEFECTS: dict[type[decoding.DecodingError], _errors.Defect] = {
    decoding.SyntaxFault: _errors.Defect.NOT_JSON,
    decoding.UnknownKeyFault: _errors.Defect.UNKNOWN_KEY,
    decoding.DecodingError: _errors.Defect.BAD_VALUE,
}


class Approval(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operator's signature, in base64, and the name of the key."""

    key: _schema.Name
    signature: typing.Annotated[str, msgspec.Meta(max_length=100)]


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A bundle's text and who approved it."""

    payload: str
    approvals: typing.Annotated[
        tuple[Approval, ...], msgspec.Meta(max_length=MAX_APPROVALS)
    ] = ()


class ApprovedBundle(msgspec.Struct, frozen=True):
    """A bundle that passed every check.

    ``digest`` is the SHA-256 of ``payload`` in hex. ``approved_by`` names
    the known keys that signed it.
    """

    bundle: _schema.Bundle
    payload: bytes
    digest: str
    approved_by: tuple[str, ...]


def verify(envelope: bytes, keys: abc.Mapping[str, bytes]) -> ApprovedBundle:
    """Return the bundle in ``envelope`` if one of ``keys`` approved it.

    ``keys`` maps key names to raw public keys of 32 bytes. Signatures by
    other keys are ignored, so that old and new keys can both sign during a
    key rotation. An invalid signature by a known key refuses the bundle.
    The text is not decoded before a signature is verified. Raises
    ``BundleError``.
    """
    opened = open_envelope(envelope)
    payload = opened.payload.encode()
    approved_by = _verified_signers(payload, opened.approvals, keys)
    return ApprovedBundle(
        bundle=decode(payload),
        payload=payload,
        digest=digest(payload),
        approved_by=approved_by,
    )


def approve(
    payload: bytes,
    private_key: bytes,
    key_name: str,
    approvals: tuple[Approval, ...] = (),
) -> bytes:
    """Return an envelope of ``payload``, signed under ``key_name``.

    ``approvals`` are kept along with the new one, except those under the
    same name. Raises ``BundleError`` for a payload that daemons would
    refuse, and ``InvalidKeyError`` for an invalid private key.
    """
    # Imported late to save memory: see _signatures.
    from sassafrasstair.bundles import _signatures

    decode(payload)
    signature = base64.b64encode(
        _signatures.sign(payload, private_key)
    ).decode()
    kept = [approval for approval in approvals if approval.key != key_name]
    envelope = msgspec.json.encode(
        Envelope(
            payload=payload.decode(),
            approvals=(*kept, Approval(key=key_name, signature=signature)),
        )
    )
    open_envelope(envelope)
    return envelope


def open_envelope(envelope: bytes) -> Envelope:
    """Decode ``envelope`` without checking its signatures."""
    _check_size(envelope)
    return _decode(envelope, Envelope)


def decode(payload: bytes) -> _schema.Bundle:
    """Decode and check the bundle in ``payload``, without a signature."""
    _check_size(payload)
    bundle = _decode(payload, _schema.Bundle)
    faults = _checks.find_faults(bundle)
    if faults:
        raise _errors.BundleError(_errors.Defect.INCONSISTENT, *faults)
    return bundle


def new_key_pair() -> tuple[bytes, bytes]:
    """Return a new private and public key, 32 raw bytes each."""
    from sassafrasstair.bundles import _signatures

    return _signatures.new_key_pair()


def digest(payload: bytes) -> str:
    """Return the SHA-256 in hex, which orders bundles of equal version."""
    return hashlib.sha256(payload).hexdigest()


def _verified_signers(
    payload: bytes,
    approvals: tuple[Approval, ...],
    keys: abc.Mapping[str, bytes],
) -> tuple[str, ...]:
    from sassafrasstair.bundles import _signatures

    if not approvals:
        raise _errors.BundleError(
            _errors.Defect.UNSIGNED, "approvals: wants one signature at least"
        )
    known = [approval for approval in approvals if approval.key in keys]
    if not known:
        names = ", ".join(approval.key for approval in approvals)
        raise _errors.BundleError(
            _errors.Defect.UNKNOWN_SIGNER,
            f"approvals: wants a key of the settings, not {names}",
        )
    for approval in known:
        signature = _decode_signature(approval)
        if not _signatures.is_valid(payload, signature, keys[approval.key]):
            raise _errors.BundleError(
                _errors.Defect.BAD_SIGNATURE,
                f"approvals: signature of {approval.key} does not fit",
            )
    return tuple(dict.fromkeys(approval.key for approval in known))


def _decode_signature(approval: Approval) -> bytes:
    try:
        return base64.b64decode(approval.signature, validate=True)
    except (binascii.Error, ValueError):
        return b""


def _check_size(text: bytes) -> None:
    if len(text) > _schema.MAX_BUNDLE_BYTES:
        raise _errors.BundleError(
            _errors.Defect.TOO_LARGE,
            f"document: wants at most {_schema.MAX_BUNDLE_BYTES} bytes, "
            f"not {len(text)}",
        )


T = typing.TypeVar("T")


def _decode(text: bytes, kind: type[T]) -> T:
    try:
        return decoding.decode(text, kind)
    except decoding.DecodingError as error:
        raise _errors.BundleError(_DEFECTS[type(error)], str(error)) from error
