"""Requests to engines: a prompt is read, perhaps at an engine of its own, then a stream runs."""

from collections.abc import Callable, Iterator
from functools import partial

from laburnumreel.core import Log
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._elsewhere import Elsewhere, Held, give_back
from laburnumreel.relay._event_stream import CommentPace, EventSplitter, StreamEvent
from laburnumreel.relay._events import REQUEST_RESUMED
from laburnumreel.relay._job import Job, RelayFailedError
from laburnumreel.relay._placement_log import log_placement
from laburnumreel.relay._prompt_copies import read_prompt_at_reader, release_copy
from laburnumreel.relay._requests import Dispatch, PromptCopy, Verdict
from laburnumreel.relay._second_send import SecondSend
from laburnumreel.relay._send_failures import SendFailedError, may_go_on, refusal_after
from laburnumreel.relay._sending import Attempt
from laburnumreel.relay._silences import (
    GOING_ON_OVERLAP_S,
    SOUND_SILENCE_S,
    first_event_silent_s,
    gap_silent_s,
    reading_silent_s,
)
from laburnumreel.relay._stream_position import (
    NotContinuedError,
    StreamPosition,
    continues_head,
)
from laburnumreel.relay._work import Work
from laburnumreel.state import ErrorKind
from laburnumreel.transport import Exchange

# What a failure of an engine may have, with its reason.
MAX_FAILURE_BYTES = 256 * 1024

_log = Log("relay.engine")


