"""Hedged requests: further sends of a request whose first back end is silent."""

from collections.abc import Callable
from typing import Literal, NamedTuple, Protocol

from laburnumreel.coordination import BackEnd
from laburnumreel.core import Clock, Event, HeldAnswer, Log
from laburnumreel.serving._crashes import has_crashed
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._dispatcher import BackEndSelection
from laburnumreel.serving._events import HEDGE_ENDED, HEDGE_SENT
from laburnumreel.serving._job import Job
from laburnumreel.serving._refusals import (
    belongs_to_other_request,
    is_for_this_request,
    parse_retry_after,
)
from laburnumreel.serving._silence_tracker import HedgeDenial
from laburnumreel.transport import Address, BackEndFailureError, CostlyAnswerError, Exchange

# Healthy back ends may be silent for about a second. A failure or a `Retry-After` from a second back
# end is passed to the caller only if the first one stays silent for this time after that.
FAILURE_HOLD_S = 1.6
# How often a partly received hedged answer is interrupted to check the first back end.
HEDGE_POLL_INTERVAL_S = 0.05

# The state of a hedged request:
# - awaited: no usable answer yet
# - answers: a usable answer
# - refused: a refusal
# - failed: a complete answer that reports a failure
# - useless: an unusable answer
# - silent: an answer that stalled
Outcome = Literal["awaited", "answers", "refused", "failed", "useless", "silent"]

_log = Log("serving.second_sends")


