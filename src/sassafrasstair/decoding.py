"""Strict JSON decoding whose errors name the key and what is wanted.

Settings and bundles are both decoded here. ``msgspec`` does the work; its
errors leave out the names of dictionary entries (``$.classes[...]``), which
people need to find the place, so these are looked up again.
"""

from __future__ import annotations

import difflib
import re
import types
import typing

import msgspec

T = typing.TypeVar("T")

_ERROR = re.compile(
    r"(?P<what>.*?)(?: - at (?:`key` in )?`\$(?P<path>[^`]*)`)?", re.DOTALL
)
_UNKNOWN = re.compile(r"Object contains unknown field `(?P<name>.*)`")
_MISSING = re.compile(r"Object missing required field `(?P<name>.*)`")
_OWN_CHECK = re.compile(r"(?P<name>[a-z_]+): (?P<wanted>.*)", re.DOTALL)
_EXPECTED = re.compile(r"Expected (?P<wanted>.*?)(?:, got (?P<got>.*))?")
_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")
_ENTRY = "..."
_NAME_RULE = "a name of a-z, 0-9 and -, 63 characters at most"
_WORDS: dict[object, str] = {
    bool: "true or false",
    float: "a number",
    int: "an integer",
    str: "a string",
    tuple: "a list",
}


class DecodingError(Exception):
    """A document that does not fit its type.

    ``key`` is the dotted path of the place, empty for the whole document.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key or 'document'}: {problem}")
        self.key = key
        self.wanted = problem


class SyntaxFault(DecodingError):
    """A document that is not JSON at all."""


class UnknownKeyFault(DecodingError):
    """A document with a key that its type does not have."""


def decode(text: bytes, kind: type[T]) -> T:
    """Return ``text`` as ``kind``, a ``msgspec.Struct``.

    Raises ``SyntaxFault``, ``UnknownKeyFault`` or ``DecodingError``.
    """
    try:
        return _decode(text, kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SyntaxFault("", f"wants JSON: {error}") from error
    except RecursionError as error:
        raise SyntaxFault("", "wants JSON of less depth") from error


def _decode(text: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError as error:
        # This reads the document again, and what follows the fault may
        # not be JSON, which decode() reports then.
        raise _explain(str(error), text, kind) from error


def _explain(message: str, text: bytes, kind: type) -> DecodingError:
    found = _ERROR.fullmatch(message)
    what, path = found.group("what", "path") if found else (message, "")
    steps = _steps(path or "")
    if _ENTRY in steps:
        steps = _entry_named(steps, text, kind)
    if unknown := _UNKNOWN.fullmatch(what):
        return _unknown_key(steps, unknown["name"], kind)
    if missing := _MISSING.fullmatch(what):
        steps = [*steps, missing["name"]]
        wanted = f"missing, wants {_word(_type_at(kind, steps))}"
    elif own := _OWN_CHECK.fullmatch(what):
        steps, wanted = [*steps, own["name"]], own["wanted"]
    else:
        wanted = _wanted(what, _type_at(kind, steps))
    return DecodingError(".".join(steps), wanted)


def _steps(path: str) -> list[str]:
    return [name or index for name, index in _STEP.findall(path)]


def _entry_named(steps: list[str], text: bytes, kind: type) -> list[str]:
    """Put the name of the faulty dictionary entry in place of "..."."""
    at = steps.index(_ENTRY)
    section: typing.Any = msgspec.json.decode(text)
    for step in steps[:at]:
        section = section[step]
    entry_kind = _type_at(kind, steps[: at + 1])
    for name, entry in section.items():
        try:
            msgspec.convert(entry, entry_kind)
        except msgspec.ValidationError:
            return [*steps[:at], name, *steps[at + 1 :]]
    return steps


def _unknown_key(steps: list[str], name: str, kind: type) -> UnknownKeyFault:
    parent = _type_at(kind, steps)
    known = getattr(parent, "__struct_fields__", ())
    close = difflib.get_close_matches(name, known, n=1)
    hint = (
        f"did you mean {close[0]}?" if close else f"not one of {_list(known)}"
    )
    return UnknownKeyFault(".".join([*steps, name]), f"unknown key, {hint}")


def _wanted(what: str, kind: object) -> str:
    if what.startswith("Invalid enum value"):
        return f"wants {_word(kind)}"
    if "matching regex" in what:
        return f"wants {_NAME_RULE}"
    expected = _EXPECTED.fullmatch(what)
    if expected is None:
        return what
    wanted = expected["wanted"].replace("`", "")
    got = (expected["got"] or "").replace("`", "")
    return f"wants {wanted}" + (f", not {got}" if got else "")


def _type_at(kind: object, steps: list[str]) -> object:
    """Return the type at a path within ``kind``, or ``kind`` if none is."""
    for step in steps:
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            kind = typing.get_type_hints(kind).get(step, object)
        elif typing.get_origin(kind) is dict:
            kind = typing.get_args(kind)[1]
        elif typing.get_origin(kind) is tuple:
            kind = typing.get_args(kind)[0]
    return kind


def _word(kind: object) -> str:
    if typing.get_origin(kind) is typing.Literal:
        return f"one of {_list(typing.get_args(kind))}"
    if isinstance(kind, types.GenericAlias):
        kind = typing.get_origin(kind)
    return _WORDS.get(kind, "an object")


def _list(names: typing.Iterable[object]) -> str:
    return ", ".join(str(name) for name in names)
