"""Requests to model services: one stream of chunks, resumed across engines."""

import copy
import json
from collections.abc import Iterator
from typing import Any

from laburnumreel.coordination import BackEnd
from laburnumreel.core import HeldAnswer
from laburnumreel.protocol import DONE, EventTooLargeError, ModelRequest, engine_body, token_limit
from laburnumreel.serving._attempts import AttemptRunner
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._hedging import BackEndRequest, Outcome
from laburnumreel.serving._job import Job
from laburnumreel.serving._repeat_detector import RepeatDetector
from laburnumreel.serving._stream_segment import StreamEvent, StreamSegment
from laburnumreel.state import ErrorKind, Refusal, UsageCount
from laburnumreel.transport import (
    BackEndFailureError,
    CostlyAnswerError,
    EventAllowance,
    Exchange,
)

# Wait for the end of the answer after its final event, so that the connection can be reused.
DRAIN_TIMEOUT_S = 0.05
MAX_ERROR_BYTES = 4096
# How long to wait for the body of an error response after its head.
ERROR_READ_TIMEOUT_S = 0.5
# Prompt tokens that an engine may count beyond one for each byte of the prompt.
MAX_TEMPLATE_TOKENS = 4096
_REFUSAL_STATUSES = (404, 409, 425, 429, 503)


class ModelRun:
    """One request to a model service.

    `events` yields the events of the answer as they arrive, in one list for each read, and resumes
    on another engine after the last token that it yielded. The events that end an answer are held
    back until `[DONE]` is received, so that a resumed stream does not end twice.
    """

    def __init__(
        self,
        deps: GatewayDependencies,
        job: Job,
        request: ModelRequest,
        initial_back_end: BackEnd | None = None,
    ) -> None:
        self._deps = deps
        self._job = job
        self._target = "/v1/chat/completions" if request.chat else "/v1/completions"
        self._request = request
        self._body = engine_body(request)
        self._attempts = AttemptRunner(deps, job, self, initial_back_end)
        self._tokens = 0
        # How many of these tokens the current engine has sent.
        self._segment_tokens = 0
        self._has_begun = False
        self._repeat_detector = RepeatDetector()
        self._usage: dict[str, Any] = {}
        self._is_counted = False
        self._held = self._open_account()
        # What the caller of `events` keeps of the answer, in bytes; counted as held.
        self.kept_bytes = 0

    @property
    def may_have_run(self) -> bool:
        return self._attempts.may_have_run

    @property
    def delivered_tokens(self) -> int:
        return self._tokens

    def make_request(self) -> BackEndRequest:
        headers = {"Content-Type": "application/json", "Accept": "text/event-stream"}
        headers["X-Priority"] = str(self._job.work.priority)
        if self._tokens:
            headers["X-Resume-From"] = str(self._tokens)
        return BackEndRequest("POST", self._target, headers, self._body)

    def make_judge(self) -> "_StreamJudge":
        repeat_detector = copy.deepcopy(self._repeat_detector)
        segment = StreamSegment(
            self._job.running.request_id, repeat_detector, self._has_begun, self._event_allowance()
        )
        return _StreamJudge(segment, self._has_begun)

    @property
    def tokens(self) -> int:
        """The tokens that the request used: prompt plus output."""
        count = self._make_usage_count()
        return count.prompt_tokens + count.output_tokens

    def events(self) -> Iterator[list[StreamEvent]]:
        """Yield the events of the answer. Raises RequestFailedError if it cannot be completed."""
        try:
            while True:
                exchange = self._attempts.open()
                self._segment_tokens = 0
                try:
                    if self._send_request(exchange):
                        yield from self._read_events(exchange)
                        return
                except BackEndFailureError as error:
                    self._on_lost(error)
                except EventTooLargeError:
                    self._on_lost(BackEndFailureError("lost", "an event is too large", True))
                except CostlyAnswerError as error:
                    self._on_lost(exchange.make_costly_failure(error))
        finally:
            self._held.release()
            self._attempts.abandon()
            if self._tokens:
                self.count_usage()

    def count_usage(self) -> None:
        """Count the usage of the request. Further calls have no effect."""
        if not self._is_counted:
            self._is_counted = True
            self._deps.usage.count(self._job.running.request_id, self._make_usage_count())

    def _on_lost(self, error: BackEndFailureError) -> None:
        if self._held.is_ended:
            # Its exchange was aborted, which looks like a loss.
            error = self._no_memory_error()
        self._held.release()
        self._held = self._open_account()
        self._attempts.on_lost(error, self._segment_tokens > 0)

    def _send_request(self, exchange: Exchange) -> bool:
        self._attempts.send()
        if exchange.status == 200:
            return True
        self._attempts.stop_tolerating_silence()
        detail = _read_error(exchange)
        if exchange.status in _REFUSAL_STATUSES:
            retry_after = exchange.header("Retry-After")
            self._attempts.on_refused(retry_after, detail)
            return False
        # If another engine has run the request, an engine that calls it malformed is at fault.
        if _is_rejection(exchange.status) and not self._has_begun:
            raise self._attempts.on_rejected(detail)
        raise BackEndFailureError("lost", f"status {exchange.status}", True)

    def _read_events(self, exchange: Exchange) -> Iterator[list[StreamEvent]]:
        segment = StreamSegment(
            self._job.running.request_id,
            self._repeat_detector,
            self._has_begun,
            self._event_allowance(),
        )
        while True:
            data = self._attempts.read()
            if not data:
                raise BackEndFailureError("short", "the stream has no final event", True)
            try:
                done = segment.feed(data)
            except BackEndFailureError:
                # Valid events earlier in the same read are counted and sent to the caller.
                if ready := self._take_events(segment):
                    yield ready
                raise
            ready = self._take_events(segment)
            if done:
                if segment.needs_count_check:
                    self._check_token_count()
                self.count_usage()
                self._deps.dispatcher.on_success(self._job.service.name)
                try:
                    yield [*ready, *segment.final_events, (DONE, {})]
                finally:
                    self._finish(exchange)
                return
            if ready:
                yield ready
            self._hold(segment.held_bytes + self.kept_bytes)

    def _open_account(self) -> HeldAnswer:
        return self._deps.answer_memory.open(self._attempts.abort)

    def _hold(self, size: int) -> None:
        """Count `size` bytes as held, or raise BackEndFailureError if the memory is full."""
        if size != self._held.size and not self._held.hold(size):
            raise self._no_memory_error()

    def _no_memory_error(self) -> BackEndFailureError:
        detail = f"answers fill the memory for them; this one held {self._held.size} bytes"
        return BackEndFailureError("too_long", detail, True)

    def _take_events(self, segment: StreamSegment) -> list[StreamEvent]:
        """Return the events of a part that are ready for the caller, and count their tokens."""
        ready, tokens = segment.take_ready()
        if ready:
            self._attempts.cancel_hedges()
        if tokens and self._segment_tokens == 0:
            self._attempts.on_first_token()
        self._segment_tokens += tokens
        self._tokens += tokens
        self._has_begun = self._has_begun or bool(ready)
        self._usage = segment.usage or self._usage
        return ready

    @property
    def _engine_output_tokens(self) -> int:
        """The output tokens of the whole answer as counted by the engine, or 0 if unknown."""
        counted = self._usage.get("completion_tokens")
        if counted is None:
            return 0
        return _bounded_int(counted, 0, self._max_output_tokens)

    @property
    def _max_output_tokens(self) -> int:
        limit = token_limit(self._request) or self._job.profile.max_tokens
        return limit * self._request.choices

    def _event_allowance(self) -> EventAllowance:
        return EventAllowance(self._max_output_tokens)

    def _check_token_count(self) -> None:
        """Raise RequestFailedError if the engine's token count shows that it restarted the answer."""
        if 0 < self._engine_output_tokens < self._tokens:
            raise self._attempts.make_error(Refusal(ErrorKind.BACK_END_LOST))

    def _finish(self, exchange: Exchange) -> None:
        """Close an exchange after its final event."""
        self._attempts.stop_tolerating_silence()
        try:
            exchange.set_timeout(DRAIN_TIMEOUT_S)
            exchange.read()
        except BackEndFailureError:
            # The answer is complete; only the connection cannot be reused.
            exchange.abort()
        self._attempts.finish()

    def _make_usage_count(self) -> UsageCount:
        work = self._job.work
        return UsageCount(
            customer=work.customer,
            service=work.service,
            requests=1,
            prompt_tokens=_bounded_int(
                self._usage.get("prompt_tokens"),
                work.prompt_tokens,
                work.prompt_bytes + MAX_TEMPLATE_TOKENS,
            ),
            output_tokens=max(self._tokens, self._engine_output_tokens),
        )


