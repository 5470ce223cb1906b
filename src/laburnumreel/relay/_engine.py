"""Requests to engines: the prompt is read, possibly by a separate engine, then a stream runs."""

from collections.abc import Callable, Iterator

from laburnumreel.core import Log
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._event_stream import (
    CommentRateLimiter,
    EventSplitter,
    StreamEvent,
)
from laburnumreel.relay._events import REQUEST_RESUMED
from laburnumreel.relay._failover import Failover, Reservation, release_reservation
from laburnumreel.relay._hedged_send import HedgedSend
from laburnumreel.relay._job import Job, RelayFailedError
from laburnumreel.relay._placement_log import log_placement
from laburnumreel.relay._prompt_copies import read_prompt_at_reader, release_copy
from laburnumreel.relay._requests import Dispatch, PromptCopy, Verdict
from laburnumreel.relay._send_failures import SendFailedError, may_resend, refusal_for_failure
from laburnumreel.relay._silence_limits import (
    HEALTHY_SILENCE_S,
    event_gap_silence_limit_s,
    first_event_silence_limit_s,
    prompt_read_silence_limit_s,
)
from laburnumreel.relay._stream_position import (
    NotContinuedError,
    StreamPosition,
    heads_match,
)
from laburnumreel.relay._work import Work
from laburnumreel.state import ErrorKind
from laburnumreel.transport import CostlyAnswerError, EventAllowance, Exchange

# Maximum size of an engine's failure answer.
MAX_FAILURE_BYTES = 256 * 1024
# Copies of the beginning of an event that exist at once, while the next bytes are added to it.
INCOMPLETE_COPIES = 2
MAX_UNHELD_EVENT_BYTES = 8 * 1024

_log = Log("relay.engine")


