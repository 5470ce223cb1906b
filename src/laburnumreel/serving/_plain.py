"""Requests to plain services, whose method, status, headers and body are passed through."""

from collections.abc import Iterator
from typing import NamedTuple

from laburnumreel.coordination import BackEnd
from laburnumreel.protocol import answer_headers
from laburnumreel.serving._attempts import AttemptRunner
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._hedging import BackEndRequest, Outcome
from laburnumreel.serving._job import Job
from laburnumreel.state import ErrorKind, Refusal, UsageCount
from laburnumreel.transport import BackEndFailureError, Exchange

# An answer up to this size is forwarded only when it is complete, so that a broken one can be
# retried or answered with an error. A larger one is forwarded as it arrives.
MAX_BUFFERED_BYTES = 256 * 1024
REFUSAL_STATUS = 503


class PlainRequest(NamedTuple):
    """A request to a back end. Its headers do not contain the caller's key."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlainAnswer(NamedTuple):
    """The head of a back end's answer and the beginning of its body."""

    status: int
    headers: list[tuple[str, str]]
    first_bytes: bytes
    is_complete: bool
    content_length: int | None


class PlainRun:
    """One request to a plain service."""

    def __init__(
        self,
        deps: GatewayDependencies,
        job: Job,
        request: PlainRequest,
        initial_back_end: BackEnd | None = None,
    ) -> None:
        self._deps = deps
        self._job = job
        self._request = request
        self._attempts = AttemptRunner(deps, job, self, initial_back_end)
        self._held = deps.answer_memory.open()

    @property
    def may_have_run(self) -> bool:
        return self._attempts.may_have_run

    @property
    def delivered_tokens(self) -> int:
        return 0

    def make_request(self) -> BackEndRequest:
        method, target, headers, body = self._request
        return BackEndRequest(method, target, headers, body or None)

    def make_judge(self) -> "_BodyJudge":
        return _BodyJudge()

    def start(self) -> PlainAnswer:
        """Return the head and the beginning of the answer.

        Raises RequestFailedError if no back end answers.
        """
        while True:
            exchange = self._attempts.open()
            try:
                self._attempts.send()
                if exchange.status == REFUSAL_STATUS and self._job.is_repeatable:
                    detail = "The back end answered 503."
                    self._attempts.on_refused(exchange.header("Retry-After"), detail)
                    continue
                return self._read_beginning(exchange)
            except BackEndFailureError as error:
                self._held.release()
                self._attempts.on_lost(error)
            except BaseException:
                self.close()
                raise

    def read_remaining(self) -> Iterator[bytes]:
        """Yield the rest of an answer that `start` did not read completely.

        Raises RequestFailedError if the answer breaks off.
        """
        self._attempts.pin_back_end()
        try:
            while data := self._attempts.read():
                yield data
            self._finish()
        except BackEndFailureError as error:
            raise self._attempts.make_error(_refusal_for(error)) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the exchange if it is still open."""
        self._held.release()
        self._attempts.abandon()

    def _read_beginning(self, exchange: Exchange) -> PlainAnswer:
        headers = answer_headers(exchange.headers)
        content_length = exchange.header("Content-Length")
        first_bytes, is_complete = bytearray(), False
        while len(first_bytes) < _forward_threshold_bytes(exchange):
            data = self._attempts.read()
            if not data:
                is_complete = True
                break
            first_bytes += data
            if not self._held.hold(len(first_bytes)):
                # Without memory for more, it is forwarded as it arrives.
                break
        answer = PlainAnswer(
            exchange.status,
            headers,
            bytes(first_bytes),
            is_complete,
            (
                int(content_length)
                if content_length is not None and content_length.isdigit()
                else None
            ),
        )
        # It goes to the connection at once.
        self._held.release()
        if is_complete:
            self._finish()
        return answer

    def _finish(self) -> None:
        self._deps.dispatcher.on_success(self._job.service.name)
        work = self._job.work
        if work.customer:
            count = UsageCount(work.customer, work.service, 1, 0, 0)
            self._deps.usage.count(self._job.running.request_id, count)
        self._attempts.finish()


class _BodyJudge:
    """Evaluates the answer to a hedged request, which is usable once it can be forwarded."""

    def __init__(self) -> None:
        self._remaining_bytes = 0
        self._is_failure = False

    def judge_head(self, exchange: Exchange) -> Outcome:
        if exchange.status == REFUSAL_STATUS:
            return "refused"
        self._remaining_bytes = _forward_threshold_bytes(exchange)
        self._is_failure = exchange.status >= 500
        return "awaited"

    def judge_body(self, data: bytes) -> Outcome:
        self._remaining_bytes -= len(data)
        if data and self._remaining_bytes > 0:
            return "awaited"
        return "failed" if self._is_failure else "answers"


def _forward_threshold_bytes(exchange: Exchange) -> int:
    """Return how many bytes of an answer are read before it is forwarded: 1 for event streams."""
    is_event_stream = (exchange.header("Content-Type") or "").startswith("text/event-stream")
    return 1 if is_event_stream else MAX_BUFFERED_BYTES


def _refusal_for(error: BackEndFailureError) -> Refusal:
    is_silent = error.reason == "silent"
    return Refusal(ErrorKind.BACK_END_TIMEOUT if is_silent else ErrorKind.INCOMPLETE_ANSWER)
