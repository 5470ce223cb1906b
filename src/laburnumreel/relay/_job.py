"""The state of one request in progress, and what all request threads share."""

import hashlib
import random
import secrets
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple

from laburnumreel.core import AnswerMemory, Clock, HeldAnswer, Log
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._config import RelayService, Route
from laburnumreel.relay._dispatcher import Dispatcher
from laburnumreel.relay._events import REPEAT_DECIDED, REQUEST_REPEATED
from laburnumreel.relay._metrics import RELAY_REPEATS, RELAY_WAIT_S
from laburnumreel.relay._ports import BackEndWire, StreamFinder
from laburnumreel.relay._requests import Dispatch, Prompt, RelayRequest
from laburnumreel.relay._stream_records import stream_key
from laburnumreel.relay._unknown_headers import UnknownHeaders
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.serving import RunningRequest
from laburnumreel.state import ErrorKind, Refusal, RunState
from laburnumreel.transport import BackEndPool

# How often a waiting request checks whether its caller has disconnected.
CALLER_POLL_INTERVAL_S = 0.1
# Minimum time to answer a request; it is not sent any more with less time left.
MIN_TIME_S = 0.03
# Priorities as sent to engines: requests that can still be on time are ordered by their priority,
# and late ones come after them.
HIGHEST_PRIORITY, LOWEST_ON_TIME_PRIORITY, LATE_PRIORITY = 1, 4, 6

# Longer names of prompt parts are replaced by a digest where crashes are concerned; characters.
MAX_PART_NAME = 64

_log = Log("relay.job")