class EngineRun:
    """One request to engines, over all its sends, and the stream of its answer."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._attempt: Attempt | None = None
        self._assignment: Assignment | None = None
        # The replacement that the request continues with after it has left a silent engine.
        self._reservation: Reservation | None = None
        self._runner_name = ""
        # The part of the prompt that the engine which runs the request has still to read.
        self._unread_work = Work()
        self._splitter = EventSplitter()
        self._comment_limiter = CommentRateLimiter()
        # How long the engine may be silent, and how long it has been silent since its last event.
        self._silent_limit_s = 0.0
        self._silent_for_s = 0.0
        self._position = StreamPosition(job.request.resume_after)
        self._ready_pieces: list[bytes] = []
        self._has_prompt_read_failed = False
        # Searches for another engine while the current one is silent.
        self._failover: Failover | None = None
        self._has_begun = False
        self._has_ended = False
        # The body of an engine's failure answer, which is passed on if no better answer arrives.
        self._failure_body = b""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.is_stream = False

    @property
    def back_end(self) -> str:
        """The engine that the request was sent to last."""
        return self._runner_name

    def start(self) -> bytes:
        """Return the first event of the stream, or the whole answer if it is not a stream.

        Raises `RelayFailedError`. `status`, `headers` and `is_stream` are set afterwards.
        """
        try:
            return self._start()
        except BaseException:
            self.close()
            raise

    def remaining_events(self) -> Iterator[bytes]:
        """Yield the events after the first; raise `RelayFailedError` if the stream is lost."""
        try:
            while True:
                try:
                    while (piece := self._next_events()) is not None:
                        yield piece
                    return
                except SendFailedError as error:
                    self._close_attempt()
                    self._resume(error)
        finally:
            self.close()

    def close(self) -> None:
        """End the request and release its slot."""
        self._close_attempt()
        release_reservation(self._job, self._reservation)
        self._reservation = None

    def _start(self) -> bytes:
        while True:
            assignment, copy = self._read_prompt()
            try:
                return self._send_and_read_first(assignment, copy)
            except SendFailedError as error:
                self._close_attempt()
                if self._has_hedge or may_resend(self._job, error):
                    continue
                if error.cause == "failed":
                    return self._failure_body
                raise RelayFailedError(
                    refusal_for_failure(self._job, error, ErrorKind.INCOMPLETE_ANSWER)
                ) from error

    def _read_prompt(self) -> tuple[Assignment, PromptCopy | None]:
        """Get an assignment, and have the prompt read by a separate engine if it names one."""
        while True:
            assignment = self._get_assignment(self._may_read_apart)
            if assignment.reader is None:
                return assignment, None
            try:
                return assignment, self._read_apart(assignment)
            except SendFailedError as error:
                self._job.excluded |= {assignment.reader.name}
                if error.cause != "unreachable":
                    self._has_prompt_read_failed = True
                    if not self._job.may_resend_within_budget(error.cause):
                        raise RelayFailedError(
                            refusal_for_failure(self._job, error, ErrorKind.INCOMPLETE_ANSWER)
                        ) from error

    def _may_read_apart(self) -> bool:
        """Return whether a separate engine may read the prompt.

        The first reading does not count as a send. A second one, after the copy was lost, does: if
        the route or the budget does not allow it besides the run, the generating engine reads.
        """
        if self._has_prompt_read_failed:
            return False
        if self._job.is_prompt_read:
            return self._job.may_resend_within_budget("copy_lost", sends=2)
        return self._job.remaining_sends >= 1

    def _get_assignment(
        self,
        read_apart: Callable[[], bool] = lambda: False,
        copied_in: str | None = None,
        begun: bool = False,
    ) -> Assignment:
        """Return the assignment that is already reserved, or wait for a new one."""
        job = self._job
        if self._reservation is not None:
            assignment = self._reservation.assignment
        else:
            order = job.order(job.request.prompt, read_apart(), copied_in, begun=begun)
            assignment = job.wait_for(job.deps.dispatcher.place(order))
        log_placement(job, assignment)
        return assignment

    def _read_apart(self, assignment: Assignment) -> PromptCopy:
        reader = assignment.reader
        silence_limit_s = prompt_read_silence_limit_s(self._job, assignment.plan)
        failover = Failover(
            self._job,
            reader,
            lambda silent_s: self._make_order_without(reader.name),
            lambda assignment: self._job.may_resend_within_budget("silent"),
            max_silent_s=max(silence_limit_s, HEALTHY_SILENCE_S),
        )
        try:
            return read_prompt_at_reader(
                self._job, assignment, silence_limit_s, failover, self._take_reserved_exchange()
            )
        except BaseException:
            self._reservation = failover.take_reservation()
            raise

    def _send_and_read_first(self, assignment: Assignment, copy: PromptCopy | None) -> bytes:
        """Send the request to the generating engine, and return the beginning of its answer."""
        job = self._job
        try:
            if copy is None:
                verdict = self._send(assignment, None)
            else:
                verdict = self._send_copy(assignment.reader.zone, copy)
        except BaseException as error:
            if copy is not None:
                release_copy(job, copy, assignment.reader, error)
            raise
        exchange = self._attempt.exchange
        self.status, self.headers = exchange.status, exchange.headers
        if verdict.outcome == "failure":
            self._failure_body = self._attempt.read_all(MAX_FAILURE_BYTES)
            job.keep_answer(self._attempt.take_held())
            job.deps.dispatcher.record_outcome(self.back_end, failed=True)
            self._attempt.mark_run()
            raise SendFailedError("failed", f"status {self.status}", True)
        piece = self._next_events()
        if piece is None:
            raise SendFailedError("lost", "the stream has no event", True)
        self.is_stream = True
        job.count_for_customer()
        return piece

    def _send_copy(self, zone: str, copy: PromptCopy) -> Verdict:
        """Send the request to an engine that fetches the copy of the prompt read in `zone`."""
        while True:
            assignment = self._get_assignment(copied_in=zone)
            try:
                return self._send(assignment, copy)
            except SendFailedError as error:
                if error.cause != "unreachable":
                    raise

    def _send(self, assignment: Assignment, copy: PromptCopy | None) -> Verdict:
        job = self._job
        self._assignment = assignment
        self._unread_work = assignment.read_work
        self._runner_name = assignment.runner.name
        self._splitter = EventSplitter(self._event_allowance())
        self._ready_pieces = []
        self._has_ended = False
        job.excluded |= {assignment.runner.name}
        self._failover = Failover(
            job,
            assignment.runner,
            self._make_failover_order,
            lambda assignment: job.may_resend_within_budget("silent"),
            lambda: self._has_begun,
            make_hedge=self._make_hedge,
            failed_hedge=self._reservation.failed_hedge if self._reservation is not None else None,
        )
        # A hedged send is already counted.
        further_sends = job.remaining_sends - (0 if self._has_hedge else 1)
        silence_limit_s = first_event_silence_limit_s(job, assignment.plan, further_sends)
        reservation, self._reservation = self._reservation, None
        if reservation is not None and reservation.hedge is not None:
            self._attempt = reservation.hedge.attempt
            verdict = self._attempt.take_over(self._failover, silence_limit_s)
        else:
            verdict = self._send_first(assignment, copy, reservation, silence_limit_s)
        self._silent_limit_s, self._silent_for_s = self._attempt.exchange.timeout_s, 0.0
        return verdict

    def _send_first(
        self,
        assignment: Assignment,
        copy: PromptCopy | None,
        reservation: Reservation | None,
        silence_limit_s: float,
    ) -> Verdict:
        job, exchange = self._job, reservation.exchange if reservation is not None else None
        dispatch = self._dispatch(assignment, copy)
        self._attempt = Attempt(job, dispatch, self._failover, exchange)
        try:
            verdict = self._attempt.send(silence_limit_s)
        except SendFailedError as error:
            if error.cause != "unreachable":
                job.sends += 1
            self._close_attempt()
            raise
        job.sends += 1
        return verdict

    def _dispatch(self, assignment: Assignment, copy: PromptCopy | None = None) -> Dispatch:
        job = self._job
        return Dispatch(
            job.request,
            assignment.runner,
            job.customer,
            job.remaining_s,
            priority=job.engine_priority,
            prompt_copy=copy,
            resume_after=self._position.last_id,
            is_limited=assignment.is_limited,
        )

    def _make_hedge(self, reservation: Reservation) -> HedgedSend:
        """Return a hedged send, to be made while the first engine is silent."""
        attempt = Attempt(
            self._job, self._dispatch(reservation.assignment), None, reservation.exchange
        )
        has_event = self._position.make_event_finder(self._has_begun, self._event_allowance())
        return HedgedSend(
            self._job, reservation.assignment, attempt, self._is_continuation, has_event
        )

    def _is_continuation(self, attempt: Attempt) -> bool:
        """Return whether the head of an answer suits the part of the stream that the caller has."""
        if not self._has_begun:
            return True
        return heads_match(
            (self.status, self.headers), (attempt.exchange.status, attempt.exchange.headers)
        )

    @property
    def _has_hedge(self) -> bool:
        """Whether the request continues with a hedged send that was already made."""
        return self._reservation is not None and self._reservation.hedge is not None

    def _take_reserved_exchange(self) -> Exchange | None:
        """Return the connection that is reserved for the next send, if there is one."""
        reservation, self._reservation = self._reservation, None
        return reservation.exchange if reservation is not None else None

    def _make_order_without(self, reader: str) -> PlacementRequest | None:
        """Return the order for another engine while a separate engine that reads is silent."""
        job = self._job
        # The silent engine's reading counts as a send if it is given up.
        if job.remaining_sends <= 1:
            return None
        return job.order(job.request.prompt, read_apart=False, excluded=frozenset({reader}))

    def _make_failover_order(self, silent_s: float) -> PlacementRequest | None:
        """Return the order for another engine while the one that runs the request is silent.

        The new engine reads the prompt itself, so that a single answer shows whether it serves the
        request.
        """
        job = self._job
        remaining_sends = job.remaining_sends - job.pending_sends
        if self._has_begun:
            may_fail_over = job.route.resumable and self._position.can_resume
        else:
            may_fail_over = job.route.repeatable
        if not may_fail_over or remaining_sends < 1:
            return None
        begun = self._has_begun and silent_s >= HEALTHY_SILENCE_S
        return job.order(job.request.prompt, read_apart=False, begun=begun)

    def _next_events(self) -> bytes | None:
        """Return the next whole events, joined if read together, or None at the end of the stream.

        An engine that only sends parts of an event, or comments, counts as silent: the silence
        limit applies to whole events. Only the time spent waiting for the engine counts, not the
        time that the caller takes.
        """
        clock = self._job.deps.clock
        while not self._ready_pieces:
            if self._has_ended:
                return None
            started_at = clock.now()
            data = self._attempt.read()
            self._silent_for_s += clock.now() - started_at
            if not data:
                if not self._attempt.exchange.complete or self._splitter.incomplete_event:
                    raise SendFailedError("lost", "the stream ended early", True)
                if self._position.awaits_event:
                    raise self._attempt.continuation_error("the resumed stream has no event")
                self._has_ended = True
                self._job.deps.dispatcher.record_outcome(self.back_end, failed=False)
                return None
            try:
                events = self._splitter.feed(data)
            except ValueError as error:
                raise self._attempt.too_long_error(str(error)) from error
            except CostlyAnswerError as error:
                raise self._attempt.costly_error(error) from error
            self._hold_events(events)
            self._process_events(events)
        return self._ready_pieces.pop(0)

    def _event_allowance(self) -> EventAllowance:
        return EventAllowance(self._job.request.prompt.max_output_tokens)

    def _hold_events(self, events: list[StreamEvent]) -> None:
        """Count the bytes that were received and not passed on yet as held."""
        early_bytes = self._attempt.early_held_bytes
        incomplete_bytes = INCOMPLETE_COPIES * self._splitter.incomplete_bytes
        size = early_bytes + incomplete_bytes + sum(len(event.raw) for event in events)
        # Most streams hold less all the time and need no account.
        if size > MAX_UNHELD_EVENT_BYTES or self._attempt.is_holding:
            self._attempt.hold(size)

    def _process_events(self, events: list[StreamEvent]) -> None:
        """Queue the events to pass on, and adjust the silence limit to the engine's progress."""
        now = self._job.deps.clock.now()
        try:
            events = self._position.accept(events)
        except NotContinuedError as error:
            raise self._attempt.continuation_error(str(error)) from error
        has_progress = any(event.is_progress for event in events)
        # Nothing is passed on before the first event, so that the request can still go elsewhere.
        begun = has_progress or self._has_begun
        forwarded = [
            event.raw
            for event in events
            if event.is_progress or (begun and self._comment_limiter.try_pass(now))
        ]
        if forwarded:
            self._ready_pieces.append(b"".join(forwarded))
        if has_progress:
            if not self._has_begun:
                self._job.on_stream_begun(self._assignment.runner.software)
            self._job.on_answer_begun()
            self._has_begun = True
            self._failover.on_progress()
            self._record_prompt_read()
            self._silent_limit_s, self._silent_for_s = event_gap_silence_limit_s(self._job), 0.0
            self._attempt.await_event(self._silent_limit_s)
            return
        remaining_s = self._silent_limit_s - self._silent_for_s
        if remaining_s > 0:
            self._attempt.exchange.set_timeout(remaining_s)
        else:
            self._attempt.extend_wait(self._silent_limit_s)

    def _resume(self, error: SendFailedError) -> None:
        """Resume the stream at another engine, or raise `RelayFailedError`."""
        job = self._job
        while True:
            allowed = self._has_hedge or (
                job.route.resumable
                and self._position.can_resume
                and job.may_resend_within_budget(error.cause)
            )
            if not allowed:
                raise RelayFailedError(
                    refusal_for_failure(job, error, ErrorKind.INCOMPLETE_ANSWER)
                ) from error
            assignment = self._get_assignment(begun=True)
            _log.info(
                REQUEST_RESUMED,
                request=job.request.request_id,
                back_end=assignment.runner.name,
                software=assignment.runner.software,
                after=self._position.last_id,
                cause=error.cause,
            )
            try:
                verdict = self._send(assignment, None)
                if verdict.outcome == "success" and self._is_continuation(self._attempt):
                    self._position.resume()
                    return
                status = self._attempt.exchange.status
                error = self._attempt.continuation_error(f"resuming was answered {status}")
            except SendFailedError as failure:
                error = failure
                if failure.cause == "unreachable":
                    # It has not got the request, and may be starting again.
                    job.excluded -= {assignment.runner.name}
            self._close_attempt()

    def _record_prompt_read(self) -> None:
        """Record that the engine has read the prompt, as its first event shows."""
        if any(self._unread_work):
            self._job.deps.dispatcher.on_stream_started(self._runner_name, self._unread_work)
            self._unread_work = Work()

    def _close_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        assignment, self._assignment = self._assignment, None
        self._splitter.clear()
        if attempt is not None:
            self._reservation = self._failover.take_reservation()
            attempt.close()
        if assignment is not None:
            work = assignment.run_work.plus(self._unread_work)
            self._unread_work = Work()
            self._job.deps.dispatcher.on_work_ended(self._runner_name, work, self._job.service.name)
