"""A send beside another one whose backend server is silent: which of the two answers is open."""

from collections.abc import Callable
from typing import Literal

from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._job import Job
from laburnumreel.relay._send_failures import SendFailedError
from laburnumreel.transport import Exchange

# What is read of an answer beside the wait for another one.
MAX_EARLY_BYTES = 256 * 1024

# What a second send has brought so far: nothing yet, an answer to go on with, the backend server's
# own failure, or no answer.
Outcome = Literal["awaited", "answers", "failed", "useless"]


class HedgedSend:
    """A request that was sent to a second backend server.

    It holds the place and the permit that it was sent with, until it is taken over or ended.
    `is_continuation` judges the head of an answer that is no failure; `has_event` whether what has come of a
    stream has an event that the caller can get, and raises ValueError where it never will. Without
    `has_event`, the request goes on with whole answers only.
    """

    def __init__(
        self,
        job: Job,
        assignment: Assignment,
        attempt: Attempt,
        is_continuation: Callable[[Attempt], bool] = lambda attempt: True,
        has_event: Callable[[bytes], bool] | None = None,
    ) -> None:
        self._job = job
        self._is_continuation = is_continuation
        self._has_event = has_event
        self.assignment = assignment
        self.attempt = attempt

    @property
    def exchange(self) -> Exchange:
        return self.attempt.exchange

    def start(self) -> bool:
        """Send the request; return False, with all given back, where that fails."""
        self._job.sends += 1
        self._job.excluded |= {self.assignment.runner.name}
        try:
            self.attempt.send_hedged()
        except SendFailedError:
            self.cancel()
            return False
        return True

    def poll(self) -> Outcome:
        """Take in what has come of the answer, without waiting for more."""
        attempt = self.attempt
        try:
            while attempt.exchange.has_bytes:
                had_head = attempt.verdict is not None
                is_at_end = not attempt.read_early()
                if attempt.verdict is None:
                    continue
                if attempt.verdict.outcome == "failure":
                    return "failed"
                if not had_head:
                    if not self._is_continuation(attempt):
                        attempt.continuation_error(f"it was answered {attempt.exchange.status}")
                        return "useless"
                elif self._is_answer_usable(is_at_end):
                    return "answers"
        except SendFailedError:
            return "useless"
        return "awaited"

    def _is_answer_usable(self, is_at_end: bool) -> bool:
        attempt, early_body = self.attempt, self.attempt.early_body
        if self._has_event is None:
            return is_at_end or len(early_body) >= MAX_EARLY_BYTES
        try:
            if self._has_event(early_body):
                return True
        except ValueError as error:
            raise attempt.continuation_error(str(error)) from error
        if is_at_end or len(early_body) >= MAX_EARLY_BYTES:
            raise attempt.continuation_error("the stream has no event")
        return False

    def cancel(self) -> None:
        """End the send, and give its place back."""
        self.attempt.close()
        self._job.release_slots(self.assignment)
