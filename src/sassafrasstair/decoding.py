"""Strict JSON decoding whose errors name the key and the expected value.

Settings and bundles are both decoded here with ``msgspec``. Its errors leave
out the names of dictionary entries (``$.classes[...]``), which people need to
find the faulty entry, so the entry is determined by decoding each one again.
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
_CUSTOM_CHECK = re.compile(r"(?P<name>[a-z_]+): (?P<wanted>.*)", re.DOTALL)
_EXPECTED = re.compile(r"Expected (?P<wanted>.*?)(?:, got (?P<got>.*))?")
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")
_UNNAMED_ENTRY = "..."
_NAME_RULE = "a name of a-z, 0-9 and -, 63 characters at most"
_TYPE_DESCRIPTIONS: dict[object, str] = {
    bool: "true or false",
    float: "a number",
    int: "an integer",
    str: "a string",
    tuple: "a list",
}


class DecodingError(Exception):
    """A document that does not fit its type.

    ``key`` is the dotted path of the faulty value, empty for the whole
    document, and ``problem`` says what is wrong there.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key or 'document'}: {problem}")
        self.key = key
        self.problem = problem


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
        # This decodes the document again. What follows the fault may not be
        # JSON, which decode() then reports instead.
        raise _explain(str(error), text, kind) from error


def _explain(message: str, text: bytes, kind: type) -> DecodingError:
    found = _ERROR.fullmatch(message)
    problem, path = found.group("what", "path") if found else (message, "")
    steps = _split_path(path or "")
    if _UNNAMED_ENTRY in steps:
        steps = _name_faulty_entry(steps, text, kind)
    if unknown := _UNKNOWN.fullmatch(problem):
        return _unknown_key_fault(steps, unknown["name"], kind)
    if missing := _MISSING.fullmatch(problem):
        steps = [*steps, missing["name"]]
        description = f"missing, wants {_describe_type(_type_at(kind, steps))}"
    elif own := _CUSTOM_CHECK.fullmatch(problem):
        steps, description = [*steps, own["name"]], own["wanted"]
    else:
        description = _describe_mismatch(problem, _type_at(kind, steps))
    return DecodingError(".".join(steps), description)


def _split_path(path: str) -> list[str]:
    return [name or index for name, index in _PATH_STEP.findall(path)]


def _name_faulty_entry(steps: list[str], text: bytes, kind: type) -> list[str]:
    """Replace "..." in a path by the name of the faulty dictionary entry."""
    position = steps.index(_UNNAMED_ENTRY)
    section: typing.Any = msgspec.json.decode(text)
    for step in steps[:position]:
        section = section[step]
    entry_kind = _type_at(kind, steps[: position + 1])
    for name, entry in section.items():
        try:
            msgspec.convert(entry, entry_kind)
        except msgspec.ValidationError:
            return [*steps[:position], name, *steps[position + 1 :]]
    return steps


def _unknown_key_fault(
    steps: list[str], name: str, kind: type
) -> UnknownKeyFault:
    parent = _type_at(kind, steps)
    known_names = getattr(parent, "__struct_fields__", ())
    matches = difflib.get_close_matches(name, known_names, n=1)
    hint = (
        f"did you mean {matches[0]}?"
        if matches
        else f"not one of {_join(known_names)}"
    )
    return UnknownKeyFault(".".join([*steps, name]), f"unknown key, {hint}")


def _describe_mismatch(problem: str, kind: object) -> str:
    if problem.startswith("Invalid enum value"):
        return f"wants {_describe_type(kind)}"
    if "matching regex" in problem:
        return f"wants {_NAME_RULE}"
    expected = _EXPECTED.fullmatch(problem)
    if expected is None:
        return problem
    wanted = expected["wanted"].replace("`", "")
    got = (expected["got"] or "").replace("`", "")
    return f"wants {wanted}" + (f", not {got}" if got else "")


def _type_at(kind: object, steps: list[str]) -> object:
    """Return the type at a path in ``kind``, or the last type found on it."""
    for step in steps:
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            kind = typing.get_type_hints(kind).get(step, object)
        elif typing.get_origin(kind) is dict:
            kind = typing.get_args(kind)[1]
        elif typing.get_origin(kind) is tuple:
            kind = typing.get_args(kind)[0]
    return kind


def _describe_type(kind: object) -> str:
    if typing.get_origin(kind) is typing.Literal:
        return f"one of {_join(typing.get_args(kind))}"
    if isinstance(kind, types.GenericAlias):
        kind = typing.get_origin(kind)
    return _TYPE_DESCRIPTIONS.get(kind, "an object")


def _join(names: typing.Iterable[object]) -> str:
    return ", ".join(str(name) for name in names)
