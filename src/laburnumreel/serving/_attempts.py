"""The attempts of one request: choosing back ends, and what may be retried where."""

from laburnumreel.coordination import BackEnd
from laburnumreel.core import Log
from laburnumreel.serving._crashes import has_crashed
from laburnumreel.serving._events import REQUEST_RETRIED, SILENT_SPOKE, SILENT_WAITED_FOR
from laburnumreel.serving._job import Job, RequestFailedError
from laburnumreel.serving._metrics import CANCELS, RETRIES
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._refusals import is_of_another, means_this, seconds_to_come_back
from laburnumreel.serving._second_sends import Asker, SecondSend, SecondSends, prepared
from laburnumreel.state import ErrorKind, Refusal, RunState
from laburnumreel.transport import Address, BackEndFailureError, Exchange, await_bytes

BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0
# How long a request that already ran elsewhere waits for a back end that can take it over.
TAKEOVER_WAIT_S = 2.0
TAKEOVER_CHECK_S = 0.05
# How often a request at a silent back end asks for a retry and a place elsewhere.
SILENCE_CHECK_S = 0.25
CANCEL_TIMEOUT_S = 1.0

_log = Log("serving.attempts")


class Attempts:
    """Opens exchanges with one back end after another, as far as the request's rights go.

    A back end that is silent is not given up for that: it may go on in a second. The request is sent
    beside it to another one, as its retries allow, and leaves it only for an answer of that one,
    which may refuse, fail or be silent as well. Otherwise it waits until its deadline.
    """

    def __init__(self, parts: Parts, job: Job, asker: Asker, first: BackEnd | None = None) -> None:
        self._parts = parts
        self._first = first
        self._job = job
        self._tried: list[str] = []
        # A back end may be listed under two names. An id does not tell answers to two sends apart.
        self._asked: set[Address] = set()
        self._retries = 0
        # How many sends may have run, besides those that are awaited beside.
        self._unsettled = 0
        self._asker = asker
        self._back_end: BackEnd | None = None
        self._exchange: Exchange | None = None
        self._beside = SecondSends(parts, job, asker, self._tried, self._asked, self._cancel)
        # The second send that the request goes on with, where there is one.
        self._taken: SecondSend | None = None
        self._send_beside_at = 0.0
        self._may_leave = job.repeatable
        self._patient = True
        # What is known of a silent back end: since when, whether it takes connections, and why the
        # request is still there.
        self._silent_since: float | None = None
        self._reachable = True
        self._missing = ""

    @property
    def _cheap(self) -> bool:
        return self._job.profile.cheap_back_ends == "interruptible"

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of the request may have reached a back end that did not refuse it."""
        return self._unsettled > 0 or self._beside.may_have_run

    def open(self) -> Exchange:
        """Return an exchange with the next back end, for `send`."""
        while True:
            if self._taken is not None:
                self._back_end = self._taken.back_end
                return self._attached(self._taken.exchange)
            self._back_end = back_end = self._choose()
            try:
                exchange = self._connect(back_end, not self._job.repeatable)
            except BackEndFailureError:
                self._close(failed=True)
                self._retry("connect_failed", Refusal(ErrorKind.NO_BACK_END))
                continue
            return self._attached(exchange)

    def _connect(self, back_end: BackEnd, fresh: bool = False) -> Exchange:
        return self._parts.pool.open(back_end.address, fresh or back_end.address in self._asked)

    def _attached(self, exchange: Exchange) -> Exchange:
        self._exchange = exchange
        if not self._job.running.attach(exchange):
            self._close()
            raise self.failure(Refusal(ErrorKind.INTERNAL))
        return exchange

    def send(self) -> None:
        """Send the request on the open exchange and read the answer's head."""
        self._asked.add(self._back_end.address)
        exchange, silence_s = self._exchange, self._job.profile.silence_s
        self._patient = True
        exchange.on_timeout = self._on_silence
        if self._taken is not None:
            self._taken.read_head(silence_s)
        else:
            self._unsettled += 1
            exchange.send(*prepared(self._asker.request(), self._parts, self._job), silence_s)
        self._heard()
        if is_of_another(exchange, self._job.running.request_id):
            raise BackEndFailureError("lost", "the answer belongs to another request", True)

    def read(self) -> bytes:
        """Return the next bytes of the answer; none at its end."""
        data = self._taken.take_early() if self._taken is not None else b""
        data = data or self._exchange.read()
        self._parts.dispatcher.heard(self._back_end.name)
        self._heard()
        return data

    def settle(self) -> None:
        """End the sends beside: the back end has sent a part of the answer that is taken."""
        self._beside.end()

    def stay(self) -> None:
        """Leave the back end no more for its silence: a part of its answer is with the caller."""
        self._may_leave = False
        self._beside.end()

    def end_patience(self) -> None:
        """Wait no longer than the exchange's timeout for what is left of this exchange."""
        self._patient = False

    def first_token(self) -> None:
        """The first token of this exchange came."""
        request_id = self._job.running.request_id
        self._parts.dispatcher.first_token(self._back_end.name, request_id)

    def refused(self, retry_after: str | None, detail: str) -> None:
        """The back end refused: go on with another one, or fail with its time to come back.

        A caller that has tokens of a stream can't come back for the others.
        """
        self._take_word()
        self._parts.dispatcher.refused(self._back_end.name)
        if self._beside.has_more:
            self._go_on_beside()
            return
        self._close()
        if self._asker.delivered:
            detail = ""
        elif (wait := seconds_to_come_back(retry_after)) is not None:
            raise self.failure(Refusal(ErrorKind.BACK_END_REFUSED, detail, wait))
        self._retry("back_end_refused", Refusal(ErrorKind.BACK_END_REFUSED, detail))

    def rejected(self, detail: str) -> RequestFailedError:
        """The back end holds the request to be malformed, which says nothing of earlier attempts."""
        self._take_word()
        self._close()
        return self.failure(Refusal(ErrorKind.BAD_REQUEST, detail))

    def lost(self, error: BackEndFailureError, progressed: bool = False) -> None:
        """The exchange broke, or is left: go on with another back end, or fail with what is known.

        `progressed` says whether this exchange had any tokens of the answer.
        """
        back_end = self._back_end
        aborted = self._job.running.aborted is not None
        # One that is left for an answer is not asked whether it has crashed: that may take a while.
        crashed = (
            not aborted
            and not self._beside.has_answer
            and (error.reason in ("lost", "short") or not self._reachable)
            and has_crashed(back_end.address)
        )
        quarantined = crashed and self._parts.dispatcher.crashed(
            back_end.name, self._job.running.request_id, progressed
        )
        failed = crashed or not self._reachable
        cancel = error.sent and not crashed
        goes_on = self._beside.has_answer or (self._beside.has_more and self._has_time)
        if goes_on and not aborted and not quarantined:
            self._go_on_beside(failed=failed, cancel=cancel, lost=True)
            return
        self._close(failed=failed, cancel=cancel, lost=not aborted)
        if aborted:
            raise self.failure(Refusal(ErrorKind.INTERNAL))
        if quarantined:
            raise self.failure(Refusal(ErrorKind.QUARANTINED))
        kind = {
            "silent": ErrorKind.BACK_END_TIMEOUT,
            "short": ErrorKind.INCOMPLETE_ANSWER,
        }.get(error.reason, ErrorKind.BACK_END_LOST)
        if crashed:
            kind = ErrorKind.BACK_END_LOST
        if not self._job.repeatable:
            raise self.failure(Refusal(kind))
        self._retry(self._retry_reason(), Refusal(kind))

    def done(self) -> None:
        """End the exchange, whose answer is complete."""
        self._close()

    def abandon(self) -> None:
        """End an exchange whose answer nobody waits for, and cancel it at the back end."""
        if self._exchange is not None:
            self._close(cancel=True)

    def failure(self, refusal: Refusal) -> RequestFailedError:
        """Return the final error, with what is known about the request's execution."""
        refusal = self._job.running.aborted or refusal
        state = RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN
        return RequestFailedError(refusal._replace(run_state=state))

    def _take_word(self) -> None:
        """Take a back end's word that it has not run the request, where it is proven to be meant."""
        if means_this(self._exchange):
            self._unsettled -= 1
        else:
            self._exchange.abort()

    def _choose(self) -> BackEnd:
        job, dispatcher = self._job, self._parts.dispatcher
        if self._first is not None:
            # Chosen with the admission, which saves a message to the dispatcher.
            first, self._first = self._first, None
            self._tried.append(first.name)
            return first
        give_up_at = self._parts.clock.now() + TAKEOVER_WAIT_S
        while True:
            if job.running.aborted is not None:
                raise self.failure(Refusal(ErrorKind.INTERNAL))
            back_end = dispatcher.choose(job.work, self._cheap, self._tried, job.digest)
            if back_end is not None:
                self._tried.append(back_end.name)
                return back_end
            if not self._tried or self._parts.clock.now() >= give_up_at:
                raise self.failure(self._nothing_left())
            job.running.sleep(TAKEOVER_CHECK_S)

    def _nothing_left(self) -> Refusal:
        if self.may_have_run:
            return Refusal(ErrorKind.BACK_END_LOST, "No other back end can take over.")
        return Refusal(ErrorKind.NO_BACK_END)

    def _retry(self, reason: str, refusal: Refusal) -> None:
        if self._beside.quarantined:
            raise self.failure(Refusal(ErrorKind.QUARANTINED))
        running, now = self._job.running, self._parts.clock.now()
        limit = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**self._retries)
        wait = self._parts.rng.uniform(0, limit)
        if now + wait >= running.deadline or not self._parts.dispatcher.take_retry(
            self._job.service.name
        ):
            raise self.failure(refusal)
        self._count_retry(reason)
        running.sleep(wait)

    def _retry_reason(self) -> str:
        if self._parts.dispatcher.leaving(self._back_end.name):
            return "zone_reclaimed"
        return "resumed" if self._asker.delivered else "idempotent_lost"

    def _count_retry(self, reason: str) -> None:
        self._retries += 1
        RETRIES.inc(reason=reason)
        _log.info(REQUEST_RETRIED, request=self._job.running.request_id, reason=reason)

    @property
    def _has_time(self) -> bool:
        return self._parts.clock.now() < self._job.running.deadline

    def _go_on_beside(self, failed: bool = False, cancel: bool = False, lost: bool = False) -> None:
        """Go on with a second send in the place of the present one."""
        second = self._beside.take()
        self._unsettled += 1
        self._close(failed, cancel, lost)
        self._taken = second

    def _close(self, failed: bool = False, cancel: bool = False, lost: bool = False) -> None:
        self._beside.end()
        self._end_silence()
        back_end, exchange = self._back_end, self._exchange
        self._exchange = self._taken = None
        self._job.running.detach()
        if exchange is not None:
            incomplete = not exchange.complete
            exchange.close()
            if cancel and incomplete and back_end.kind == "engine":
                self._cancel(back_end)
        request_id = self._job.running.request_id
        self._parts.dispatcher.attempt_ended(back_end.name, request_id, failed, lost)

    def _on_silence(self, bytes_came: bool) -> float | None:
        """Return for how long to wait on for a silent back end, None to leave it.

        Runs on the request's thread, in the middle of a read.
        """
        running, now = self._job.running, self._parts.clock.now()
        if not self._patient or running.aborted is not None or now >= running.deadline:
            return None
        if self._silent_since is None:
            self._silent_since = self._send_beside_at = now
            self._parts.dispatcher.silent(self._back_end.name, running.request_id)
            self._reachable = self._parts.pool.probe_and_wait(self._back_end.address)
            if not self._reachable and has_crashed(self._back_end.address):
                return None
        if not self._may_leave:
            self._log_waiting("the answer can only come from this one")
            return min(SILENCE_CHECK_S, running.deadline - now)
        return self._await_beside(bytes_came)

    def _await_beside(self, bytes_came: bool) -> float | None:
        """Await the silent back end beside second sends; None where one of these answers."""
        running, has_spoken = self._job.running, not bytes_came and self._exchange.has_unread
        while not has_spoken:
            now = self._parts.clock.now()
            if running.aborted is not None or now >= running.deadline or self._beside.answers():
                return None
            if now >= self._send_beside_at:
                self._send_beside(now)
            left_s = running.deadline - now
            if not self._beside.has_more:
                return min(SILENCE_CHECK_S, left_s)
            await_bytes([self._exchange, *self._beside.exchanges], min(SILENCE_CHECK_S, left_s))
            has_spoken = self._exchange.has_unread
        return SILENCE_CHECK_S

    def _send_beside(self, now: float) -> None:
        """Send the request beside the silent back end, and look for a third one after a silence."""
        missing = self._beside.send(self._exchange, lambda: self._count_retry(self._retry_reason()))
        sent = bool(self._beside.exchanges)
        self._send_beside_at = now + (self._job.profile.silence_s if sent else SILENCE_CHECK_S)
        if missing is not None and not sent:
            self._log_waiting(str(missing))

    def _heard(self) -> None:
        if self._silent_since is None:
            return
        request_id, back_end = self._job.running.request_id, self._back_end.name
        silent_ms = round(1000 * (self._parts.clock.now() - self._silent_since))
        _log.info(SILENT_SPOKE, request=request_id, back_end=back_end, silent_ms=silent_ms)
        self._parts.dispatcher.spoke(back_end, request_id)
        self._end_silence()

    def _end_silence(self) -> None:
        self._silent_since, self._reachable, self._missing = None, True, ""

    def _log_waiting(self, missing: str) -> None:
        if missing != self._missing:
            self._missing = missing
            _log.info(
                SILENT_WAITED_FOR,
                request=self._job.running.request_id,
                back_end=self._back_end.name,
                missing=missing,
                reachable=self._reachable,
                left_ms=round(1000 * (self._job.running.deadline - self._parts.clock.now())),
            )

    def _cancel(self, back_end: BackEnd) -> None:
        CANCELS.inc()
        self._parts.background.submit(
            _cancel, self._parts, back_end, self._job.running.request_id, self._job.credential
        )


def _cancel(parts: Parts, back_end: BackEnd, request_id: str, credential: str) -> None:
    headers = {"Authorization": f"Bearer {credential}"} if credential else {}
    try:
        exchange = parts.pool.open(back_end.address, fresh=True)
    except BackEndFailureError:
        return
    try:
        exchange.send("POST", f"/requests/{request_id}/cancel", headers, b"", CANCEL_TIMEOUT_S)
    except BackEndFailureError:
        return
    finally:
        exchange.close()