class _StreamJudge:
    """Evaluates the answer to a hedged request, which is usable once it has a token or its end."""

    def __init__(self, segment: StreamSegment, has_begun: bool) -> None:
        self._segment = segment
        self._has_begun = has_begun

    def judge_head(self, exchange: Exchange) -> Outcome:
        if exchange.status == 200:
            return "awaited"
        if exchange.status in _REFUSAL_STATUSES:
            return "refused"
        return "answers" if _is_rejection(exchange.status) and not self._has_begun else "useless"

    def judge_body(self, data: bytes) -> Outcome:
        if not data:
            return "useless"
        try:
            done = self._segment.feed(data)
        except EventTooLargeError:
            return "useless"
        return "answers" if done or self._segment.take_ready()[1] else "awaited"


def _is_rejection(status: int) -> bool:
    return 400 <= status < 500


def _read_error(exchange: Exchange) -> str:
    """Return the message in an error body, or an empty string if it does not arrive in time.

    The status alone decides how the error is handled.
    """
    data = b""
    exchange.set_timeout(ERROR_READ_TIMEOUT_S)
    try:
        while len(data) < MAX_ERROR_BYTES:
            data_part = exchange.read()
            if not data_part:
                break
            data += data_part
    except BackEndFailureError:
        return ""
    try:
        message = json.loads(data)["error"]["message"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return ""
    return str(message)[:500]


def _bounded_int(value: Any, default: int, maximum: int) -> int:
    return value if isinstance(value, int) and 0 <= value <= maximum else default
