"""Lenient JSON parsing for lists of entries: a malformed entry does not affect the others."""

import json
import re
from typing import Any

# If the parser runs out of depth, values nested this deeply become null. The platform's JSON stays
# far below it, and Python's parser allows less than a thousand.
MAX_DEPTH = 64
# Maximum digits of an integer. No valid integer has as many, and Python converts less than five
# thousand.
MAX_DIGITS = 1000

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def loads_lenient(encoded: bytes) -> Any:
    """Parse JSON, replacing values that the standard parser rejects, or raise a ValueError.

    If the parser runs out of depth, every value nested MAX_DEPTH or deeper becomes null. Integers
    with too many digits become infinite, and invalid UTF-8 bytes become lone surrogates, which
    `Fields` rejects.

    >>> loads_lenient(b'[' + b'[' * 100_000 + b']' * 100_000 + b', "a\\xff", ' + b'9' * 9000 + b']')[1:]
    ['a\\udcff', inf]
    """
    text = encoded.decode("utf-8", "surrogateescape")
    try:
        return _parse(text)
    except RecursionError:
        return _parse(_replace_deep_values(text))


def _parse(text: str) -> Any:
    # strict=False accepts control characters in strings, so that only their entry is rejected.
    return json.loads(text, parse_int=_parse_integer, strict=False)


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _replace_deep_values(text: str) -> str:
    """Return the JSON text with null in place of each value at depth MAX_DEPTH."""
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
