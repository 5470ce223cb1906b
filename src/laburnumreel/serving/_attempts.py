"""The attempts of one request: choice of back ends, retries and failover."""

from laburnumreel.coordination import BackEnd
from laburnumreel.core import Log
from laburnumreel.serving._crashes import has_crashed
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._events import REQUEST_RETRIED, SILENCE_ENDED, WAITING_FOR_SILENT
from laburnumreel.serving._hedging import (
    HedgedAttempt,
    HedgedAttempts,
    RequestSource,
    add_common_headers,
)
from laburnumreel.serving._job import Job, RequestFailedError
from laburnumreel.serving._metrics import CANCELS, RETRIES
from laburnumreel.serving._refusals import (
    belongs_to_other_request,
    is_for_this_request,
    parse_retry_after,
)
from laburnumreel.serving._silence_tracker import RESUME_GRACE_S
from laburnumreel.state import ErrorKind, Refusal, RunState
from laburnumreel.transport import Address, BackEndFailureError, Exchange, await_bytes

BACKOFF_BASE_S = 0.02
MAX_BACKOFF_S = 1.0
# How long a request that was already sent to a back end waits until another one is available.
FAILOVER_WAIT_S = 2.0
FAILOVER_POLL_INTERVAL_S = 0.05
# How often a request at a silent back end tries to reserve a hedged request.
SILENCE_POLL_INTERVAL_S = 0.25
CANCEL_TIMEOUT_S = 1.0

_log = Log("serving.attempts")


