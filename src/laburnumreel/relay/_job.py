"""One request in work, and what its thread uses."""

import hashlib
import random
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple

from laburnumreel.core import Clock, Log
from laburnumreel.relay._answer_memory import AnswerMemoryBudget
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._config import RelayService, Route
from laburnumreel.relay._dispatcher import Dispatcher
from laburnumreel.relay._events import REPEAT_DECIDED, REQUEST_REPEATED
from laburnumreel.relay._metrics import RELAY_REPEATS, RELAY_WAIT_S
from laburnumreel.relay._ports import BackEndWire
from laburnumreel.relay._requests import Dispatch, Prompt, RelayRequest
from laburnumreel.relay._unknown_headers import UnknownHeaders
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.serving import Running
from laburnumreel.state import ErrorKind, Refusal, RunState
from laburnumreel.transport import BackEndPool

# A request that waits looks this often whether its caller has left.
WAIT_SLICE_S = 0.1
# What a request needs at least to be answered; with less time left it is not sent any more.
MIN_TIME_S = 0.03
# All whole answers that a host holds at once: a sixth of the memory of the smallest hosts (200 MB).
MAX_HELD_BYTES = 32 * 1024 * 1024
# Priorities that engines know: requests that can still be on time by their route's rank, then the
# late ones.
MAX_URGENT, MIN_URGENT_ON_TIME, LATE = 1, 4, 6

_log = Log("relay.job")


