"""Files that the client reads and writes: bundles, approvals and keys."""

from __future__ import annotations

import base64
import json
import os
import pathlib
import sys

import msgspec

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair import decoding

PRIVATE_MODE = 0o600


class Source(msgspec.Struct, frozen=True):
    """A bundle's file as it was read, once, for ``-`` has it only once.

    ``payload`` is the bundle's exact text; ``approvals`` is empty and
    ``raw`` the same text if nobody has approved it.
    """

    path: str
    raw: bytes
    payload: bytes
    approvals: tuple[bundles.Approval, ...] = ()


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key pair of an operator, 32 raw bytes each in base64."""

    name: str
    private: str
    public: str

    @property
    def private_bytes(self) -> bytes:
        """The private key; ``BadInputError`` if it is not base64."""
        try:
            return base64.b64decode(self.private, validate=True)
        except ValueError as error:
            raise _errors.BadInputError("private: wants base64") from error


def read(path: str) -> bytes:
    """Return a file's bytes, ``-`` for standard input."""
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _errors.BadInputError(f"{path}: {error.strerror}") from error


def read_source(path: str) -> Source:
    """Return the bundle in a file, approved or not; nothing is checked."""
    text = read(path)
    try:
        keys = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        if "payload" not in keys:
            return Source(path, text, text)
        envelope = bundles.open_envelope(text)
    except (msgspec.DecodeError, bundles.BundleError) as error:
        raise _errors.BadInputError(f"{path}: {error}") from error
    return Source(path, text, envelope.payload.encode(), envelope.approvals)


def decode(source: Source) -> bundles.Bundle:
    """Return the bundle in ``source``, checked for itself."""
    try:
        return bundles.decode(source.payload)
    except bundles.BundleError as error:
        raise _errors.BadInputError(f"{source.path}: {error}") from error


def read_key(path: str) -> KeyFile:
    """Return the key pair in a file."""
    try:
        return decoding.decode(read(path), KeyFile)
    except decoding.DecodingError as error:
        raise _errors.BadInputError(f"{path}: {error}") from error


def write_private(path: str, value: msgspec.Struct) -> None:
    """Write a new file that only its owner can read."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, PRIVATE_MODE), "wb") as file:
            file.write(msgspec.json.encode(value) + b"\n")
    except OSError as error:
        raise _errors.BadInputError(f"{path}: {error.strerror}") from error


def as_json(value: object) -> str:
    """Return ``value`` as JSON for machines, on one line."""
    return msgspec.json.encode(value).decode()


def as_document(value: object) -> str:
    """Return ``value`` as JSON that people edit."""
    return json.dumps(value, indent=2) + "\n"
