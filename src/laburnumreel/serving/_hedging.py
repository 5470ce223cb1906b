"""Sends of a request beside the one that a silent back end has: which of the answers is taken."""

from collections.abc import Callable
from typing import Literal, NamedTuple, Protocol

from laburnumreel.coordination import BackEnd
from laburnumreel.core import Clock, Event, Log
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
from laburnumreel.transport import Address, BackEndFailureError, Exchange

# Sound back ends fall silent for about a second. A second one's own failure, or its time to come
# back, is passed on where the first one stays silent for this time from then on.
FAILURE_HOLD_S = 1.6
# How often a second send that has sent a part of something looks whether the first has gone on.
HEDGE_POLL_INTERVAL_S = 0.05

# What a send has brought so far: nothing yet, an answer to go on with, a refusal, the back end's own
# failure as a whole answer, nothing that can be the answer, or not all of something in time.
Outcome = Literal["awaited", "answers", "refused", "failed", "useless", "silent"]

_log = Log("serving.second_sends")


class BackEndRequest(NamedTuple):
    """What goes to a back end."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | None


class AnswerJudge(Protocol):
    """Tells from what comes on one exchange whether the request can go on with it."""

    def judge_head(self, exchange: Exchange) -> Outcome:
        """Judge the head."""

    def judge_body(self, data: bytes) -> Outcome:
        """Judge the next bytes, none at the end. Raises BackEndFailureError for what is no answer."""


class RequestSource(Protocol):
    """The run that a request belongs to."""

    @property
    def delivered_tokens(self) -> int:
        """The tokens of a stream that are with the caller."""

    def make_request(self) -> BackEndRequest:
        """Return what to send to a back end now."""

    def make_judge(self) -> AnswerJudge:
        """Return what judges the answer to the present request."""


class HedgedAttempt:
    """A send on an exchange of its own, which is read as far as it comes without waiting.

    `should_give_up` is asked while a part of something has come: it ends the wait for the rest.
    """

    def __init__(
        self,
        back_end: BackEnd,
        exchange: Exchange,
        judge: AnswerJudge,
        clock: Clock,
        should_give_up: Callable[[], bool],
    ) -> None:
        self.back_end = back_end
        self.exchange = exchange
        self.sent_at = clock.now()
        self.is_silent = False
        # Since when the present part of the answer is read or the request is written.
        self.active_since = self.sent_at
        self.has_head = False
        self.early_body = b""
        self._judge = judge
        self._clock = clock
        self._method = ""
        exchange.on_timeout = lambda _: None if should_give_up() else HEDGE_POLL_INTERVAL_S

    def write(self, request: BackEndRequest) -> None:
        """Send the request. Raises BackEndFailureError."""
        self._method = request.method
        self.exchange.write(*request, HEDGE_POLL_INTERVAL_S)

    def poll(self, request_id: str) -> Outcome:
        """Take in what has come, and judge it."""
        outcome: Outcome = "awaited"
        try:
            while outcome == "awaited" and (self.exchange.can_read_now or self._is_bodiless):
                self.active_since = self._clock.now()
                if self.has_head:
                    data = self.exchange.read()
                    self.early_body += data
                    outcome = self._judge.judge_body(data)
                else:
                    self.exchange.read_head(self._method, HEDGE_POLL_INTERVAL_S)
                    self.has_head = True
                    if belongs_to_other_request(self.exchange, request_id):
                        return "useless"
                    outcome = self._judge.judge_head(self.exchange)
        except BackEndFailureError as error:
            return "silent" if error.reason == "silent" else "useless"
        return outcome

    @property
    def _is_bodiless(self) -> bool:
        """Whether the head is all that comes, whatever it says of a body."""
        return self.has_head and self._method == "HEAD"

    def read_head(self, timeout_s: float) -> None:
        """Wait for the head, where it has not come yet."""
        if not self.has_head:
            self.exchange.read_head(self._method, timeout_s)
            self.has_head = True
        self.exchange.set_timeout(timeout_s)

    def take_early_body(self) -> bytes:
        """Return what was read of the body before the request went on with this send."""
        early_body, self.early_body = self.early_body, b""
        return early_body


class HedgedAttempts:
    """The sends of one request beside that to its silent back end.

    Each one takes a retry of the service and a place, and is ended as soon as another one answers.
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
        self._source = source
        self._tried_names = tried_names
        self._contacted_addresses = contacted_addresses
        self._submit_cancel = submit_cancel
        self._pending: list[HedgedAttempt] = []
        self._answered_hedge: HedgedAttempt | None = None
        self._failed_hedge: HedgedAttempt | None = None
        self._failed_at = 0.0
        self._may_send = True
        # Whether the request was quarantined for the crash of a second back end.
        self.is_quarantined = False
        # How many of all sends that are not taken over may have run.
        self._unresolved_sends = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of the request may have reached a back end here that did not refuse it."""
        return self._unresolved_sends > 0

    @property
    def pending_exchanges(self) -> list[Exchange]:
        """The exchanges whose answers are awaited."""
        return [hedge.exchange for hedge in self._pending]

    @property
    def has_answer(self) -> bool:
        """Whether the request has an answer to go on with."""
        return self._answered_hedge is not None

    @property
    def has_candidates(self) -> bool:
        """Whether the request can go on with one where its own back end has ended."""
        return bool(self._answered_hedge or self._pending or self._failed_hedge)

    def send(self, silent_exchange: Exchange, on_sent: Callable[[], None]) -> HedgeDenial | None:
        """Send the request to one more back end, unless the first one speaks meanwhile.

        Returns why there is none; `on_sent` is called where a retry is spent.
        """
        job, dispatcher = self._job, self._deps.dispatcher
        if not self._may_send:
            return HedgeDenial.NO_RETRY
        selection = BackEndSelection(
            job.work, job.profile.cheap_back_ends == "interruptible", job.digest
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
        """Look what has come, and return whether the request has an answer to go on with."""
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
        """Return the send to go on with, which is the caller's from now on, and end the others."""
        adopted = self._answered_hedge or (
            self._pending[0] if self._pending else self._failed_hedge
        )
        if adopted is not None:
            self._unresolved_sends -= 1
            if adopted.is_silent:
                request_id = self._job.running.request_id
                self._deps.dispatcher.on_silence_ended(adopted.back_end.name, request_id)
            adopted.exchange.on_timeout = None
        self.cancel_all(except_for=adopted)
        return adopted

    def cancel_all(self, except_for: HedgedAttempt | None = None) -> None:
        """End all sends but one."""
        if not self.has_candidates:
            return
        to_cancel = [*self._pending, *filter(None, (self._answered_hedge, self._failed_hedge))]
        self._pending, self._answered_hedge, self._failed_hedge = [], None, None
        for hedge in to_cancel:
            if hedge is not except_for:
                self._close_hedge(hedge, "not_needed")

    def _check_silence(self, hedge: HedgedAttempt) -> None:
        """Tell the dispatcher of a back end that is silent in its turn."""
        silent_s = self._deps.clock.now() - hedge.sent_at
        if not hedge.is_silent and silent_s >= self._job.profile.silence_s:
            hedge.is_silent = True
            self._deps.dispatcher.on_silence(hedge.back_end.name, self._job.running.request_id)

    def _has_retry_after(self, hedge: HedgedAttempt) -> bool:
        """Return whether a refusal tells a caller without tokens when to come; none is asked then."""
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
        """Whether to end a send of which only a part of something has come."""
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
        hedge.exchange.close()
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
    """Return a request with the headers that each send of it has."""
    remaining = job.running.deadline - deps.clock.now()
    headers = dict(request.headers)
    headers["X-Request-Id"] = job.running.request_id
    headers["X-Deadline-Ms"] = str(max(1, int(remaining * 1000)))
    if job.credential:
        headers["Authorization"] = f"Bearer {job.credential}"
    return request._replace(headers=headers)
