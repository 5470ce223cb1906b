"""The parts of prompts that other prompts may share, by digest."""

import hashlib
import json
from collections.abc import Iterator, Sequence
from typing import Any

import orjson

from laburnumreel.protocol._openai import ModelRequest

PART_DIGEST_BYTES = 8
# Crashes are counted against this many parts of a prompt: the first and the last ones of a longer.
MAX_PARTS = 32
BLOCK_BYTES = 256


def _prefix_lengths() -> tuple[int, ...]:
    lengths = [1]
    while len(lengths) < MAX_PARTS:
        lengths.append(lengths[-1] + max(1, lengths[-1] // 5))
    return tuple(BLOCK_BYTES * blocks for blocks in lengths)


# Lengths in bytes at which the beginnings of texts are compared: up to 112 KiB.
PREFIX_LENGTHS = _prefix_lengths()


def prompt_parts(request: ModelRequest, service: str) -> tuple[str, ...]:
    """Return the digests of the parts of a prompt that other prompts of the service may share.

    The parts of a chat are its messages and the elements of their content. The last one belongs to
    the request alone and is left out. The parts of a text are its beginnings of some lengths. A
    digest holds for one service and model, because others may answer the same part.
    """
    scope = f"{service}\n{request.model}\n".encode("utf-8", "replace")
    if request.chat:
        return _limit([_digest(scope, part) for part in _chat_parts(request.body)][:-1])
    return _prefix_digests(scope, request.prompt)


def _chat_parts(body: dict[str, Any]) -> Iterator[bytes]:
    for message in body["messages"]:
        content = message.get("content")
        elements = content if isinstance(content, list) and content else [content]
        for element in elements:
            yield _encode({**message, "content": element})


def _encode(part: dict[str, Any]) -> bytes:
    try:
        # Several times faster than json, but without large numbers and lone surrogates.
        return orjson.dumps(part, option=orjson.OPT_SORT_KEYS)
    except TypeError:
        return json.dumps(part, sort_keys=True).encode()


def _prefix_digests(scope: bytes, prompt: bytes) -> tuple[str, ...]:
    hasher, start, digests = hashlib.sha256(scope), 0, []
    for end in PREFIX_LENGTHS:
        if end >= len(prompt):
            break
        hasher.update(prompt[start:end])
        digests.append(hasher.hexdigest()[: 2 * PART_DIGEST_BYTES])
        start = end
    return tuple(digests)


def _limit(parts: Sequence[str]) -> tuple[str, ...]:
    """Return the parts without repeats, the first and the last ones if there are many."""
    distinct = tuple(dict.fromkeys(parts))
    if len(distinct) <= MAX_PARTS:
        return distinct
    return distinct[: MAX_PARTS // 2] + distinct[-MAX_PARTS // 2 :]


def _digest(scope: bytes, part: bytes) -> str:
    return hashlib.sha256(scope + part).hexdigest()[: 2 * PART_DIGEST_BYTES]
