"""Prompts and their answers. Answers are deterministic, so that tests can check resumed ones."""

import hashlib
from collections.abc import Iterator
from itertools import islice
from typing import Any, NamedTuple

from laburnumreel_standins._http import BadRequestError

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_OUTPUT_TOKENS = 100_000

_WORD_TEXT = (
    "amount balance basis bill board branch buyer cargo claim clause client coast copper cost "
    "date deal deed depot draft due duty entry fee file form freight fund grade grain grant hour "
    "index invoice item kilo lease ledger letter limit line loan margin market notice offer order "
    "parcel part party port price quote rail rate receipt rent road route sale seal share term "
    "ton total trade train transit truck unit value vendor volume week yard yield"
)
_WORDS = tuple(_WORD_TEXT.split())


class Prompt(NamedTuple):
    """Parsed body of a completion request.

    `has_token_limit` is whether the request names a maximum number of output tokens.
    """

    text: str
    model: str
    output_tokens: int
    stream: bool
    chat: bool
    has_token_limit: bool

    @classmethod
    def from_body(cls, body: dict[str, Any], chat: bool) -> "Prompt":
        """Parse the body of an OpenAI request. Raises BadRequestError if it is malformed."""
        text = _chat_text(body) if chat else _completion_text(body)
        model = body.get("model")
        if not isinstance(model, str):
            raise BadRequestError("model is missing")
        limit = body.get("max_completion_tokens")
        if limit is None:
            limit = body.get("max_tokens")
        if limit is None:
            output_tokens = 16 + hashlib.sha256(text.encode("utf-8", "replace")).digest()[0] % 48
        elif isinstance(limit, int) and 1 <= limit <= MAX_OUTPUT_TOKENS:
            output_tokens = limit
        else:
            raise BadRequestError(f"max_tokens is not from 1 to {MAX_OUTPUT_TOKENS}")
        return cls(text, model, output_tokens, bool(body.get("stream")), chat, limit is not None)

    @property
    def tokens(self) -> int:
        return max(1, -(-len(self.text.encode("utf-8", "replace")) // BYTES_PER_TOKEN))

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The hex SHA-256 of each prefix of the text whose length is a multiple of 256 bytes."""
        raw = self.text.encode("utf-8", "replace")
        prefix_hash = hashlib.sha256()
        prefixes = []
        for end in range(BLOCK_BYTES, len(raw) + 1, BLOCK_BYTES):
            prefix_hash.update(raw[end - BLOCK_BYTES : end])
            prefixes.append(prefix_hash.hexdigest())
        return tuple(prefixes)


def output_words(text: str, start: int = 0) -> Iterator[str]:
    """Yield the tokens of the answer to a prompt from position `start` on, endlessly.

    Each token is chosen by a link of a hash chain that starts with the hash of the prompt.

    >>> whole = list(islice(output_words("a prompt"), 8))
    >>> whole[3:] == list(islice(output_words("a prompt", 3), 5))
    True
    """
    return islice(_hash_chain_words(text), start, None)


def output_text(text: str, tokens: int, start: int = 0) -> str:
    """Return the answer of `tokens` tokens to a prompt, without its first `start` tokens."""
    return "".join(islice(output_words(text, start), max(0, tokens - start)))


def _hash_chain_words(text: str) -> Iterator[str]:
    link_digest = hashlib.sha256(text.encode("utf-8", "replace")).digest()
    yield _WORDS[link_digest[0] % len(_WORDS)]
    while True:
        link_digest = hashlib.sha256(link_digest).digest()
        yield f" {_WORDS[link_digest[0] % len(_WORDS)]}"


def _completion_text(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and prompt:
        return "".join(map(str, prompt))
    if not isinstance(prompt, str):
        raise BadRequestError("prompt is not a text")
    return prompt


def _chat_text(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError("messages is not a list with messages")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadRequestError("a message has no role")
        parts.append(f"{message['role']}\n{_content_text(message.get('content'))}\n")
    return "".join(parts)


def _content_text(content: Any) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content if isinstance(part, dict))
    raise BadRequestError("a message's content is not a text")