class AttemptRunner:
    """Opens exchanges with one back end after another, within the retry limits of the request.

    A silent back end is not given up, as it may resume within a second. Instead the request is
    hedged: within the retry budget it is also sent to a second back end. It switches to the second
    one only when that answers, because the second may also refuse, fail or be silent. Otherwise it
    waits for the silent back end until its deadline.
    """

    def __init__(
        self,
        deps: GatewayDependencies,
        job: Job,
        source: RequestSource,
        initial_back_end: BackEnd | None = None,
    ) -> None:
        self._deps = deps
        self._initial_back_end = initial_back_end
        self._job = job
        self._work = job.work
        self._tried_names: list[str] = []
        # The same back end may be listed under two names, and the request id does not distinguish
        # the answers to two sends. So an address used before gets a new connection.
        self._contacted_addresses: set[Address] = set()
        self._retry_count = 0
        # Number of sends, except hedged ones, after which the back end may have run the request.
        self._unresolved_sends = 0
        self._source = source
        self._back_end: BackEnd | None = None
        self._exchange: Exchange | None = None
        self._hedges = HedgedAttempts(
            deps, job, source, self._tried_names, self._contacted_addresses, self._submit_cancel
        )
        # The hedged request that replaced the previous attempt, if any.
        self._adopted_hedge: HedgedAttempt | None = None
        self._next_hedge_at = 0.0
        self._may_fail_over = job.is_repeatable
        self._tolerates_silence = True
        # State of a silent back end: since when it is silent, whether it accepts connections, and
        # the last logged reason why the request stays there.
        self._silent_since: float | None = None
        self._is_reachable = True
        self._logged_reason = ""
        # Whether the request has waited because others at its silent back end resumed.
        self._has_used_grace = False

    @property
    def _allow_interruptible(self) -> bool:
        return self._job.profile.cheap_back_ends == "interruptible"

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of the request may have reached a back end that did not refuse it."""
        return self._unresolved_sends > 0 or self._hedges.may_have_run

    def open(self) -> Exchange:
        """Return an exchange with the next back end, for use by `send`.

        Raises RequestFailedError if no back end is available.
        """
        while True:
            if self._adopted_hedge is not None:
                self._back_end = self._adopted_hedge.back_end
                return self._attach(self._adopted_hedge.exchange)
            self._back_end = back_end = self._choose()
            try:
                exchange = self._connect(back_end, not self._job.is_repeatable)
            except BackEndFailureError:
                self._close(has_failed=True)
                self._retry("connect_failed", Refusal(ErrorKind.NO_BACK_END))
                continue
            return self._attach(exchange)

    def _connect(self, back_end: BackEnd, use_new_connection: bool = False) -> Exchange:
        return self._deps.pool.open(
            back_end.address, use_new_connection or back_end.address in self._contacted_addresses
        )

    def _attach(self, exchange: Exchange) -> Exchange:
        self._exchange = exchange
        if not self._job.running.attach(exchange):
            self._close()
            raise self.make_error(Refusal(ErrorKind.INTERNAL))
        return exchange

    def send(self) -> None:
        """Send the request on the open exchange and read the head of the answer.

        Raises BackEndFailureError.
        """
        self._contacted_addresses.add(self._back_end.address)
        exchange, silence_s = self._exchange, self._job.profile.silence_s
        self._tolerates_silence = True
        exchange.on_timeout = self._on_silence
        if self._adopted_hedge is not None:
            self._adopted_hedge.read_head(silence_s)
        else:
            self._unresolved_sends += 1
            exchange.send(
                *add_common_headers(self._source.make_request(), self._deps, self._job), silence_s
            )
        self._on_bytes()
        if belongs_to_other_request(exchange, self._job.running.request_id):
            raise BackEndFailureError("lost", "the answer belongs to another request", True)

    def read(self) -> bytes:
        """Return the next bytes of the answer, or empty bytes at its end."""
        data = self._adopted_hedge.take_early_body() if self._adopted_hedge is not None else b""
        data = data or self._exchange.read()
        self._deps.dispatcher.on_bytes(self._back_end.name)
        self._on_bytes()
        return data

    def cancel_hedges(self) -> None:
        """Cancel the hedged requests, because a part of the current answer was accepted."""
        self._hedges.cancel_all()

    def pin_back_end(self) -> None:
        """Stay at the current back end when it is silent: the caller has a part of its answer."""
        self._may_fail_over = False
        self._hedges.cancel_all()

    def stop_tolerating_silence(self) -> None:
        """Limit each further wait on this exchange to the timeout of the exchange."""
        self._tolerates_silence = False

    def on_first_token(self) -> None:
        """Report the first token of this exchange to the dispatcher."""
        # What two versions of the software generate does not fit together.
        self._work = self._job.work._replace(software=self._back_end.software)
        self._hedges.work = self._work
        request_id = self._job.running.request_id
        self._deps.dispatcher.on_first_token(self._back_end.name, request_id)

    def on_refused(self, retry_after: str | None, detail: str) -> None:
        """Handle a refusal: continue with another back end, or fail with its `Retry-After`.

        `Retry-After` is ignored once the caller has tokens of a stream, because the caller cannot
        fetch the rest with a later request.
        """
        self._record_refusal()
        self._deps.dispatcher.on_refused(self._back_end.name)
        if self._hedges.has_candidates:
            self._adopt_hedge()
            return
        self._close()
        if self._source.delivered_tokens:
            detail = ""
        elif (wait_s := parse_retry_after(retry_after)) is not None:
            raise self.make_error(Refusal(ErrorKind.BACK_END_REFUSED, detail, wait_s))
        self._retry("back_end_refused", Refusal(ErrorKind.BACK_END_REFUSED, detail))

    def on_rejected(self, detail: str) -> RequestFailedError:
        """Return the error for a request that the back end rejected as malformed.

        The rejection does not show whether earlier attempts ran.
        """
        self._record_refusal()
        self._close()
        return self.make_error(Refusal(ErrorKind.BAD_REQUEST, detail))

    def on_lost(self, error: BackEndFailureError, has_progressed: bool = False) -> None:
        """Handle a broken or abandoned exchange: continue with another back end, or fail.

        `has_progressed` is true if this exchange delivered any tokens of the answer. Raises
        RequestFailedError if the request cannot continue.
        """
        back_end = self._back_end
        is_aborted = self._job.running.abort_reason is not None
        # The crash probe may block, so it is skipped if another back end has already answered.
        crashed = (
            not is_aborted
            and not self._hedges.has_answer
            and (error.reason in ("lost", "short") or not self._is_reachable)
            and has_crashed(back_end.address)
        )
        quarantined = crashed and self._deps.dispatcher.on_crash(
            back_end.name, self._job.running.request_id, has_progressed
        )
        has_failed = crashed or not self._is_reachable or error.reason in ("too_costly", "too_long")
        cancel = error.sent and not crashed
        can_continue = self._hedges.has_answer or (
            self._hedges.has_candidates and self._is_before_deadline
        )
        if can_continue and not is_aborted and not quarantined:
            self._adopt_hedge(has_failed=has_failed, cancel=cancel, is_answer_lost=True)
            return
        self._close(has_failed=has_failed, cancel=cancel, is_answer_lost=not is_aborted)
        if is_aborted:
            raise self.make_error(Refusal(ErrorKind.INTERNAL))
        if quarantined:
            raise self.make_error(Refusal(ErrorKind.QUARANTINED))
        kind = {
            "silent": ErrorKind.BACK_END_TIMEOUT,
            "short": ErrorKind.INCOMPLETE_ANSWER,
        }.get(error.reason, ErrorKind.BACK_END_LOST)
        if crashed:
            kind = ErrorKind.BACK_END_LOST
        if not self._job.is_repeatable:
            raise self.make_error(Refusal(kind))
        self._retry(self._retry_reason(), Refusal(kind))

    def finish(self) -> None:
        """Close the exchange after a complete answer."""
        self._close()

    def abandon(self) -> None:
        """Close an exchange whose answer is no longer needed, and cancel it at the back end."""
        if self._exchange is not None:
            self._close(cancel=True)

    def abort(self) -> None:
        """Abort the exchange, from any thread."""
        exchange = self._exchange
        if exchange is not None:
            exchange.abort()

    def make_error(self, refusal: Refusal) -> RequestFailedError:
        """Return the final error, with the run state of the request."""
        refusal = self._job.running.abort_reason or refusal
        state = RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN
        return RequestFailedError(refusal._replace(run_state=state))

    def _record_refusal(self) -> None:
        """Record that the back end did not run the request, if the refusal belongs to this request.

        Otherwise the connection is aborted, as the real answer may still follow.
        """
        if is_for_this_request(self._exchange):
            self._unresolved_sends -= 1
        else:
            self._exchange.abort()

    def _choose(self) -> BackEnd:
        job, dispatcher = self._job, self._deps.dispatcher
        if self._initial_back_end is not None:
            # Chosen together with the admission, which saves a message to the dispatcher.
            initial_back_end, self._initial_back_end = self._initial_back_end, None
            # The claim of an idempotent request may have taken seconds since then.
            held = dispatcher.find_held_part(job.work.parts)
            if held is not None:
                request_id = job.running.request_id
                dispatcher.on_attempt_ended(initial_back_end.name, request_id, False)
                raise self.make_error(held)
            self._tried_names.append(initial_back_end.name)
            return initial_back_end
        give_up_at = self._deps.clock.now() + FAILOVER_WAIT_S
        while True:
            if job.running.abort_reason is not None:
                raise self.make_error(Refusal(ErrorKind.INTERNAL))
            back_end = dispatcher.choose(
                self._work, self._allow_interruptible, self._tried_names, job.digest
            )
            if isinstance(back_end, Refusal):
                raise self.make_error(back_end)
            if back_end is not None:
                self._tried_names.append(back_end.name)
                return back_end
            if not self._tried_names or self._deps.clock.now() >= give_up_at:
                raise self.make_error(self._no_back_end_refusal())
            job.running.sleep(FAILOVER_POLL_INTERVAL_S)

    def _no_back_end_refusal(self) -> Refusal:
        if self.may_have_run:
            return Refusal(ErrorKind.BACK_END_LOST, "No other back end can take over.")
        return Refusal(ErrorKind.NO_BACK_END)

    def _retry(self, reason: str, refusal: Refusal) -> None:
        if self._hedges.is_quarantined:
            raise self.make_error(Refusal(ErrorKind.QUARANTINED))
        running, now = self._job.running, self._deps.clock.now()
        max_wait_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**self._retry_count)
        wait_s = self._deps.rng.uniform(0, max_wait_s)
        if now + wait_s >= running.deadline or not self._deps.dispatcher.acquire_retry(
            self._job.service.name
        ):
            raise self.make_error(refusal)
        self._record_retry(reason)
        running.sleep(wait_s)

    def _retry_reason(self) -> str:
        if self._deps.dispatcher.is_leaving(self._back_end.name):
            return "zone_reclaimed"
        return "resumed" if self._source.delivered_tokens else "idempotent_lost"

    def _record_retry(self, reason: str) -> None:
        self._retry_count += 1
        RETRIES.inc(reason=reason)
        _log.info(REQUEST_RETRIED, request=self._job.running.request_id, reason=reason)

    @property
    def _is_before_deadline(self) -> bool:
        return self._deps.clock.now() < self._job.running.deadline

    def _adopt_hedge(
        self, has_failed: bool = False, cancel: bool = False, is_answer_lost: bool = False
    ) -> None:
        """Replace the current attempt with a hedged request."""
        hedge = self._hedges.adopt()
        self._unresolved_sends += 1
        self._close(has_failed, cancel, is_answer_lost)
        self._adopted_hedge = hedge

    def _close(
        self, has_failed: bool = False, cancel: bool = False, is_answer_lost: bool = False
    ) -> None:
        self._hedges.cancel_all()
        self._reset_silence()
        back_end, exchange = self._back_end, self._exchange
        if self._adopted_hedge is not None:
            self._adopted_hedge.take_early_body()
        self._exchange = self._adopted_hedge = None
        self._job.running.detach()
        if exchange is not None:
            incomplete = not exchange.complete
            exchange.close()
            if cancel and incomplete and back_end.kind == "engine":
                self._submit_cancel(back_end)
        request_id = self._job.running.request_id
        self._deps.dispatcher.on_attempt_ended(
            back_end.name, request_id, has_failed, is_answer_lost
        )

    def _on_silence(self, has_received_bytes: bool) -> float | None:
        """Return how many more seconds to wait for a silent back end, or None to leave it.

        Called on the request's thread in the middle of a read.
        """
        running, now = self._job.running, self._deps.clock.now()
        if (
            not self._tolerates_silence
            or running.abort_reason is not None
            or now >= running.deadline
        ):
            return None
        if self._silent_since is None:
            self._silent_since = self._next_hedge_at = now
            self._deps.dispatcher.on_silence(self._back_end.name, running.request_id)
            self._is_reachable = self._deps.pool.probe_and_wait(self._back_end.address)
            if not self._is_reachable and has_crashed(self._back_end.address):
                return None
        if not self._may_fail_over:
            self._log_waiting("the answer can only come from this back end")
            return min(SILENCE_POLL_INTERVAL_S, running.deadline - now)
        return self._wait_with_hedges(has_received_bytes)

    def _wait_with_hedges(self, has_received_bytes: bool) -> float | None:
        """Wait for the silent back end and the hedged requests; return None if a hedge answers."""
        running, has_resumed = (
            self._job.running,
            not has_received_bytes and self._exchange.has_unread,
        )
        while not has_resumed:
            now = self._deps.clock.now()
            if (
                running.abort_reason is not None
                or now >= running.deadline
                or self._hedges.poll_answers()
            ):
                return None
            if now >= self._next_hedge_at:
                self._start_hedge(now)
            remaining_s = running.deadline - now
            if not self._hedges.has_candidates:
                return min(SILENCE_POLL_INTERVAL_S, remaining_s)
            await_bytes(
                [self._exchange, *self._hedges.pending_exchanges],
                min(SILENCE_POLL_INTERVAL_S, remaining_s),
            )
            has_resumed = self._exchange.has_unread
        return SILENCE_POLL_INTERVAL_S

    def _start_hedge(self, now: float) -> None:
        """Send a hedged request, and schedule the next one after a further silence.

        Once in each silence, it is delayed if other requests at the back end have just resumed.
        """
        if not self._has_used_grace and self._deps.dispatcher.has_just_resumed(self._back_end.name):
            self._has_used_grace = True
            self._next_hedge_at = now + RESUME_GRACE_S
            self._log_waiting("other requests at its back end have just resumed")
            return
        reason = self._hedges.send(self._exchange, lambda: self._record_retry(self._retry_reason()))
        sent = bool(self._hedges.pending_exchanges)
        self._next_hedge_at = now + (
            self._job.profile.silence_s if sent else SILENCE_POLL_INTERVAL_S
        )
        if reason is not None and not sent:
            self._log_waiting(str(reason))

    def _on_bytes(self) -> None:
        if self._silent_since is None:
            return
        request_id, back_end = self._job.running.request_id, self._back_end.name
        silent_ms = round(1000 * (self._deps.clock.now() - self._silent_since))
        _log.info(SILENCE_ENDED, request=request_id, back_end=back_end, silent_ms=silent_ms)
        self._deps.dispatcher.on_silence_ended(back_end, request_id)
        self._reset_silence()

    def _reset_silence(self) -> None:
        self._silent_since, self._is_reachable, self._logged_reason = None, True, ""
        self._has_used_grace = False

    def _log_waiting(self, reason: str) -> None:
        if reason != self._logged_reason:
            self._logged_reason = reason
            _log.info(
                WAITING_FOR_SILENT,
                request=self._job.running.request_id,
                back_end=self._back_end.name,
                missing=reason,
                reachable=self._is_reachable,
                left_ms=round(1000 * (self._job.running.deadline - self._deps.clock.now())),
            )

    def _submit_cancel(self, back_end: BackEnd) -> None:
        CANCELS.inc()
        self._deps.background.submit(
            _send_cancel, self._deps, back_end, self._job.running.request_id, self._job.credential
        )


def _send_cancel(
    deps: GatewayDependencies, back_end: BackEnd, request_id: str, credential: str
) -> None:
    headers = {"Authorization": f"Bearer {credential}"} if credential else {}
    try:
        exchange = deps.pool.open(back_end.address, fresh=True)
    except BackEndFailureError:
        return
    try:
        exchange.send("POST", f"/requests/{request_id}/cancel", headers, b"", CANCEL_TIMEOUT_S)
    except BackEndFailureError:
        return
    finally:
        exchange.close()