class RelayFailedError(Exception):
    """Raised when a request ends without a backend server's answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail or refusal.kind)
        self.refusal = refusal


class Dependencies(NamedTuple):
    """Objects that all request threads share."""

    clock: Clock
    dispatcher: Dispatcher
    pool: BackEndPool
    wire: BackEndWire
    rng: random.Random
    count_customer_request: Callable[[str], None]
    answer_memory: AnswerMemory
    unknown_headers: UnknownHeaders
    # The age of this host's list of backend servers, in seconds.
    list_age_s: Callable[[], float]
    streams: StreamFinder


class Job:
    """A request that passed its checks: its route, customer, times, and sends so far.

    Several of its sends may be in flight at the same time.
    """

    def __init__(
        self,
        deps: Dependencies,
        request: RelayRequest,
        route: Route,
        service: RelayService,
        customer: str,
        priority: int,
        running: RunningRequest,
        config_version: int,
    ) -> None:
        self.deps = deps
        self.request = request
        self.route = route
        self.service = service
        self.customer = customer
        self.priority = priority
        self.running = running
        self.config_version = config_version
        self.digest = request_digest(request, customer)
        self.parts = shared_part_names(request.prompt)
        self.token = secrets.token_hex(8)
        # Whether a part of the answer has come from a backend server.
        self.has_begun = False
        # Makes the check that no answer has begun and the end of the request one step.
        self._begin_lock = threading.Lock()
        # Whether the head of an answer that is no failure has come for the current send.
        self.has_head = False
        self.excluded: frozenset[str] = frozenset()
        # The run state of each send that a backend server may have run.
        self._run_states: dict[object, RunState] = {}
        self.sends = 0
        # Sends in progress that `sends` does not count yet: their head is still awaited.
        self.pending_sends = 0
        # Sends that have reached a backend server, except the first accepted reading of the prompt.
        self.deliveries = 0
        # Addresses of the backend servers that the request was sent to.
        self.contacted_addresses: set[Address] = set()
        # Backend servers that have the request now.
        self.back_ends: frozenset[str] = frozenset()
        # The version of the software that began the stream, None while any may begin it.
        self.software: str | None = None
        # Whether an engine has read the prompt for another engine.
        self.is_prompt_read = False
        # Permits of the retry budget for sends that were not made yet.
        self._unused_permits = 0
        self._has_ordered = False
        # Whether the answer is still being streamed after the WSGI application has returned.
        self.streaming = False
        self._is_counted = False
        # The account of a whole answer that was read and not passed on yet.
        self._held_answer: HeldAnswer | None = None

    @property
    def due(self) -> float:
        """When the answer must begin at the latest to be on time."""
        return self.request.arrived_at + self.route.objective_s

    @property
    def remaining_s(self) -> float:
        """The seconds until the request's deadline."""
        return self.running.deadline - self.deps.clock.now()

    @property
    def elapsed_s(self) -> float:
        return self.deps.clock.now() - self.request.arrived_at

    @property
    def run_state(self) -> RunState:
        """The run state over all sends: NOT_RUN only if no server can have run the request."""
        known = set(self._run_states.values())
        for state in (RunState.RAN, RunState.UNKNOWN):
            if state in known:
                return state
        return RunState.NOT_RUN

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has events of the stream from an earlier request."""
        return self.request.resume_after is not None

    @property
    def stream(self) -> bytes:
        """The key of the stream, which the request that began it names."""
        first_id = self.request.resumes if self.takes_up_stream else None
        first_id = self.request.request_id if first_id is None else first_id
        return stream_key(self.customer, self.service.name, first_id)

    def on_stream_begun(self, software: str) -> None:
        """Record that a backend server with this software has sent the first event to pass on."""
        self.software = software
        self.deps.streams.record(self.stream, self.service.name, software)

    def record_run_state(self, send: object, state: RunState) -> None:
        """Record whether the backend server of one send has run the request."""
        self._run_states[send] = state

    @property
    def is_answered(self) -> bool:
        """Whether the answer has begun: an engine's with its first event, others' with the head."""
        return self.has_begun or (self.has_head and self.service.engine is None)

    @property
    def remaining_sends(self) -> int:
        return self.route.attempts - self.sends

    @property
    def unused_permits(self) -> int:
        """Permits of the retry budget for sends that were not made yet."""
        return self._unused_permits

    @property
    def waiting(self) -> WaitingRequest:
        return WaitingRequest(
            self.request.request_id,
            self.priority,
            self.request.arrived_at,
            self.due,
            self.running.deadline - MIN_TIME_S,
        )

    @property
    def engine_priority(self) -> int:
        """The priority that is sent to an engine: 0 is the most urgent."""
        if self.deps.clock.now() >= self.due:
            return LATE_PRIORITY
        return min(LOWEST_ON_TIME_PRIORITY, HIGHEST_PRIORITY + self.priority)

    def order(
        self,
        prompt: Prompt | None = None,
        read_apart: bool = True,
        copied_in: str | None = None,
        excluded: frozenset[str] = frozenset(),
        begun: bool = False,
    ) -> PlacementRequest:
        """Return an order for the dispatcher; the arguments are those of `PlacementRequest`.

        `excluded` adds to the backend servers that the request must not use again. `is_started` is
        whether the request is a stream that broke off after it had begun.
        """
        is_repeat, self._has_ordered = self._has_ordered, True
        return PlacementRequest(
            self.waiting._replace(is_started=begun or copied_in is not None),
            self.service.name,
            prompt,
            len(self.request.body or b""),
            self.excluded | excluded,
            read_apart,
            copied_in,
            is_repeat,
            self.service.engine,
            # An answer that has begun has cleared them.
            () if self.has_begun else self.parts,
            self.token,
            self.software,
        )

    def wait_for(self, future: Future) -> Assignment:
        """Wait for the dispatcher's assignment and return it, or raise `RelayFailedError`."""
        asked_at = self.deps.clock.now()
        while True:
            try:
                outcome = future.result(CALLER_POLL_INTERVAL_S)
                break
            except FutureTimeoutError:
                if self.running.abort_reason is None:
                    continue
                self.deps.dispatcher.withdraw(future)
                # The dispatcher may still assign a slot before it reads the withdrawal.
                future.add_done_callback(lambda done: self.release_slots(done.result()))
                raise RelayFailedError(self.abort_refusal()) from None
        if self.running.abort_reason is not None:
            self.release_slots(outcome)
            raise RelayFailedError(self.abort_refusal())
        if isinstance(outcome, Refusal):
            raise RelayFailedError(self.refusal_with_run_state(outcome))
        RELAY_WAIT_S.observe(self.deps.clock.now() - asked_at)
        return outcome

    def release_slots(self, assignment: Assignment | Refusal) -> None:
        """Release the slots of an assignment that will not be used."""
        if isinstance(assignment, Refusal):
            return
        dispatcher = self.deps.dispatcher
        if assignment.reader is not None:
            dispatcher.on_work_ended(
                assignment.reader.name, assignment.read_work, self.service.name
            )
        else:
            work = assignment.run_work.plus(assignment.read_work)
            dispatcher.on_work_ended(assignment.runner.name, work, self.service.name)

    def refusal_with_run_state(self, refusal: Refusal) -> Refusal:
        """Return a refusal that does not claim NOT_RUN if a server may have run the request."""
        if self.run_state is RunState.NOT_RUN:
            return refusal
        if refusal.kind is ErrorKind.CRASHES_BACK_ENDS:
            return refusal._replace(retry_after_s=None, run_state=self.run_state)
        return Refusal(ErrorKind.BACK_END_LOST, refusal.detail, run_state=self.run_state)

    def abort_refusal(self) -> Refusal:
        """Return the refusal of an aborted request, with its run state."""
        abort_reason = self.running.abort_reason
        if abort_reason is not None and abort_reason.kind in (
            ErrorKind.STOPPING,
            ErrorKind.CRASHES_BACK_ENDS,
        ):
            return self.refusal_with_run_state(abort_reason)
        kind = abort_reason.kind if abort_reason is not None else ErrorKind.BACK_END_TIMEOUT
        if kind is ErrorKind.BACK_END_TIMEOUT and self.run_state is RunState.NOT_RUN:
            kind = ErrorKind.DEADLINE_UNMEETABLE
        return Refusal(kind, "the request's time is over", run_state=self.run_state)

    def may_resend_within_budget(self, cause: str, sends: int = 1) -> bool:
        """Return whether the route and the retry budget allow `sends` more sends.

        Each send needs a permit of the budget; unused permits count. `cause` is logged.
        """
        is_over = self.remaining_s <= MIN_TIME_S or self.running.abort_reason is not None
        if is_over or self.remaining_sends < sends:
            return False
        while self._unused_permits < sends:
            if not self._request_permit(cause):
                return False
            self._unused_permits += 1
        return True

    def _request_permit(self, cause: str) -> bool:
        decision = self.deps.dispatcher.acquire_retry_permit(self.service.name)
        RELAY_REPEATS.inc(outcome="allowed" if decision.allowed else "denied")
        _log.info(
            REPEAT_DECIDED,
            request=self.request.request_id,
            service=self.service.name,
            cause=cause,
            allowed=decision.allowed,
            spent=decision.spent,
            limit=round(decision.limit, 2),
            requests=decision.requests,
            hosts=decision.hosts,
            arrivals=self.deliveries,
        )
        return decision.allowed

    def count_delivery(self, dispatch: Dispatch) -> None:
        """Count a send whose first byte is about to be written; a repeated one uses a permit.

        The first reading of the prompt is counted by `count_prompt_read` once its outcome is known.
        """
        if self.deliveries and not self._unused_permits:
            detail = "a send beyond the first without a permit"
            raise RelayFailedError(self.refusal_with_run_state(Refusal(ErrorKind.INTERNAL, detail)))
        if self.is_prompt_read or not dispatch.only_read:
            self._record_delivery(dispatch)

    def count_prompt_read(self, dispatch: Dispatch, is_accepted: bool) -> None:
        """Count a finished reading of the prompt; the first accepted one is no separate send."""
        first = not self.is_prompt_read
        self.is_prompt_read = self.is_prompt_read or is_accepted
        if first and is_accepted:
            return
        self.sends += 1
        if first:
            self._record_delivery(dispatch)

    def _record_delivery(self, dispatch: Dispatch) -> None:
        self.deliveries += 1
        if self.deliveries == 1:
            return
        self._unused_permits -= 1
        self.deps.dispatcher.use_retry_permit(self.service.name)
        RELAY_REPEATS.inc(outcome="sent")
        _log.info(
            REQUEST_REPEATED,
            request=self.request.request_id,
            service=self.service.name,
            back_end=dispatch.back_end.name,
            only_read=dispatch.only_read,
            arrivals=self.deliveries,
        )

    def release_permits(self, keep: int = 0) -> None:
        """Release the permits of sends that will not be made, except for `keep` of them."""
        while self._unused_permits > keep:
            self.deps.dispatcher.release_retry_permit(self.service.name)
            self._unused_permits -= 1

    def keep_answer(self, held: HeldAnswer) -> None:
        """Count a whole answer as held until `release_answer`, instead of one kept before."""
        self.release_answer()
        self._held_answer = held

    def release_answer(self) -> None:
        """Release the memory of an answer that was passed on or is not needed."""
        if self._held_answer is not None:
            self._held_answer.release()

    def on_answer_begun(self) -> None:
        """Record that a backend server has begun to answer, which clears the parts of the prompt.

        Raises `RelayFailedError` if the request was ended for a held part before.
        """
        with self._begin_lock:
            if self.has_begun:
                return
            ended = self.running.abort_reason
            if (
                not self.is_answered
                and ended is not None
                and ended.kind is ErrorKind.CRASHES_BACK_ENDS
            ):
                raise RelayFailedError(self.abort_refusal())
            self.has_begun = True
        self.deps.dispatcher.on_prompt_answered(self.parts)

    def end_unanswered(self, refusal: Refusal) -> bool:
        """Abort the request unless its answer has begun, and return whether this aborted it."""
        with self._begin_lock:
            return not self.is_answered and self.running.abort(refusal)

    def count_for_customer(self) -> None:
        """Count the request for its customer, once."""
        if not self._is_counted:
            self._is_counted = True
            self.deps.count_customer_request(self.customer)


def shared_part_names(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the names of a prompt's shared parts, which differ between models."""
    if prompt is None:
        return ()
    return tuple(_short_name(f"{prompt.model}/{part.name}") for part in prompt.shared)


def _short_name(name: str) -> str:
    """Return a name that fits into updates, however long the caller's names are."""
    if len(name) <= MAX_PART_NAME:
        return name
    return hashlib.blake2b(name.encode("utf-8", "replace"), digest_size=16).hexdigest()


def request_digest(request: RelayRequest, customer: str) -> str:
    """Return a digest that identifies a request when the same one is sent again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer, request.method, request.host, request.target):
        digest.update(part.encode("utf-8", "replace") + b"\0")
    digest.update(request.body or b"")
    return digest.hexdigest()
