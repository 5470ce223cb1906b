"""Requests to model services: one stream of chunks, over as many engines as it takes."""

import copy
import json
from collections.abc import Iterator
from typing import Any

from laburnumreel.coordination import BackEnd
from laburnumreel.protocol import DONE, EventTooLargeError, ModelRequest, engine_body, token_limit
from laburnumreel.serving._answer_part import AnswerPart, Event
from laburnumreel.serving._attempts import Attempts
from laburnumreel.serving._beginning import Beginning
from laburnumreel.serving._job import Job
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._second_sends import Outcome, Request
from laburnumreel.state import ErrorKind, Refusal, UsageCount
from laburnumreel.transport import BackEndFailureError, Exchange

# How long to wait for the end of an answer whose final event has come, to use the connection again.
DRAIN_S = 0.05
MAX_ERROR_BYTES = 4096
# How long to wait for the text of an error whose head has come.
ERROR_READ_S = 0.5
# What an engine may count beyond one token for each byte of a prompt.
TEMPLATE_TOKENS = 4096
_REFUSING = (404, 409, 425, 429, 503)


class ModelRun:
    """One request to a model service.

    `events` yields the events of the answer as they come, those of one read together, and resumes
    on another engine after the last token it has yielded. The events that end an answer are held
    back until `[DONE]` has come, so that a resumed stream does not end twice.
    """

    def __init__(
        self, parts: Parts, job: Job, request: ModelRequest, first: BackEnd | None = None
    ) -> None:
        self._parts = parts
        self._job = job
        self._target = "/v1/chat/completions" if request.chat else "/v1/completions"
        self._request = request
        self._body = engine_body(request)
        self._attempts = Attempts(parts, job, self, first)
        self._tokens = 0
        # The tokens of these that the present engine has sent.
        self._part_tokens = 0
        self._begun = False
        self._beginning = Beginning()
        self._usage: dict[str, Any] = {}
        self._counted = False

    @property
    def may_have_run(self) -> bool:
        return self._attempts.may_have_run

    @property
    def delivered(self) -> int:
        return self._tokens

    def request(self) -> Request:
        headers = {"Content-Type": "application/json", "Accept": "text/event-stream"}
        headers["X-Priority"] = str(self._job.work.priority)
        if self._tokens:
            headers["X-Resume-From"] = str(self._tokens)
        return Request("POST", self._target, headers, self._body)

    def judge(self) -> "_Judge":
        beginning = copy.deepcopy(self._beginning)
        part = AnswerPart(self._job.running.request_id, beginning, resumed=self._begun)
        return _Judge(part, self._begun)

    @property
    def tokens(self) -> int:
        """The service received: prompt and output tokens."""
        count = self._count()
        return count.prompt_tokens + count.output_tokens

    def events(self) -> Iterator[list[Event]]:
        """Yield the answer's events. Raises RequestFailedError where it cannot be completed."""
        try:
            while True:
                exchange = self._attempts.open()
                self._part_tokens = 0
                try:
                    if self._send(exchange):
                        yield from self._read(exchange)
                        return
                except BackEndFailureError as error:
                    self._lost(error)
                except EventTooLargeError:
                    self._lost(BackEndFailureError("lost", "an event is too large", True))
        finally:
            self._attempts.abandon()
            if self._tokens:
                self.count_usage()

    def count_usage(self) -> None:
        """Count the request's usage once."""
        if not self._counted:
            self._counted = True
            self._parts.usage.count(self._job.running.request_id, self._count())

    def _lost(self, error: BackEndFailureError) -> None:
        self._attempts.lost(error, self._part_tokens > 0)

    def _send(self, exchange: Exchange) -> bool:
        self._attempts.send()
        if exchange.status == 200:
            return True
        self._attempts.end_patience()
        detail = _read_error(exchange)
        if exchange.status in _REFUSING:
            retry_after = exchange.header("Retry-After")
            self._attempts.refused(retry_after, detail)
            return False
        # An engine that takes a request to be malformed which another one has run is at fault itself.
        if _rejects(exchange.status) and not self._begun:
            raise self._attempts.rejected(detail)
        raise BackEndFailureError("lost", f"status {exchange.status}", True)

    def _read(self, exchange: Exchange) -> Iterator[list[Event]]:
        part = AnswerPart(self._job.running.request_id, self._beginning, resumed=self._begun)
        while True:
            data = self._attempts.read()
            if not data:
                raise BackEndFailureError("short", "the stream has no final event", True)
            try:
                done = part.feed(data)
            except BackEndFailureError:
                # What came before in the same read is counted, and goes to the caller.
                if ready := self._take(part):
                    yield ready
                raise
            ready = self._take(part)
            if done:
                if part.only_count_tells:
                    self._check_count()
                self.count_usage()
                self._parts.dispatcher.succeeded(self._job.service.name)
                try:
                    yield [*ready, *part.held, (DONE, {})]
                finally:
                    self._finish(exchange)
                return
            if ready:
                yield ready

    def _take(self, part: AnswerPart) -> list[Event]:
        """Count what a part of the answer has for the caller, and return it."""
        ready, tokens = part.take()
        if ready:
            self._attempts.settle()
        if tokens and self._part_tokens == 0:
            self._attempts.first_token()
        self._part_tokens += tokens
        self._tokens += tokens
        self._begun = self._begun or bool(ready)
        self._usage = part.usage or self._usage
        return ready

    @property
    def _counted_tokens(self) -> int:
        """The output tokens of the whole answer by the engine's count, 0 where there is none."""
        counted = self._usage.get("completion_tokens")
        if counted is None:
            return 0
        limit = token_limit(self._request) or self._job.profile.max_tokens
        return _whole(counted, 0, limit * self._request.choices)

    def _check_count(self) -> None:
        """Fail where the engine's own count shows that it has begun the answer anew."""
        if 0 < self._counted_tokens < self._tokens:
            raise self._attempts.failure(Refusal(ErrorKind.BACK_END_LOST))

    def _finish(self, exchange: Exchange) -> None:
        """End an exchange whose final event has come."""
        self._attempts.end_patience()
        try:
            exchange.set_timeout(DRAIN_S)
            exchange.read()
        except BackEndFailureError:
            # The answer is complete; only the connection cannot be used again.
            exchange.abort()
        self._attempts.done()

    def _count(self) -> UsageCount:
        work = self._job.work
        return UsageCount(
            customer=work.customer,
            service=work.service,
            requests=1,
            prompt_tokens=_whole(
                self._usage.get("prompt_tokens"),
                work.prompt_tokens,
                work.prompt_bytes + TEMPLATE_TOKENS,
            ),
            output_tokens=max(self._tokens, self._counted_tokens),
        )


