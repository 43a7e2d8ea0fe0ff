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

PRIVATE_FILE_MODE = 0o600


class BundleFile(msgspec.Struct, frozen=True):
    """A bundle file, read once because standard input has no second read.

    ``path`` is the file's path, or ``-`` for standard input. ``raw`` is the
    whole file and ``payload`` the exact text of the bundle. They are equal,
    and ``approvals`` is empty, if the file holds a bundle without approvals.
    """

    path: str
    raw: bytes
    payload: bytes
    approvals: tuple[bundles.Approval, ...] = ()


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's key pair; each key is 32 bytes, encoded as base64."""

    name: str
    private: str
    public: str

    @property
    def private_bytes(self) -> bytes:
        """Decode the private key; raise ``BadInputError`` if not base64."""
        try:
            return base64.b64decode(self.private, validate=True)
        except ValueError as error:
            raise _errors.BadInputError("private: wants base64") from error


def read_bytes(path: str) -> bytes:
    """Return the content of a file; ``-`` is standard input."""
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _errors.BadInputError(f"{path}: {error.strerror}") from error


def read_bundle_file(path: str) -> BundleFile:
    """Read a bundle file, with or without approvals.

    Neither the bundle nor its approvals are checked.
    """
    text = read_bytes(path)
    try:
        keys = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        if "payload" not in keys:
            return BundleFile(path, text, text)
        envelope = bundles.open_envelope(text)
    except (msgspec.DecodeError, bundles.BundleError) as error:
        raise _errors.BadInputError(f"{path}: {error}") from error
    return BundleFile(
        path, text, envelope.payload.encode(), envelope.approvals
    )


def decode_bundle(file: BundleFile) -> bundles.Bundle:
    """Decode and validate the bundle, without checking its approvals."""
    try:
        return bundles.decode(file.payload)
    except bundles.BundleError as error:
        raise _errors.BadInputError(f"{file.path}: {error}") from error


def read_key(path: str) -> KeyFile:
    """Read a key pair from a file."""
    try:
        return decoding.decode(read_bytes(path), KeyFile)
    except decoding.DecodingError as error:
        raise _errors.BadInputError(f"{path}: {error}") from error


def write_private(path: str, value: msgspec.Struct) -> None:
    """Create a file that only its owner can read; it must not exist yet."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, PRIVATE_FILE_MODE), "wb") as file:
            file.write(msgspec.json.encode(value) + b"\n")
    except OSError as error:
        raise _errors.BadInputError(f"{path}: {error.strerror}") from error


def as_json(value: object) -> str:
    """Return ``value`` as JSON on one line, for programs."""
    return msgspec.json.encode(value).decode()


def as_indented_json(value: object) -> str:
    """Return ``value`` as indented JSON, for people to edit."""
    return json.dumps(value, indent=2) + "\n"
