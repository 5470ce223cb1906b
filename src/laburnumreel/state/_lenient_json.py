"""JSON of many entries of which some may be odd: what is odd costs its entry, not the others."""

import json
import re
from typing import Any

# How deep what the platform tells is nested at most, with room; a reader takes less than a thousand.
MAX_DEPTH = 64
# More digits than any whole number here has; a reader takes less than five thousand.
MAX_DIGITS = 1000

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def loads_lenient(encoded: bytes) -> Any:
    """Return a JSON value without what no entry needs, or raise a ValueError where it is none.

    What is nested too deep is null, a whole number that is too long infinite, and bytes that are no
    text are halves of surrogate pairs, which `Fields` refuses.

    >>> loads_lenient(b'[' + b'[' * 100_000 + b']' * 100_000 + b', "a\\xff", ' + b'9' * 9000 + b']')[1:]
    ['a\\udcff', inf]
    """
    text = encoded.decode("utf-8", "surrogateescape")
    try:
        return _parse(text)
    except RecursionError:
        return _parse(_replace_deep_values(text))


def _parse(text: str) -> Any:
    # Control characters in a text are odd too, and cost no more than that.
    return json.loads(text, parse_int=_parse_integer, strict=False)


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _replace_deep_values(text: str) -> str:
    """Return JSON with null for each value that is nested too deep."""
    pieces, depth, start = [], 0, 0
    for token in _TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH:
                pieces += [text[start : token.start()], "null"]
        elif token[0] in "]}":
            if depth == MAX_DEPTH:
                start = token.end()
            depth -= 1
    return "".join([*pieces, text[start:] if depth < MAX_DEPTH else ""])
