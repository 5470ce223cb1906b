"""Hedged sends: a request is sent to a second backend server while the first one is silent."""

from collections.abc import Callable
from typing import Literal

from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._job import Job
from laburnumreel.relay._send_failures import SendFailedError
from laburnumreel.transport import CostlyAnswerError, Exchange

# How much of a hedged send's answer is buffered while the first server is still awaited.
MAX_EARLY_BYTES = 256 * 1024

# State of a hedged send: no answer yet, an answer that the request can continue with, a failure
# answered by the backend server, or no usable answer.
Outcome = Literal["awaited", "answers", "failed", "useless"]


class HedgedSend:
    """A request that was sent to a second backend server.

    It owns its slot and permit until it is taken over or canceled.
    `is_continuation` returns whether the head of an answer that is no failure suits the request.
    `has_event` is called with each piece of a stream, returns whether it completes an event for the
    caller, and raises ValueError or `CostlyAnswerError` if no piece ever will. Without it, the
    request continues with whole answers only.
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
        """Send the request; if that fails, release everything and return False."""
        self._job.sends += 1
        self._job.excluded |= {self.assignment.runner.name}
        try:
            self.attempt.send_hedged()
        except SendFailedError:
            self.cancel()
            return False
        return True

    def poll(self) -> Outcome:
        """Read what has arrived of the answer, without waiting for more."""
        attempt = self.attempt
        try:
            while attempt.exchange.can_read_now:
                had_head = attempt.verdict is not None
                piece = attempt.read_early()
                if attempt.verdict is None:
                    continue
                if attempt.verdict.outcome == "failure":
                    return "failed"
                if not had_head:
                    if not self._is_continuation(attempt):
                        attempt.continuation_error(f"it was answered {attempt.exchange.status}")
                        return "useless"
                elif self._is_answer_usable(piece):
                    return "answers"
        except SendFailedError:
            return "useless"
        return "awaited"

    def _is_answer_usable(self, piece: bytes) -> bool:
        """Return whether the request can continue with the answer, whose next bytes are `piece`."""
        attempt = self.attempt
        is_enough = not piece or attempt.early_bytes >= MAX_EARLY_BYTES
        if self._has_event is None:
            return is_enough
        try:
            if self._has_event(piece):
                return True
        except ValueError as error:
            raise attempt.continuation_error(str(error)) from error
        except CostlyAnswerError as error:
            raise attempt.costly_error(error) from error
        if is_enough:
            raise attempt.continuation_error("the stream has no event")
        return False

    def cancel(self) -> None:
        """End the exchange, and release the slot."""
        self.attempt.close()
        self._job.release_slots(self.assignment)
