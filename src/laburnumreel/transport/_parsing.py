"""Reading callers' requests, and the answers to those that can't be read."""

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask
from waitress.utilities import RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from laburnumreel.core import SystemClock
from laburnumreel.protocol import new_request_id, refusal_answer
from laburnumreel.state import ErrorKind, Refusal

# How much of a request that is refused for its size is read before the connection is closed. A
# caller that is still sending would otherwise see a reset instead of the answer.
DISCARD_LIMIT_BYTES = 16 * 1024 * 1024

_clock = SystemClock()


class Parser(HTTPRequestParser):
    """Reads on, within a limit, after a size error has decided the answer.

    `read_at` is when the request was read whole, in seconds of `SystemClock`.
    """

    def __init__(self, adj: Adjustments) -> None:
        super().__init__(adj)
        self.read_at: float | None = None
        self._discard_bytes = 0
        self._discard_to_blank_line = False
        self._tail = b""

    def received(self, data: bytes) -> int:
        if self._discard_bytes or self._discard_to_blank_line:
            return self._discard(data)
        consumed = super().received(data)
        if self.completed:
            self.read_at = _clock.now()
        if not self.completed or self.error is None:
            return consumed
        if isinstance(self.error, RequestHeaderFieldsTooLarge):
            if b"\r\n\r\n" not in self.header_plus + data:
                self._discard_to_blank_line = True
                self._discard_bytes = DISCARD_LIMIT_BYTES
                self._tail = data[-3:]
                self.completed = False
        elif isinstance(self.error, RequestEntityTooLarge) and self.content_length:
            rest = self.content_length - self.body_bytes_received - (len(data) - consumed)
            if 0 < rest <= DISCARD_LIMIT_BYTES:
                self._discard_bytes = rest
                self.completed = False
            return len(data)
        return consumed

    def _discard(self, data: bytes) -> int:
        self._discard_bytes = max(0, self._discard_bytes - len(data))
        if self._discard_to_blank_line:
            ended = b"\r\n\r\n" in self._tail + data
            self._tail = (self._tail + data)[-3:]
            self.completed = ended or not self._discard_bytes
        else:
            self.completed = not self._discard_bytes
        return len(data)


class RefusalTask(ErrorTask):
    """Answers a request that waitress cannot parse with a documented error kind."""

    def execute(self) -> None:
        error = self.request.error
        detail = getattr(error, "body", "")
        if isinstance(error, RequestEntityTooLarge):
            refusal = Refusal(ErrorKind.BODY_TOO_LARGE)
        elif isinstance(error, RequestHeaderFieldsTooLarge):
            refusal = Refusal(ErrorKind.HEADER_TOO_LARGE)
        elif getattr(error, "code", 500) == 500:
            refusal = Refusal(ErrorKind.INTERNAL)
        else:
            refusal = Refusal(ErrorKind.BAD_REQUEST, detail)
        answer = refusal_answer(refusal, new_request_id())
        self.status = answer.status
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)
