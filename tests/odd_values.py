"""Strategies for data from outside that a decoder may meet.

JSON is built as text, since Python's encoder has neither numbers of thousands
of digits nor invalid text.
"""

from __future__ import annotations

import json
import typing

from hypothesis import strategies as st
import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

_DIGITS = st.sampled_from([1, 2, 10, 16, 19, 20, 21, 22, 309, 401, 5_000])
integers: st.SearchStrategy[str] = st.builds(
    lambda sign, digit, count: sign + count * digit,
    st.sampled_from(["", "-"]),
    st.sampled_from("19"),
    _DIGITS,
) | st.integers().map(str)
"""Whole numbers of any size, as text."""
numbers: st.SearchStrategy[str] = integers | st.sampled_from(
    ["0", "-0", "0.5", "-1.5", "1e5", "1e308", "1e309", "-1e999", "1e-999"]
)
"""Numbers of any size, as text."""
_words = (
    st.text(max_size=12)
    | st.just(300).map(lambda n: n * "x")
    | st.sampled_from(
        ["", "a b", "a\r\nX: y", "\x00", "é", "10.0.0.5:80", "safe"]
    )
)
_scalars = (
    numbers
    | _words.map(json.dumps)
    | st.sampled_from(["true", "false", "null", '"\\ud800"', "NaN", "x", ""])
)
_deep = st.sampled_from([50, 2_000, 100_000]).map(
    lambda depth: depth * "[" + depth * "]"
)


_DEPTH = 200_000
TEXTS = {
    "lists": _DEPTH * b"[" + _DEPTH * b"]",
    "tables": _DEPTH * b'{"a":' + b"1" + _DEPTH * b"}",
    "unended": _DEPTH * b"[",
    "digits": 401 * b"9",
    "beyond_int": 5_000 * b"9",
    "beyond_64_bits": b"18446744073709551616",
    "beyond_float": b"1e400",
    "nan": b"NaN",
    "table": b'{"a": {"b": []}}',
    "null": b"null",
    "no_text": b'"\xff\xfe"',
    "surrogate": b'"\\ud800"',
}
"""JSON and what is nearly JSON, none of it a string."""


def _object(fields: abc.Iterable[tuple[str, str]]) -> str:
    inner = ",".join(f"{json.dumps(name)}:{text}" for name, text in fields)
    return "{" + inner + "}"


json_texts: st.SearchStrategy[str] = (
    st.recursive(
        _scalars,
        lambda inner: (
            st.lists(inner, max_size=3).map(lambda x: f"[{','.join(x)}]")
            | st.lists(st.tuples(_words, inner), max_size=3).map(_object)
        ),
        max_leaves=6,
    )
    | _deep
)
"""JSON of any type, size and depth, and text that is nearly JSON."""


def objects_like(
    fields: abc.Mapping[str, object],
) -> st.SearchStrategy[str]:
    """Return objects with these fields, of which some have odd values."""
    texts = {name: json.dumps(value) for name, value in fields.items()}
    odd = st.dictionaries(
        st.sampled_from(sorted(texts)) | _words, json_texts, max_size=2
    )
    return odd.map(lambda changed: _object((texts | changed).items()))


field_values: st.SearchStrategy[bytes] = (
    st.binary(max_size=30)
    | numbers.map(str.encode)
    | st.lists(
        numbers.map(str.encode)
        | st.sampled_from(
            [b"-", b"nan", b"inf", b"\xff", b"1_0", b"+1", b"0x1"]
        ),
        max_size=11,
    ).map(b" ".join)
)
"""Values of header fields, as words of bytes and numbers of any size."""


def fields_like(value: bytes) -> st.SearchStrategy[bytes]:
    """Return values with the words of ``value``, of which one is odd."""
    words = value.split(b" ")
    odd = field_values.map(lambda found: found.replace(b" ", b""))
    return st.builds(
        lambda index, word: b" ".join(
            [*words[:index], word, *words[index + 1 :]]
        ),
        st.integers(0, len(words) - 1),
        odd,
    )


_packed = st.recursive(
    st.none()
    | st.booleans()
    | st.sampled_from([0, 1, -1, 2**31, 2**53 + 1, 2**63, 2**64 - 1, -(2**63)])
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=40),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=4,
)
_DEEP_PACKED = msgspec.Raw(100_000 * b"\x91" + b"\xc0")


def packed_like(data: bytes) -> st.SearchStrategy[bytes]:
    """Return MessagePack like ``data`` with one odd or added value."""
    whole = msgspec.msgpack.decode(data)
    odd = _packed | st.just(_DEEP_PACKED)
    paths = list(_paths(whole, ()))
    return st.builds(
        lambda path, value: msgspec.msgpack.encode(
            _replaced(whole, path, value)
        ),
        st.sampled_from(paths),
        odd,
    )


def _paths(
    whole: object, path: tuple[object, ...]
) -> abc.Iterator[tuple[object, ...]]:
    """Return the paths to all parts of nested lists and dictionaries."""
    yield path
    if isinstance(whole, dict):
        for key, part in whole.items():
            yield from _paths(part, (*path, key))
    elif isinstance(whole, list):
        for index, part in enumerate(whole):
            yield from _paths(part, (*path, index))
        yield (*path, len(whole))


def _replaced(
    whole: typing.Any, path: tuple[object, ...], value: object
) -> object:
    if not path:
        return value
    if path == (len(whole),):
        return [*whole, value]
    copied = whole.copy()
    copied[path[0]] = _replaced(whole[path[0]], path[1:], value)
    return copied
