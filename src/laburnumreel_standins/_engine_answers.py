"""An engine's answers: OpenAI bodies and streams of server-sent events."""

import json
import queue
import time
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from laburnumreel_standins._engine_model import Progress
from laburnumreel_standins._http import Channel, DropConnectionError
from laburnumreel_standins._requests_seen import Run
from laburnumreel_standins._text import Prompt, output_text, output_words

DISCONNECT_POLL_S = 0.25


class Stream:
    """One run of a request as its thread sees it: tokens come by a queue from the model."""

    def __init__(
        self,
        request_id: str,
        prompt: Prompt,
        start: int,
        progress: "queue.SimpleQueue[Progress]",
        channel: Channel,
        cancel: Callable[[], None],
        run: Run,
        break_after: int | None = None,
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.start = start
        self.cached_tokens = 0
        self._progress = progress
        self._channel = channel
        self._cancel = cancel
        self._run = run
        self._break_after = break_after

    @property
    def finish_reason(self) -> str:
        return "length" if self.prompt.limited else "stop"

    @property
    def usage(self) -> dict[str, Any]:
        """The usage of the whole answer: a resumed one includes the tokens that it skipped."""
        prompt_tokens, output_tokens = self.prompt.tokens, self.prompt.output_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def counts(self) -> Iterator[int]:
        """Yield how many tokens are new, each time there are some, until the answer is complete.

        An answer that ends early, or a caller who has gone, raises DropConnectionError.
        """
        produced = self.start
        try:
            while True:
                progress = self._next()
                if progress.end in ("cancelled", "interrupted"):
                    self._run.outcome = progress.end
                    raise DropConnectionError
                self.cached_tokens = progress.cached_tokens
                new = progress.tokens - produced
                produced = progress.tokens
                self._run.tokens += new
                if new:
                    yield new
                if self._break_after is not None and produced - self.start >= self._break_after:
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
        """Yield the stream's events, one for each token."""
        words = output_words(self.prompt.text, self.start)
        chat = self.prompt.chat
        before, after = self._token_frame()
        if chat:
            yield _event(self._chunk([_choice(chat, {"role": "assistant", "content": ""})]))
        for count in self.counts():
            yield b"".join(
                before + json.dumps(word).encode() + after for word in islice(words, count)
            )
        last = _choice(chat, {} if chat else "", self.finish_reason)
        yield (
            _event(self._chunk([last]))
            + _event({**self._chunk([]), "usage": self.usage})
            + b"data: [DONE]\n\n"
        )

    def _next(self) -> Progress:
        while True:
            try:
                return self._progress.get(timeout=DISCONNECT_POLL_S)
            except queue.Empty:
                if not self._channel.connected:
                    raise DropConnectionError from None

    def _token_frame(self) -> tuple[bytes, bytes]:
        """Return the bytes of a token's event before and after the token."""
        mark = "TOKEN"
        delta = {"content": mark} if self.prompt.chat else mark
        event = _event(self._chunk([_choice(self.prompt.chat, delta)]))
        before, after = event.split(json.dumps(mark).encode())
        return before, after

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        kind = "chat.completion.chunk" if self.prompt.chat else "text_completion"
        return {
            "choices": choices,
            "id": self.request_id,
            "object": kind,
            "created": int(time.time()),
            "model": self.prompt.model,
        }


def whole_answer(stream: Stream) -> dict[str, Any]:
    """Wait for the answer's end and return its body."""
    for _ in stream.counts():
        pass
    prompt = stream.prompt
    text = output_text(prompt.text, prompt.output_tokens, stream.start)
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


def _choice(chat: bool, delta: dict[str, Any] | str, reason: str | None = None) -> dict[str, Any]:
    name = "delta" if chat else "text"
    return {"index": 0, name: delta, "finish_reason": reason, "logprobs": None}


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