class EngineRun:
    """One request's way over engines, and the stream of its answer."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._attempt: Attempt | None = None
        self._assignment: Assignment | None = None
        # What the request goes on with after it has left a silent engine.
        self._held: Held | None = None
        self._runner = ""
        # What the engine that runs the request has still to read of its prompt.
        self._unread = Work()
        self._splitter = EventSplitter()
        self._comments = CommentPace()
        # How long the engine may be silent now, and how long it has been since its last event.
        self._silent_limit_s = 0.0
        self._silent_for_s = 0.0
        self._position = StreamPosition(job.request.resume_after)
        self._ready: list[bytes] = []
        self._reading_failed = False
        # The search for another engine while this one is silent.
        self._elsewhere: Elsewhere | None = None
        self._has_begun = False
        self._ended = False
        # The body of an engine's own failure, which is passed on if nothing better comes.
        self._failure = b""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.streams = False

    @property
    def back_end(self) -> str:
        """The engine that the request was sent to last."""
        return self._runner

    def start(self) -> bytes:
        """Return the first event of the stream, or the whole of an answer that is none.

        Raises `RelayFailedError`. `status`, `headers` and `streams` are set afterwards.
        """
        try:
            return self._start()
        except BaseException:
            self.close()
            raise

    def rest(self) -> Iterator[bytes]:
        """Yield the events after the first; raises `RelayFailedError` where the stream breaks."""
        try:
            while True:
                try:
                    while (piece := self._next()) is not None:
                        yield piece
                    return
                except SendFailedError as error:
                    self._give_up_attempt()
                    self._resume(error)
        finally:
            self.close()

    def close(self) -> None:
        """End the run and give its place back."""
        self._give_up_attempt()
        give_back(self._job, self._held)
        self._held = None

    def _start(self) -> bytes:
        while True:
            assignment, copy = self._read_prompt()
            try:
                return self._first(assignment, copy)
            except SendFailedError as error:
                self._give_up_attempt()
                if self._is_sent_beside or may_go_on(self._job, error):
                    continue
                if error.trouble == "failed":
                    return self._failure
                raise RelayFailedError(
                    refusal_after(self._job, error, ErrorKind.INCOMPLETE_ANSWER)
                ) from error

    def _read_prompt(self) -> tuple[Assignment, PromptCopy | None]:
        """Get a place and, where the plan says so, have the prompt read by an engine of its own."""
        while True:
            assignment = self._place(self._may_read_apart)
            if assignment.reader is None:
                return assignment, None
            try:
                return assignment, self._read_apart(assignment)
            except SendFailedError as error:
                self._job.excluded |= {assignment.reader.name}
                if error.trouble != "unreachable":
                    self._reading_failed = True
                    if not self._job.may_send_again(error.trouble):
                        raise RelayFailedError(
                            refusal_after(self._job, error, ErrorKind.INCOMPLETE_ANSWER)
                        ) from error

    def _may_read_apart(self) -> bool:
        """Return whether an engine of its own may read the prompt.

        The first reading is no send of its own. A second one, after the copy was lost, is: where the
        route or the budget has no room for it besides the run, the engine that generates reads.
        """
        if self._reading_failed:
            return False
        if self._job.has_read:
            return self._job.may_send_again("copy_lost", sends=2)
        return self._job.sends_left >= 1

    def _place(
        self,
        read_apart: Callable[[], bool] = lambda: False,
        copied_in: str | None = None,
        begun: bool = False,
    ) -> Assignment:
        """Return the place that is held already, or wait for one."""
        job = self._job
        if self._held is not None:
            assignment = self._held.assignment
        else:
            order = job.order(job.request.prompt, read_apart(), copied_in, begun=begun)
            assignment = job.wait_for(job.parts.dispatcher.place(order))
        log_placement(job, assignment)
        return assignment

    def _read_apart(self, assignment: Assignment) -> PromptCopy:
        reader = assignment.reader
        silent_s = reading_silent_s(self._job, assignment.plan)
        elsewhere = Elsewhere(
            self._job,
            reader,
            lambda silent_s: self._order_without(reader.name),
            lambda assignment: self._job.may_send_again("silent"),
            max_silent_s=max(silent_s, SOUND_SILENCE_S),
        )
        try:
            return read_prompt_at_reader(
                self._job, assignment, silent_s, elsewhere, self._take_connection()
            )
        except BaseException:
            self._held = elsewhere.take()
            raise

    def _first(self, assignment: Assignment, copy: PromptCopy | None) -> bytes:
        """Send the request to the engine that generates and return the beginning of its answer."""
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
            self._failure = self._attempt.read_all(MAX_FAILURE_BYTES)
            job.parts.dispatcher.record_outcome(self.back_end, failed=True)
            self._attempt.has_run()
            raise SendFailedError("failed", f"status {self.status}", True)
        piece = self._next()
        if piece is None:
            raise SendFailedError("lost", "the stream has no event", True)
        self.streams = True
        job.count_begun()
        return piece

    def _send_copy(self, zone: str, copy: PromptCopy) -> Verdict:
        """Send the request to an engine that takes the copy which was read for it in a zone."""
        while True:
            assignment = self._place(copied_in=zone)
            try:
                return self._send(assignment, copy)
            except SendFailedError as error:
                if error.trouble != "unreachable":
                    raise

    def _send(self, assignment: Assignment, copy: PromptCopy | None) -> Verdict:
        job = self._job
        self._assignment = assignment
        self._unread = assignment.read_work
        self._runner = assignment.runner.name
        self._splitter = EventSplitter()
        self._ready = []
        self._ended = False
        job.excluded |= {assignment.runner.name}
        self._elsewhere = Elsewhere(
            job,
            assignment.runner,
            self._order_elsewhere,
            lambda assignment: job.may_send_again("silent"),
            lambda: self._has_begun,
            beside=self._beside,
            max_overlap_s=GOING_ON_OVERLAP_S,
            failed=self._held.failed if self._held is not None else None,
        )
        # A send that was made beside another one is counted already.
        further_sends = job.sends_left - (0 if self._is_sent_beside else 1)
        silent_s = first_event_silent_s(job, assignment.plan, further_sends)
        held, self._held = self._held, None
        if held is not None and held.second is not None:
            self._attempt = held.second.attempt
            verdict = self._attempt.take_over(self._elsewhere, silent_s)
        else:
            verdict = self._send_first(assignment, copy, held, silent_s)
        self._silent_limit_s, self._silent_for_s = self._attempt.exchange.timeout_s, 0.0
        return verdict

    def _send_first(
        self, assignment: Assignment, copy: PromptCopy | None, held: Held | None, silent_s: float
    ) -> Verdict:
        job, exchange = self._job, held.exchange if held is not None else None
        dispatch = self._dispatch(assignment, copy)
        self._attempt = Attempt(job, dispatch, self._elsewhere, exchange)
        try:
            verdict = self._attempt.send(silent_s)
        except SendFailedError as error:
            if error.trouble != "unreachable":
                job.sends += 1
            self._give_up_attempt()
            raise
        job.sends += 1
        return verdict

    def _dispatch(self, assignment: Assignment, copy: PromptCopy | None = None) -> Dispatch:
        job = self._job
        return Dispatch(
            job.request,
            assignment.runner,
            job.customer,
            job.left_s,
            priority=job.engine_priority,
            prompt_copy=copy,
            resume_after=self._position.last_id,
            is_limited=assignment.is_limited,
        )

    def _beside(self, held: Held) -> SecondSend:
        """Make a send beside the one to an engine that is silent."""
        attempt = Attempt(self._job, self._dispatch(held.assignment), None, held.exchange)
        has_event = partial(self._position.has_event, resumed=self._has_begun)
        return SecondSend(self._job, held.assignment, attempt, self._goes_on, has_event)

    def _goes_on(self, attempt: Attempt) -> bool:
        """Return whether an answer is the rest of a stream of which the caller has a part."""
        if not self._has_begun:
            return True
        return continues_head(
            (self.status, self.headers), (attempt.exchange.status, attempt.exchange.headers)
        )

    @property
    def _is_sent_beside(self) -> bool:
        """Whether the request goes on with a send that was made already."""
        return self._held is not None and self._held.second is not None

    def _take_connection(self) -> Exchange | None:
        """Return the connection that is held for the next send, if there is one."""
        held, self._held = self._held, None
        return held.exchange if held is not None else None

    def _order_without(self, reader: str) -> PlacementRequest | None:
        """Return what to ask for while an engine that reads apart is silent."""
        job = self._job
        # Its reading counts as a send if it is given up.
        if job.sends_left <= 1:
            return None
        return job.order(job.request.prompt, read_apart=False, excluded=frozenset({reader}))

    def _order_elsewhere(self, silent_s: float) -> PlacementRequest | None:
        """Return what to ask for while the engine that runs the request is silent.

        The engine that gets it reads the prompt itself, so that one answer shows whether it can have
        the request.
        """
        job = self._job
        sends_left = job.sends_left - job.unfinished
        if self._has_begun:
            may_leave = job.route.resumable and self._position.can_resume
        else:
            may_leave = job.route.repeatable
        if not may_leave or sends_left < 1:
            return None
        begun = self._has_begun and silent_s >= SOUND_SILENCE_S
        return job.order(job.request.prompt, read_apart=False, begun=begun)

    def _next(self) -> bytes | None:
        """Return the next whole events, those of one read together, or None at the end.

        An engine that only sends pieces of an event, or comments, is silent: the time is that of a
        whole event. Only the waits for the engine count, not the time that the caller takes.
        """
        clock = self._job.parts.clock
        while not self._ready:
            if self._ended:
                return None
            began = clock.now()
            data = self._attempt.read()
            self._silent_for_s += clock.now() - began
            if not data:
                if not self._attempt.exchange.complete or self._splitter.rest:
                    raise SendFailedError("lost", "the stream ended early", True)
                if self._position.awaits_event:
                    raise self._attempt.not_continued("the resumed stream has no event")
                self._ended = True
                self._job.parts.dispatcher.record_outcome(self.back_end, failed=False)
                return None
            try:
                events = self._splitter.feed(data)
            except ValueError as error:
                raise SendFailedError("not_genuine", str(error), True) from error
            self._take_events(events)
        return self._ready.pop(0)

    def _take_events(self, events: list[StreamEvent]) -> None:
        """Take what an engine has sent, and judge whether it goes on."""
        now = self._job.parts.clock.now()
        try:
            events = self._position.take(events)
        except NotContinuedError as error:
            raise self._attempt.not_continued(str(error)) from error
        going_on = any(event.is_progress for event in events)
        # Nothing is passed on before the first event: until then the request can go elsewhere.
        begun = going_on or self._has_begun
        passed = [
            event.raw
            for event in events
            if event.is_progress or (begun and self._comments.may_pass(now))
        ]
        if passed:
            self._ready.append(b"".join(passed))
        if going_on:
            self._has_begun = True
            self._elsewhere.spoke()
            self._has_read()
            self._silent_limit_s, self._silent_for_s = gap_silent_s(self._job), 0.0
            self._attempt.await_event(self._silent_limit_s)
            return
        left_s = self._silent_limit_s - self._silent_for_s
        if left_s > 0:
            self._attempt.exchange.set_timeout(left_s)
        else:
            self._attempt.prolong(self._silent_limit_s)

    def _resume(self, error: SendFailedError) -> None:
        """Let the stream go on at another engine, or raise `RelayFailedError`."""
        job = self._job
        while True:
            allowed = self._is_sent_beside or (
                job.route.resumable
                and self._position.can_resume
                and job.may_send_again(error.trouble)
            )
            if not allowed:
                raise RelayFailedError(
                    refusal_after(job, error, ErrorKind.INCOMPLETE_ANSWER)
                ) from error
            assignment = self._place(begun=True)
            _log.info(
                REQUEST_RESUMED,
                request=job.request.request_id,
                back_end=assignment.runner.name,
                after=self._position.last_id,
                cause=error.trouble,
            )
            try:
                verdict = self._send(assignment, None)
                if verdict.outcome == "success" and self._goes_on(self._attempt):
                    self._position.resume()
                    return
                status = self._attempt.exchange.status
                error = self._attempt.not_continued(f"resuming was answered {status}")
            except SendFailedError as failure:
                error = failure
            self._give_up_attempt()

    def _has_read(self) -> None:
        """Take in that the engine has read the prompt, which its first event shows."""
        if any(self._unread):
            self._job.parts.dispatcher.on_stream_started(self._runner, self._unread)
            self._unread = Work()

    def _give_up_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        assignment, self._assignment = self._assignment, None
        if attempt is not None:
            self._held = self._elsewhere.take()
            attempt.close()
        if assignment is not None:
            work = assignment.run_work.plus(self._unread)
            self._unread = Work()
            self._job.parts.dispatcher.on_work_ended(self._runner, work, self._job.service.name)