class RelayFailedError(Exception):
    """A request that ends without a backend server's answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail or refusal.kind)
        self.refusal = refusal


class Parts(NamedTuple):
    """What every request thread uses."""

    clock: Clock
    dispatcher: Dispatcher
    pool: BackEndPool
    wire: BackEndWire
    rng: random.Random
    began: Callable[[str], None]
    room: AnswerMemoryBudget
    unknown_headers: UnknownHeaders


class Job:
    """A request that passed its checks: its route, customer, times, and sends so far.

    Two of its sends may be awaited at the same time.
    """

    def __init__(
        self,
        parts: Parts,
        request: RelayRequest,
        route: Route,
        service: RelayService,
        customer: str,
        priority: int,
        running: Running,
        config_version: int,
    ) -> None:
        self.parts = parts
        self.request = request
        self.route = route
        self.service = service
        self.customer = customer
        self.priority = priority
        self.running = running
        self.config_version = config_version
        self.digest = request_digest(request, customer)
        self.excluded: frozenset[str] = frozenset()
        # What is known of each send that a backend server may have run.
        self._runs: dict[object, RunState] = {}
        self.sends = 0
        # Sends whose head is awaited, which `sends` does not count yet.
        self.unfinished = 0
        # Sends that have reached a backend server, readings of the prompt included.
        self.arrivals = 0
        # Addresses that the request was sent to.
        self.asked: set[Address] = set()
        # Whether an engine has read the prompt for another one.
        self.has_read = False
        # Sends beyond the first that the budget allowed and that were not made yet.
        self._permits = 0
        self._ordered = False
        # Whether the answer goes on after the application has returned.
        self.streaming = False
        self._counted = False
        self._held_bytes = 0

    @property
    def due(self) -> float:
        """When the answer must begin to be on time."""
        return self.request.arrived_at + self.route.objective_s

    @property
    def left_s(self) -> float:
        """The time until the request is given up, in seconds."""
        return self.running.deadline - self.parts.clock.now()

    @property
    def waited_s(self) -> float:
        return self.parts.clock.now() - self.request.arrived_at

    @property
    def ran(self) -> RunState:
        """What is known of its execution over all sends: not run while no server may have run it."""
        known = set(self._runs.values())
        for state in (RunState.RAN, RunState.UNKNOWN):
            if state in known:
                return state
        return RunState.NOT_RUN

    def note_run(self, send: object, state: RunState) -> None:
        """Take in what is known of the execution at the backend server of one send."""
        self._runs[send] = state

    @property
    def sends_left(self) -> int:
        return self.route.attempts - self.sends

    @property
    def permits(self) -> int:
        """Permits of the budget for sends that were not made yet."""
        return self._permits

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
        """The priority that an engine is told: 0 is the most urgent."""
        if self.parts.clock.now() >= self.due:
            return LATE
        return min(MIN_URGENT_ON_TIME, MAX_URGENT + self.priority)

    def order(
        self,
        prompt: Prompt | None = None,
        read_apart: bool = True,
        copied_in: str | None = None,
        excluded: frozenset[str] = frozenset(),
        begun: bool = False,
    ) -> PlacementRequest:
        """Return what to ask the dispatcher for; the arguments are those of `PlacementRequest`.

        `excluded` are backend servers besides those that the request has left. `is_started` is a stream
        that broke off.
        """
        again, self._ordered = self._ordered, True
        return PlacementRequest(
            self.waiting._replace(is_started=begun or copied_in is not None),
            self.service.name,
            prompt,
            len(self.request.body or b""),
            self.excluded | excluded,
            read_apart,
            copied_in,
            again,
            self.service.engine,
        )

    def wait_for(self, future: Future) -> Assignment:
        """Return the place that the dispatcher gives, or raise `RelayFailedError`."""
        request_id = self.request.request_id
        asked_at = self.parts.clock.now()
        while True:
            try:
                outcome = future.result(WAIT_SLICE_S)
                break
            except FutureTimeoutError:
                if self.running.aborted is None:
                    continue
                self.parts.dispatcher.withdraw(request_id)
                # A place may be given until the dispatcher hears of it.
                future.add_done_callback(lambda done: self.give_back(done.result()))
                raise RelayFailedError(self.abort_refusal()) from None
        if isinstance(outcome, Refusal):
            raise RelayFailedError(self.truthful(outcome))
        if self.running.aborted is not None:
            self.give_back(outcome)
            raise RelayFailedError(self.abort_refusal())
        RELAY_WAIT_S.observe(self.parts.clock.now() - asked_at)
        return outcome

    def give_back(self, assignment: Assignment | Refusal) -> None:
        """Give places back that will not be used."""
        if isinstance(assignment, Refusal):
            return
        dispatcher = self.parts.dispatcher
        if assignment.reader is not None:
            dispatcher.on_work_ended(
                assignment.reader.name, assignment.read_work, self.service.name
            )
        else:
            work = assignment.run_work.plus(assignment.read_work)
            dispatcher.on_work_ended(assignment.runner.name, work, self.service.name)

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return a refusal that does not promise more than is known of the request."""
        if self.ran is RunState.NOT_RUN:
            return refusal
        return Refusal(ErrorKind.BACK_END_LOST, refusal.detail, run_state=self.ran)

    def abort_refusal(self) -> Refusal:
        """Return why the request was aborted, with what is known of its execution."""
        aborted = self.running.aborted
        kind = aborted.kind if aborted is not None else ErrorKind.BACK_END_TIMEOUT
        if kind is ErrorKind.BACK_END_TIMEOUT and self.ran is RunState.NOT_RUN:
            kind = ErrorKind.DEADLINE_UNMEETABLE
        return Refusal(kind, "the request's time is over", run_state=self.ran)

    def may_send_again(self, cause: str, sends: int = 1) -> bool:
        """Return whether so many more sends are allowed by the route and the budget.

        Each needs a permit of the budget. One that is left from before serves again.
        """
        over = self.left_s <= MIN_TIME_S or self.running.aborted is not None
        if over or self.sends_left < sends:
            return False
        while self._permits < sends:
            if not self._ask_permit(cause):
                return False
            self._permits += 1
        return True

    def _ask_permit(self, cause: str) -> bool:
        decision = self.parts.dispatcher.acquire_retry_permit(self.service.name)
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
            arrivals=self.arrivals,
        )
        return decision.allowed

    def count_arrival(self, dispatch: Dispatch) -> None:
        """Count a send whose first byte is about to leave; one beyond the first uses a permit.

        A first reading of the prompt is counted once it is known whether an engine took it.
        """
        if self.arrivals and not self._permits:
            detail = "a send beyond the first without a permit"
            raise RelayFailedError(self.truthful(Refusal(ErrorKind.INTERNAL, detail)))
        if self.has_read or not dispatch.only_read:
            self._count(dispatch)

    def count_reading(self, dispatch: Dispatch, taken: bool) -> None:
        """Count how a reading of the prompt ended: the first that is taken is no send of its own."""
        first = not self.has_read
        self.has_read = self.has_read or taken
        if first and taken:
            return
        self.sends += 1
        if first:
            self._count(dispatch)

    def _count(self, dispatch: Dispatch) -> None:
        self.arrivals += 1
        if self.arrivals == 1:
            return
        self._permits -= 1
        self.parts.dispatcher.use_retry_permit(self.service.name)
        RELAY_REPEATS.inc(outcome="sent")
        _log.info(
            REQUEST_REPEATED,
            request=self.request.request_id,
            service=self.service.name,
            back_end=dispatch.back_end.name,
            only_read=dispatch.only_read,
            arrivals=self.arrivals,
        )

    def drop_permits(self, keep: int = 0) -> None:
        """Give back the permits for sends that will not be made, but for some."""
        while self._permits > keep:
            self.parts.dispatcher.release_retry_permit(self.service.name)
            self._permits -= 1

    def hold_answer(self, size: int) -> bool:
        """Count bytes of an answer that are held, and return whether there is room for them."""
        if not self.parts.room.reserve(size):
            return False
        self._held_bytes += size
        return True

    def drop_answer(self) -> None:
        """Count the bytes of answers off, as they were handed on or are not needed."""
        self.parts.room.release(self._held_bytes)
        self._held_bytes = 0

    def count_begun(self) -> None:
        """Count the request for its customer, once."""
        if not self._counted:
            self._counted = True
            self.parts.began(self.customer)


def request_digest(request: RelayRequest, customer: str) -> str:
    """Return what a request has in common with the same one sent again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer, request.method, request.host, request.target):
        digest.update(part.encode("utf-8", "replace") + b"\0")
    digest.update(request.body or b"")
    return digest.hexdigest()
