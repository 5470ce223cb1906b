"""Answers of an engine: OpenAI response bodies and streams of server-sent events."""

import json
import queue
import time
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from laburnumreel_standins._engine_model import Progress
from laburnumreel_standins._http import Channel, DropConnectionError
from laburnumreel_standins._request_log import Run
from laburnumreel_standins._text import Prompt, output_text, output_words

DISCONNECT_POLL_S = 0.25


class AnswerStream:
    """One run of a request, used by its request thread.

    The thread of the model sends `Progress` values by the queue. `start_token` is the number of
    tokens that a resumed answer skips; `break_after` is the number of tokens after which the
    connection is dropped, or None.
    """

    def __init__(
        self,
        request_id: str,
        prompt: Prompt,
        start_token: int,
        progress_queue: "queue.SimpleQueue[Progress]",
        channel: Channel,
        cancel: Callable[[], None],
        run: Run,
        break_after: int | None = None,
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.start_token = start_token
        self.cached_tokens = 0
        self._progress_queue = progress_queue
        self._channel = channel
        self._cancel = cancel
        self._run = run
        self._break_after = break_after

    @property
    def finish_reason(self) -> str:
        return "length" if self.prompt.has_token_limit else "stop"

    @property
    def usage(self) -> dict[str, Any]:
        """The usage of the whole answer, including tokens that a resumed answer skips."""
        prompt_tokens, output_tokens = self.prompt.tokens, self.prompt.output_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def new_token_counts(self) -> Iterator[int]:
        """Yield the number of new tokens each time there are any, until the answer is complete.

        Raises DropConnectionError if the run ends early or the caller has disconnected.
        """
        known_tokens = self.start_token
        try:
            while True:
                progress = self._next_progress()
                if progress.end in ("cancelled", "interrupted"):
                    self._run.outcome = progress.end
                    raise DropConnectionError
                self.cached_tokens = progress.cached_tokens
                new_tokens = progress.tokens - known_tokens
                known_tokens = progress.tokens
                self._run.tokens += new_tokens
                if new_tokens:
                    yield new_tokens
                if (
                    self._break_after is not None
                    and known_tokens - self.start_token >= self._break_after
                ):
                    self._run.outcome = "interrupted"
                    raise DropConnectionError
                if progress.end:
                    self._run.outcome = progress.end
                    return
        finally:
            if self._run.outcome == "running":
                self._run.outcome = "gone"
            self._cancel()

    def events(self) -> Iterator[bytes]:
        """Yield the encoded events of the stream, with one event for each token."""
        words = output_words(self.prompt.text, self.start_token)
        chat = self.prompt.chat
        prefix, suffix = self._token_event_frame()
        if chat:
            yield _encode_event(
                self._make_chunk([_make_choice(chat, {"role": "assistant", "content": ""})])
            )
        for count in self.new_token_counts():
            yield b"".join(
                prefix + json.dumps(word).encode() + suffix for word in islice(words, count)
            )
        last_choice = _make_choice(chat, {} if chat else "", self.finish_reason)
        yield (
            _encode_event(self._make_chunk([last_choice]))
            + _encode_event({**self._make_chunk([]), "usage": self.usage})
            + b"data: [DONE]\n\n"
        )

    def _next_progress(self) -> Progress:
        while True:
            try:
                return self._progress_queue.get(timeout=DISCONNECT_POLL_S)
            except queue.Empty:
                if not self._channel.connected:
                    raise DropConnectionError from None

    def _token_event_frame(self) -> tuple[bytes, bytes]:
        """Return the bytes that precede and follow the token in the event of a token."""
        placeholder = "TOKEN"
        delta = {"content": placeholder} if self.prompt.chat else placeholder
        event = _encode_event(self._make_chunk([_make_choice(self.prompt.chat, delta)]))
        prefix, suffix = event.split(json.dumps(placeholder).encode())
        return prefix, suffix

    def _make_chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        object_type = "chat.completion.chunk" if self.prompt.chat else "text_completion"
        return {
            "choices": choices,
            "id": self.request_id,
            "object": object_type,
            "created": int(time.time()),
            "model": self.prompt.model,
        }


def whole_answer(stream: AnswerStream) -> dict[str, Any]:
    """Wait until the answer is complete and return its body as a JSON object."""
    for _ in stream.new_token_counts():
        pass
    prompt = stream.prompt
    text = output_text(prompt.text, prompt.output_tokens, stream.start_token)
    choice: dict[str, Any] = {"index": 0, "finish_reason": stream.finish_reason, "logprobs": None}
    if prompt.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": stream.request_id,
        "object": "chat.completion" if prompt.chat else "text_completion",
        "created": int(time.time()),
        "model": prompt.model,
        "choices": [choice],
        "usage": stream.usage,
    }


def _make_choice(
    chat: bool, delta: dict[str, Any] | str, reason: str | None = None
) -> dict[str, Any]:
    text_field = "delta" if chat else "text"
    return {"index": 0, text_field: delta, "finish_reason": reason, "logprobs": None}


def _encode_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
