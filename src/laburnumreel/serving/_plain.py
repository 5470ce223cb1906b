"""Requests to plain services: method, status, headers and body are passed through."""

from collections.abc import Iterator
from typing import NamedTuple

from laburnumreel.coordination import BackEnd
from laburnumreel.protocol import answer_headers
from laburnumreel.serving._attempts import Attempts
from laburnumreel.serving._job import Job
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._second_sends import Outcome, Request
from laburnumreel.state import ErrorKind, Refusal, UsageCount
from laburnumreel.transport import BackEndFailureError, Exchange

# An answer up to this size is passed on only when it is complete, so that a broken one can be
# retried or answered with an error. What is larger is passed on as it comes.
WHOLE_ANSWER_BYTES = 256 * 1024
REFUSING = 503


class PlainRequest(NamedTuple):
    """What goes to the back end. The headers are stripped of the caller's key."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlainAnswer(NamedTuple):
    """The head of a back end's answer, and its body in pieces."""

    status: int
    headers: list[tuple[str, str]]
    first: bytes
    complete: bool
    length: int | None


class PlainRun:
    """One request to a plain service."""

    def __init__(
        self, parts: Parts, job: Job, request: PlainRequest, first: BackEnd | None = None
    ) -> None:
        self._parts = parts
        self._job = job
        self._request = request
        self._attempts = Attempts(parts, job, self, first)

    @property
    def may_have_run(self) -> bool:
        return self._attempts.may_have_run

    @property
    def delivered(self) -> int:
        return 0

    def request(self) -> Request:
        method, target, headers, body = self._request
        return Request(method, target, headers, body or None)

    def judge(self) -> "_Judge":
        return _Judge()

    def start(self) -> PlainAnswer:
        """Return the answer's head and beginning. Raises RequestFailedError without an answer."""
        while True:
            exchange = self._attempts.open()
            try:
                self._attempts.send()
                if exchange.status == REFUSING and self._job.repeatable:
                    detail = "The back end answered 503."
                    self._attempts.refused(exchange.header("Retry-After"), detail)
                    continue
                return self._begin(exchange)
            except BackEndFailureError as error:
                self._attempts.lost(error)
            except BaseException:
                self._attempts.abandon()
                raise

    def rest(self) -> Iterator[bytes]:
        """Yield the rest of an answer that `start` did not read whole."""
        self._attempts.stay()
        try:
            while data := self._attempts.read():
                yield data
            self._finish()
        except BackEndFailureError as error:
            raise self._attempts.failure(_refusal_of(error)) from error
        finally:
            self._attempts.abandon()

    def close(self) -> None:
        """End the exchange if it is still open."""
        self._attempts.abandon()

    def _begin(self, exchange: Exchange) -> PlainAnswer:
        headers = answer_headers(exchange.headers)
        length = exchange.header("Content-Length")
        first, complete = b"", False
        while len(first) < _bytes_before_passing_on(exchange):
            data = self._attempts.read()
            if not data:
                complete = True
                break
            first += data
        answer = PlainAnswer(
            exchange.status,
            headers,
            first,
            complete,
            int(length) if length is not None and length.isdigit() else None,
        )
        if complete:
            self._finish()
        return answer

    def _finish(self) -> None:
        self._parts.dispatcher.succeeded(self._job.service.name)
        work = self._job.work
        if work.customer:
            count = UsageCount(work.customer, work.service, 1, 0, 0)
            self._parts.usage.count(self._job.running.request_id, count)
        self._attempts.done()


class _Judge:
    """Judges an answer of a second back end, which is taken when it can be passed on."""

    def __init__(self) -> None:
        self._left = 0
        self._fails = False

    def head(self, exchange: Exchange) -> Outcome:
        if exchange.status == REFUSING:
            return "refused"
        self._left = _bytes_before_passing_on(exchange)
        self._fails = exchange.status >= 500
        return "awaited"

    def body(self, data: bytes) -> Outcome:
        self._left -= len(data)
        if data and self._left > 0:
            return "awaited"
        return "failed" if self._fails else "answers"


def _bytes_before_passing_on(exchange: Exchange) -> int:
    """Return how many bytes of an answer are read before a part of it is passed on."""
    as_it_comes = (exchange.header("Content-Type") or "").startswith("text/event-stream")
    return 1 if as_it_comes else WHOLE_ANSWER_BYTES


def _refusal_of(error: BackEndFailureError) -> Refusal:
    silent = error.reason == "silent"
    return Refusal(ErrorKind.BACK_END_TIMEOUT if silent else ErrorKind.INCOMPLETE_ANSWER)