class _Judge:
    """Judges an answer of a second engine, which is taken when it has a token or its end."""

    def __init__(self, part: AnswerPart, begun: bool) -> None:
        self._part = part
        self._begun = begun

    def head(self, exchange: Exchange) -> Outcome:
        if exchange.status == 200:
            return "awaited"
        if exchange.status in _REFUSING:
            return "refused"
        return "answers" if _rejects(exchange.status) and not self._begun else "useless"

    def body(self, data: bytes) -> Outcome:
        if not data:
            return "useless"
        try:
            done = self._part.feed(data)
        except EventTooLargeError:
            return "useless"
        return "answers" if done or self._part.take()[1] else "awaited"


def _rejects(status: int) -> bool:
    return 400 <= status < 500


def _read_error(exchange: Exchange) -> str:
    """Return the reason in an error's body, as far as it comes soon: the status has said enough."""
    data = b""
    exchange.set_timeout(ERROR_READ_S)
    try:
        while len(data) < MAX_ERROR_BYTES:
            part = exchange.read()
            if not part:
                break
            data += part
    except BackEndFailureError:
        return ""
    try:
        message = json.loads(data)["error"]["message"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return ""
    return str(message)[:500]


def _whole(value: Any, default: int, most: int) -> int:
    return value if isinstance(value, int) and 0 <= value <= most else default
