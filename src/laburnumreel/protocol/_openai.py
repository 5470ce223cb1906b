"""The OpenAI-compatible API: request bodies, error bodies and server-sent events."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.state import ErrorKind, Refusal

BYTES_PER_TOKEN = 4
MAX_CHOICES = 16
MAX_EVENT_BYTES = 1 << 20
DONE = b"[DONE]"

_ROLES = ("system", "developer", "user", "assistant", "tool", "function")


class ModelRequest(NamedTuple):
    """A validated request to a model service.

    `prompt_tokens` and `output_tokens` are estimates; the engine counts the actual tokens.
    """

    chat: bool
    model: str
    stream: bool
    prompt: bytes
    prompt_tokens: int
    output_tokens: int
    choices: int
    body: dict[str, Any]


def parse_model_request(
    raw: bytes, chat: bool, default_output_tokens: int = 256
) -> Result[ModelRequest, Refusal]:
    """Validate the body of a chat completion or completion request.

    `default_output_tokens` is the estimate for each choice of a request without a token limit.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError):
        return _bad_request("The body is not valid JSON.")
    if not isinstance(body, dict):
        return _bad_request("The body is not a JSON object.")
    problem = _find_common_problem(body) or (
        _find_chat_problem(body) if chat else _find_prompt_problem(body)
    )
    if problem is not None:
        return _bad_request(problem)
    token_limit_value = _get_token_limit(body)
    choices = body.get("n") or 1
    if not chat and isinstance(body["prompt"], list) and not _is_token_list(body["prompt"]):
        choices *= len(body["prompt"])
    text = prompt_text(body, chat)
    tokens = token_limit_value if token_limit_value is not None else default_output_tokens
    return Ok(
        ModelRequest(
            chat=chat,
            model=body["model"],
            stream=bool(body.get("stream")),
            prompt=text,
            prompt_tokens=max(1, -(-len(text) // BYTES_PER_TOKEN)),
            output_tokens=tokens * choices,
            choices=choices,
            body=body,
        )
    )


def token_limit(request: ModelRequest) -> int | None:
    """Return the maximum number of output tokens that the caller requested, or None."""
    return _get_token_limit(request.body)


def prompt_text(body: dict[str, Any], chat: bool) -> bytes:
    """Return the prompt text as engines see it, from which cached prefixes are computed."""
    if not chat:
        prompt = body["prompt"]
        if isinstance(prompt, list):
            prompt = "".join(map(str, prompt))
        return prompt.encode("utf-8", "replace")
    return "".join(
        f"{message['role']}\n{_content_text(message.get('content'))}\n"
        for message in body["messages"]
    ).encode("utf-8", "replace")


def engine_body(request: ModelRequest) -> bytes:
    """Return the body that is sent to an engine, always with streaming enabled.

    A stream shows progress, so that a silent engine is detected and an answer can be resumed.
    """
    return json.dumps({**request.body, "stream": True}, separators=(",", ":")).encode()


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return the OpenAI error object for a refusal."""
    answer = refusal.answer
    message = f"{answer.message} {refusal.detail}" if refusal.detail else answer.message
    return {
        "error": {
            "message": message,
            "type": answer.type,
            "code": str(refusal.kind),
            "param": None,
        }
    }


def sse_event(payload: bytes) -> bytes:
    """Return a server-sent event with this data."""
    if b"\n" in payload or b"\r" in payload:
        return b"".join(b"data: " + line + b"\n" for line in payload.splitlines()) + b"\n"
    return b"data: " + payload + b"\n\n"


def models_body(models: list[tuple[str, str]]) -> dict[str, Any]:
    """Return the body of `/v1/models` for (model, service) pairs."""
    return {
        "object": "list",
        "data": [
            {"id": model, "object": "model", "created": 0, "owned_by": service}
            for model, service in models
        ],
    }


class EventTooLargeError(Exception):
    """A back end sent an event that is longer than `MAX_EVENT_BYTES`."""


class SseParser:
    """A parser that returns the data of each event in a byte stream.

    The stream may be split at any byte. Comments and fields other than `data` are ignored.
    `on_block` is called with the number of lines of each event or comment, and whether it has data.

    >>> parser = SseParser()
    >>> parser.feed(b"data: a")
    []
    >>> parser.feed(b"b" + bytes([10, 10]))
    [b'ab']
    """

    def __init__(
        self, on_block: Callable[[int, bool], None] = lambda lines, has_data: None
    ) -> None:
        self._buffer = bytearray()
        # Bytes at the beginning of the buffer that have no blank line.
        self._searched = 0
        self._skip_line_feed = False
        self._on_block = on_block

    def feed(self, data: bytes) -> list[bytes]:
        """Parse the next bytes and return the data of each event that they complete.

        Raises EventTooLargeError if an event is too long.
        """
        if self._skip_line_feed and data:
            self._skip_line_feed = False
            if data[0] == 0x0A:
                data = data[1:]
        if b"\r" in data:
            self._skip_line_feed = data.endswith(b"\r")
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        buffer = self._buffer
        buffer += data
        if buffer.find(b"\n\n", self._searched) < 0:
            self._check_rest()
            return []
        # The rest is no longer than `data`, so that each byte is copied a few times at most.
        *blocks, rest = bytes(buffer).split(b"\n\n")
        del buffer[: len(buffer) - len(rest)]
        self._check_rest()
        payloads = []
        for block in blocks:
            line_count = block.count(b"\n") + 1
            if line_count == 1 and block.startswith(b"data: "):
                self._on_block(1, True)
                payloads.append(block[6:])
                continue
            has_data = block.startswith(b"data:") or b"\ndata:" in block
            self._on_block(line_count, has_data)
            lines = [line for line in block.split(b"\n") if line.startswith(b"data:")]
            if lines:
                payloads.append(
                    b"\n".join(
                        line[6:] if line.startswith(b"data: ") else line[5:] for line in lines
                    )
                )
        return payloads

    def _check_rest(self) -> None:
        # The last byte may be the beginning of a blank line.
        self._searched = max(0, len(self._buffer) - 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError


class AnswerBuilder:
    """Builds a complete answer from the chunks of an engine's stream, for a caller that does not
    stream."""

    def __init__(self, chat: bool) -> None:
        self._chat = chat
        self._common_fields: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}
        self._usage: dict[str, Any] | None = None
        self._kept_bytes = 0

    @property
    def kept_bytes(self) -> int:
        """The approximate size of what was added and is a part of the answer."""
        return self._kept_bytes

    def add(self, chunk: dict[str, Any], size: int = 0) -> None:
        """Add one chunk of the stream, which came in an event of `size` bytes."""
        self._kept_bytes += self._kept_size(chunk, size)
        if not self._common_fields:
            self._common_fields = {
                key: chunk[key] for key in ("id", "created", "model") if key in chunk
            }
            if chunk.get("system_fingerprint"):
                self._common_fields["system_fingerprint"] = chunk["system_fingerprint"]
        if chunk.get("usage"):
            self._usage = chunk["usage"]
        for choice in chunk.get("choices") or ():
            self._add_choice(choice)

    def _kept_size(self, chunk: dict[str, Any], size: int) -> int:
        """Return how much of a chunk is kept: all of it, unless it only has a text."""
        choices = chunk.get("choices") or ()
        if not self._common_fields or chunk.get("usage") or len(choices) != 1:
            return size
        choice = choices[0]
        delta = choice.get("delta") or {}
        if choice.get("logprobs") or delta.keys() - {"role", "content"}:
            return size
        return min(size, len(str(choice.get("text") or delta.get("content") or "")))

    def answer(self) -> dict[str, Any]:
        """Return the complete answer."""
        kind = "chat.completion" if self._chat else "text_completion"
        choices = [self._choices[index] for index in sorted(self._choices)]
        answer = {**self._common_fields, "object": kind, "choices": choices}
        if self._usage is not None:
            answer["usage"] = self._usage
        return answer

    def _add_choice(self, choice: dict[str, Any]) -> None:
        index = choice.get("index", 0)
        merged_choice = self._choices.get(index)
        if merged_choice is None:
            merged_choice = {"index": index, "finish_reason": None, "logprobs": None}
            if self._chat:
                merged_choice["message"] = {"role": "assistant", "content": None}
            else:
                merged_choice["text"] = ""
            self._choices[index] = merged_choice
        if choice.get("finish_reason") is not None:
            merged_choice["finish_reason"] = choice["finish_reason"]
        if choice.get("logprobs"):
            merged_choice["logprobs"] = _merge_fields(merged_choice["logprobs"], choice["logprobs"])
        if self._chat:
            merged_choice["message"] = _merge_fields(
                merged_choice["message"], choice.get("delta") or {}
            )
        else:
            merged_choice["text"] += choice.get("text") or ""


def _merge_fields(old: dict[str, Any] | None, part: dict[str, Any]) -> dict[str, Any]:
    merged = dict(old or {})
    for name, value in part.items():
        old_value = merged.get(name)
        if value is None or name == "role":
            merged[name] = value or old_value
        elif name == "tool_calls":
            merged[name] = _merge_tool_calls(old_value or [], value)
        elif any(isinstance(old_value, kind) and isinstance(value, kind) for kind in (str, list)):
            merged[name] = old_value + value
        elif isinstance(old_value, dict) and isinstance(value, dict):
            merged[name] = _merge_fields(old_value, value)
        else:
            merged[name] = value
    return merged


def _merge_tool_calls(old: list[dict[str, Any]], new: list[dict[str, Any]]) -> list[dict[str, Any]]:
    calls = dict(enumerate(old))
    for part in new:
        index = part.get("index", len(calls))
        fields = {name: value for name, value in part.items() if name != "index"}
        call = calls.get(index, {})
        # Names and ids are never split; only arguments are.
        function = _merge_fields(
            {"arguments": "", **call.get("function", {})}, fields.pop("function", {}) or {}
        )
        calls[index] = {**call, **fields, "function": function}
    return [calls[index] for index in sorted(calls)]


def _find_common_problem(body: dict[str, Any]) -> str | None:
    if not isinstance(body.get("model"), str) or not body["model"]:
        return "model must be a text that is not empty."
    if not isinstance(body.get("stream"), bool | None):
        return "stream must be true or false."
    for name in ("max_tokens", "max_completion_tokens"):
        if (value := body.get(name)) is not None and not (_is_integer(value) and value >= 1):
            return f"{name} must be a whole number of at least 1."
    choices = body.get("n")
    if choices is not None and not (_is_integer(choices) and 1 <= choices <= MAX_CHOICES):
        return f"n must be a whole number from 1 to {MAX_CHOICES}."
    for name, minimum, maximum in (("temperature", 0, 2), ("top_p", 0, 1)):
        value = body.get(name)
        if value is not None and not (_is_number(value) and minimum <= value <= maximum):
            return f"{name} must be a number from {minimum} to {maximum}."
    return None


def _find_chat_problem(body: dict[str, Any]) -> str | None:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages must be a list that is not empty."
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            return f"messages[{index}] must be an object."
        if message.get("role") not in _ROLES:
            return f"messages[{index}].role must be one of {', '.join(_ROLES)}."
        content = message.get("content")
        if not isinstance(content, str | list | None):
            return f"messages[{index}].content must be a text or a list of parts."
        if content is None and message["role"] != "assistant":
            return f"messages[{index}].content is missing."
    return None


def _find_prompt_problem(body: dict[str, Any]) -> str | None:
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return None
    if not isinstance(prompt, list) or not prompt:
        return "prompt must be a text, or a list of texts or tokens that is not empty."
    if _is_token_list(prompt):
        return None
    if len(prompt) > MAX_CHOICES:
        return f"prompt must have at most {MAX_CHOICES} entries."
    if not all(isinstance(part, str) or (part and _is_token_list(part)) for part in prompt):
        return "prompt must be a text, or a list of texts or tokens."
    return None


def _get_token_limit(body: dict[str, Any]) -> int | None:
    limit = body.get("max_completion_tokens")
    return body.get("max_tokens") if limit is None else limit


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return content or ""


def _is_token_list(value: Any) -> bool:
    return isinstance(value, list) and all(_is_integer(item) and item >= 0 for item in value)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _bad_request(detail: str) -> Result[Any, Refusal]:
    return Error(Refusal(ErrorKind.BAD_REQUEST, detail))