class BackEndRequest(NamedTuple):
    """A request to a back end."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | None


class AnswerJudge(Protocol):
    """Decides whether the answer on one exchange is usable for the request."""

    def judge_head(self, exchange: Exchange) -> Outcome:
        """Return the outcome after the head."""

    def judge_body(self, data: bytes) -> Outcome:
        """Return the outcome after the next bytes, which are empty at the end.

        Raises BackEndFailureError for an invalid answer.
        """


class RequestSource(Protocol):
    """The run of a request, which provides what to send and how to evaluate the answers."""

    @property
    def delivered_tokens(self) -> int:
        """The number of tokens of a stream that the caller has."""

    def make_request(self) -> BackEndRequest:
        """Return the request to send to a back end now."""

    def make_judge(self) -> AnswerJudge:
        """Return a judge for the answer to the current request."""


class HedgedAttempt:
    """A hedged request on its own exchange, which is read as far as possible without waiting.

    `should_give_up` is called while a head or a part of the body is incomplete, and ends the wait for the
    rest by returning True.
    """

    def __init__(
        self,
        back_end: BackEnd,
        exchange: Exchange,
        judge: AnswerJudge,
        clock: Clock,
        should_give_up: Callable[[], bool],
        held: HeldAnswer,
    ) -> None:
        self.back_end = back_end
        self.exchange = exchange
        self.sent_at = clock.now()
        self.is_silent = False
        # When the current read of the answer, or the write of the request, started.
        self.active_since = self.sent_at
        self.has_head = False
        self._early_body = bytearray()
        self._held = held
        self._judge = judge
        self._clock = clock
        self._method = ""
        exchange.on_timeout = lambda _: None if should_give_up() else HEDGE_POLL_INTERVAL_S

    def write(self, request: BackEndRequest) -> None:
        """Send the request. Raises BackEndFailureError."""
        self._method = request.method
        self.exchange.write(*request, HEDGE_POLL_INTERVAL_S)

    def poll(self, request_id: str) -> Outcome:
        """Read the available bytes and return the outcome."""
        outcome: Outcome = "awaited"
        try:
            while outcome == "awaited" and (self.exchange.can_read_now or self._is_bodiless):
                self.active_since = self._clock.now()
                if self.has_head:
                    data = self.exchange.read()
                    self._early_body += data
                    if not self._held.hold(len(self._early_body), wait_s=0.0):
                        return "useless"
                    outcome = self._judge.judge_body(data)
                else:
                    self.exchange.read_head(self._method, HEDGE_POLL_INTERVAL_S)
                    self.has_head = True
                    if belongs_to_other_request(self.exchange, request_id):
                        return "useless"
                    outcome = self._judge.judge_head(self.exchange)
        except CostlyAnswerError as error:
            self.exchange.make_costly_failure(error)
            return "useless"
        except BackEndFailureError as error:
            return "silent" if error.reason == "silent" else "useless"
        return outcome

    @property
    def _is_bodiless(self) -> bool:
        """Whether the answer has no body, whatever its head announces."""
        return self.has_head and self._method == "HEAD"

    def read_head(self, timeout_s: float) -> None:
        """Read the head of the answer unless it was read before. Raises BackEndFailureError."""
        if not self.has_head:
            self.exchange.read_head(self._method, timeout_s)
            self.has_head = True
        self.exchange.set_timeout(timeout_s)

    def take_early_body(self) -> bytes:
        """Return and clear the part of the body that was read while this was a hedge."""
        early_body, self._early_body = bytes(self._early_body), bytearray()
        self._held.release()
        return early_body

    def close(self) -> None:
        """Close the exchange and drop what was read."""
        self.exchange.close()
        self.take_early_body()


class HedgedAttempts:
    """The hedged requests of one request whose back end is silent.

    Each one takes a retry permit of the service and a slot at its back end, and is canceled as
    soon as another one answers.
    """

    def __init__(
        self,
        deps: GatewayDependencies,
        job: Job,
        source: RequestSource,
        tried_names: list[str],
        contacted_addresses: set[Address],
        submit_cancel: Callable[[BackEnd], None],
    ) -> None:
        self._deps = deps
        self._job = job
        self.work = job.work
        self._source = source
        self._tried_names = tried_names
        self._contacted_addresses = contacted_addresses
        self._submit_cancel = submit_cancel
        self._pending: list[HedgedAttempt] = []
        self._answered_hedge: HedgedAttempt | None = None
        self._failed_hedge: HedgedAttempt | None = None
        self._failed_at = 0.0
        self._may_send = True
        # Whether the request was quarantined after a crash of a hedge's back end.
        self.is_quarantined = False
        # Number of hedged requests that may have run and were not adopted.
        self._unresolved_sends = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a hedged request may have reached a back end that did not refuse it."""
        return self._unresolved_sends > 0

    @property
    def pending_exchanges(self) -> list[Exchange]:
        """The exchanges of the pending hedged requests."""
        return [hedge.exchange for hedge in self._pending]

    @property
    def has_answer(self) -> bool:
        """Whether a hedged request has a usable answer."""
        return self._answered_hedge is not None

    @property
    def has_candidates(self) -> bool:
        """Whether a hedged request can replace the attempt at the first back end."""
        return bool(self._answered_hedge or self._pending or self._failed_hedge)

    def send(self, silent_exchange: Exchange, on_sent: Callable[[], None]) -> HedgeDenial | None:
        """Send a hedged request to another back end unless the first one resumes meanwhile.

        Return the reason if none can be reserved, else None. `on_sent` is called if a retry permit
        is used.
        """
        job, dispatcher = self._job, self._deps.dispatcher
        if not self._may_send:
            return HedgeDenial.NO_RETRY
        selection = BackEndSelection(
            self.work, job.profile.cheap_back_ends == "interruptible", job.digest
        )
        back_end = dispatcher.reserve_hedge(selection, self._tried_names, job.profile.silence_s)
        if isinstance(back_end, HedgeDenial):
            return back_end
        try:
            address = back_end.address
            exchange = self._deps.pool.open(address, fresh=address in self._contacted_addresses)
        except BackEndFailureError:
            self._tried_names.append(back_end.name)
            self._release(back_end, has_failed=True)
            return None
        if silent_exchange.has_unread:
            exchange.discard()
            self._release(back_end)
            return None
        self._tried_names.append(back_end.name)
        self._start(back_end, exchange, silent_exchange, on_sent)
        return None

    def _start(
        self,
        back_end: BackEnd,
        exchange: Exchange,
        silent_exchange: Exchange,
        on_sent: Callable[[], None],
    ) -> None:
        hedge = HedgedAttempt(
            back_end,
            exchange,
            self._source.make_judge(),
            self._deps.clock,
            lambda: self._should_give_up(hedge, silent_exchange),
            self._deps.answer_memory.open(),
        )
        self._deps.dispatcher.commit_hedge(self._job.service.name)
        self._contacted_addresses.add(back_end.address)
        self._unresolved_sends += 1
        on_sent()
        self._log_event(HEDGE_SENT, hedge)
        try:
            hedge.write(add_common_headers(self._source.make_request(), self._deps, self._job))
        except BackEndFailureError as error:
            self._discard(hedge, "silent" if error.reason == "silent" else "useless")
            return
        self._pending.append(hedge)

    def poll_answers(self) -> bool:
        """Poll the hedged requests and return whether one of them has a usable answer."""
        for hedge in list(self._pending):
            if self._answered_hedge is not None:
                break
            outcome = hedge.poll(self._job.running.request_id)
            if outcome == "awaited":
                self._check_silence(hedge)
                continue
            self._pending.remove(hedge)
            if outcome == "refused":
                self._deps.dispatcher.on_refused(hedge.back_end.name)
            if outcome == "answers":
                self._answered_hedge = hedge
            elif self._failed_hedge is None and (
                outcome == "failed" or (outcome == "refused" and self._has_retry_after(hedge))
            ):
                self._failed_hedge, self._failed_at = hedge, self._deps.clock.now()
            else:
                self._discard(hedge, outcome)
        held_s = self._deps.clock.now() - self._failed_at
        if self._failed_hedge is not None and not self._pending and held_s >= FAILURE_HOLD_S:
            self._answered_hedge, self._failed_hedge = self._failed_hedge, None
        return self._answered_hedge is not None

    def adopt(self) -> HedgedAttempt | None:
        """Return the hedged request to continue with, and cancel the others.

        The caller owns the returned one from then on.
        """
        adopted = self._answered_hedge or (
            self._pending[0] if self._pending else self._failed_hedge
        )
        if adopted is not None:
            self._unresolved_sends -= 1
            if adopted.is_silent:
                request_id = self._job.running.request_id
                self._deps.dispatcher.on_silence_ended(
                    adopted.back_end.name, request_id, has_received_bytes=adopted.has_head
                )
            adopted.exchange.on_timeout = None
        self.cancel_all(except_for=adopted)
        return adopted

    def cancel_all(self, except_for: HedgedAttempt | None = None) -> None:
        """Cancel all hedged requests but one."""
        if not self.has_candidates:
            return
        to_cancel = [*self._pending, *filter(None, (self._answered_hedge, self._failed_hedge))]
        self._pending, self._answered_hedge, self._failed_hedge = [], None, None
        for hedge in to_cancel:
            if hedge is not except_for:
                self._close_hedge(hedge, "not_needed")

    def _check_silence(self, hedge: HedgedAttempt) -> None:
        """Report a hedge's back end that is silent as well to the dispatcher."""
        silent_s = self._deps.clock.now() - hedge.sent_at
        if not hedge.is_silent and silent_s >= self._job.profile.silence_s:
            hedge.is_silent = True
            self._deps.dispatcher.on_silence(hedge.back_end.name, self._job.running.request_id)

    def _has_retry_after(self, hedge: HedgedAttempt) -> bool:
        """Stop further hedges if a refusal has a usable `Retry-After`, and return whether it has.

        It is not usable once the caller has tokens of the answer.
        """
        if self._source.delivered_tokens:
            return False
        wait_s = parse_retry_after(hedge.exchange.header("Retry-After"))
        self._may_send = self._may_send and wait_s is None
        return wait_s is not None

    def _discard(self, hedge: HedgedAttempt, outcome: Outcome) -> None:
        if outcome == "refused" and is_for_this_request(hedge.exchange):
            self._unresolved_sends -= 1
        crashed = outcome == "useless" and has_crashed(hedge.back_end.address)
        if crashed and self._deps.dispatcher.on_crash(
            hedge.back_end.name, self._job.running.request_id, False
        ):
            self.is_quarantined, self._may_send = True, False
        self._close_hedge(hedge, outcome, crashed)

    def _should_give_up(self, hedge: HedgedAttempt, silent_exchange: Exchange) -> bool:
        """Return whether to give up a hedged request with a partly received answer."""
        now, running = self._deps.clock.now(), self._job.running
        is_inactive = now - hedge.active_since >= self._job.profile.silence_s
        return (
            is_inactive
            or silent_exchange.has_unread
            or running.abort_reason is not None
            or now >= running.deadline
        )

    def _close_hedge(self, hedge: HedgedAttempt, outcome: str, crashed: bool = False) -> None:
        incomplete = not hedge.exchange.complete
        hedge.close()
        # An engine may still be running the request.
        if incomplete and not crashed and outcome != "refused" and hedge.back_end.kind == "engine":
            self._submit_cancel(hedge.back_end)
        request_id = self._job.running.request_id
        self._deps.dispatcher.on_attempt_ended(hedge.back_end.name, request_id, crashed)
        self._log_event(HEDGE_ENDED, hedge, outcome=outcome)

    def _release(self, back_end: BackEnd, has_failed: bool = False) -> None:
        service, request_id = self._job.service.name, self._job.running.request_id
        self._deps.dispatcher.release_hedge(service, back_end.name, request_id, has_failed)

    def _log_event(self, event: Event, hedge: HedgedAttempt, **fields: str) -> None:
        request_id = self._job.running.request_id
        _log.info(event, request=request_id, back_end=hedge.back_end.name, **fields)


def add_common_headers(
    request: BackEndRequest, deps: GatewayDependencies, job: Job
) -> BackEndRequest:
    """Return a copy of a request with the headers that are common to all its sends."""
    remaining = job.running.deadline - deps.clock.now()
    headers = dict(request.headers)
    headers["X-Request-Id"] = job.running.request_id
    headers["X-Deadline-Ms"] = str(max(1, int(remaining * 1000)))
    if job.credential:
        headers["Authorization"] = f"Bearer {job.credential}"
    return request._replace(headers=headers)
