"""The attempts of one request: choosing back ends, and what may be retried where."""

import socket
from typing import NamedTuple

from laburnumreel.coordination import BackEnd, Work
from laburnumreel.core import Log
from laburnumreel.serving._events import REQUEST_RETRIED
from laburnumreel.serving._metrics import CANCELS, RETRIES
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._registry import Running
from laburnumreel.state import ErrorKind, Profile, Refusal, RunState, Service
from laburnumreel.transport import BackEndFailureError, Exchange

BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0
# How long a request that already ran elsewhere waits for a back end that can take it over.
TAKEOVER_WAIT_S = 2.0
TAKEOVER_CHECK_S = 0.05
CRASH_CHECK_S = 0.5
ENDING_S = 0.05
CANCEL_TIMEOUT_S = 1.0

_log = Log("serving.attempts")


class RequestFailedError(Exception):
    """The request has its final answer, which is this refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal.kind))
        self.refusal = refusal


class Job(NamedTuple):
    """A checked and admitted request.

    `repeatable` says that running it twice does no harm. `digest` names the body for the
    quarantine.
    """

    running: Running
    work: Work
    service: Service
    profile: Profile
    credential: str
    repeatable: bool
    digest: str
    arrived_at: float


class Attempts:
    """Opens exchanges with one back end after another, as far as the request's rights go."""

    def __init__(self, parts: Parts, job: Job, first: BackEnd | None = None) -> None:
        self._parts = parts
        self._first = first
        self._job = job
        self._tried: list[str] = []
        self._retries = 0
        self._may_have_run = False
        self._back_end: BackEnd | None = None
        self._exchange: Exchange | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of the request may have reached a back end that did not refuse it."""
        return self._may_have_run

    def open(self) -> Exchange:
        """Return an exchange with the next back end, to which nothing was sent yet."""
        while True:
            self._back_end = back_end = self._choose()
            try:
                exchange = self._parts.pool.open(back_end.address, not self._job.repeatable)
            except BackEndFailureError:
                self._close(failed=True)
                self._retry("connect_failed", Refusal(ErrorKind.NO_BACK_END))
                continue
            self._exchange = exchange
            if not self._job.running.attach(exchange):
                self._close()
                raise self.failure(Refusal(ErrorKind.INTERNAL))
            return exchange

    def send(self, method: str, target: str, headers: dict[str, str], body: bytes | None) -> None:
        """Send the request on the open exchange and read the answer's head."""
        remaining = self._job.running.deadline - self._parts.clock.now()
        headers["X-Request-Id"] = self._job.running.request_id
        headers["X-Deadline-Ms"] = str(max(1, int(remaining * 1000)))
        if self._job.credential:
            headers["Authorization"] = f"Bearer {self._job.credential}"
        self._may_have_run = True
        self._exchange.send(method, target, headers, body, self._job.profile.silence_s)
        echoed = self._exchange.header("X-Request-Id")
        if echoed is not None and echoed != self._job.running.request_id:
            raise BackEndFailureError("lost", "the answer belongs to another request", True)

    def first_token(self) -> None:
        """The first token of this exchange came."""
        request_id = self._job.running.request_id
        self._parts.dispatcher.first_token(self._back_end.name, request_id)

    def refused(self, ran_before: bool, retry_after: str | None, detail: str) -> None:
        """The back end refused: go on with another one, or fail with its time to come back."""
        self._may_have_run = ran_before
        self._parts.dispatcher.refused(self._back_end.name)
        self._close()
        if retry_after is not None and retry_after.isdigit():
            wait = float(retry_after)
            raise self.failure(Refusal(ErrorKind.BACK_END_REFUSED, detail, wait))
        self._retry("back_end_refused", Refusal(ErrorKind.BACK_END_REFUSED, detail))

    def lost(
        self, error: BackEndFailureError, delivered: int = 0, progressed: bool = False
    ) -> None:
        """The exchange broke: go on with another back end, or fail with what is known.

        `delivered` counts the tokens of all attempts; `progressed` says whether this one had any.
        """
        back_end = self._back_end
        aborted = self._job.running.aborted is not None
        crashed = (
            not aborted and error.reason in ("lost", "short") and _has_crashed(back_end.address)
        )
        if error.reason == "silent" and not aborted:
            # A back end that does not even take a connection is as good as crashed.
            crashed = not self._parts.pool.went_silent(back_end.address)
        quarantined = crashed and self._parts.dispatcher.crashed(
            back_end.name, self._job.running.request_id, progressed
        )
        self._close(failed=crashed, cancel=error.sent and not crashed, lost=not aborted)
        if aborted:
            raise self.failure(Refusal(ErrorKind.INTERNAL))
        if quarantined:
            raise self.failure(Refusal(ErrorKind.QUARANTINED))
        kind = {
            "silent": ErrorKind.BACK_END_TIMEOUT,
            "short": ErrorKind.INCOMPLETE_ANSWER,
        }.get(error.reason, ErrorKind.BACK_END_LOST)
        if crashed and error.reason == "short":
            kind = ErrorKind.BACK_END_LOST
        if not self._job.repeatable:
            raise self.failure(Refusal(kind))
        reason = "resumed" if delivered else "idempotent_lost"
        if self._parts.dispatcher.leaving(back_end.name):
            reason = "zone_reclaimed"
        self._retry(reason, Refusal(kind))

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
        state = RunState.UNKNOWN if self._may_have_run else RunState.NOT_RUN
        return RequestFailedError(refusal._replace(run_state=state))

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
            cheap = job.profile.cheap_back_ends == "interruptible"
            back_end = dispatcher.choose(job.work, cheap, self._tried, job.digest)
            if back_end is not None:
                self._tried.append(back_end.name)
                return back_end
            if not self._tried or self._parts.clock.now() >= give_up_at:
                raise self.failure(self._nothing_left())
            job.running.sleep(TAKEOVER_CHECK_S)

    def _nothing_left(self) -> Refusal:
        if self._may_have_run:
            return Refusal(ErrorKind.BACK_END_LOST, "No other back end can take over.")
        return Refusal(ErrorKind.NO_BACK_END)

    def _retry(self, reason: str, refusal: Refusal) -> None:
        running, now = self._job.running, self._parts.clock.now()
        limit = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**self._retries)
        wait = self._parts.rng.uniform(0, limit)
        if now + wait >= running.deadline or not self._parts.dispatcher.take_retry(
            self._job.service.name
        ):
            raise self.failure(refusal)
        self._retries += 1
        RETRIES.inc(reason=reason)
        _log.info(REQUEST_RETRIED, request=running.request_id, reason=reason)
        running.sleep(wait)

    def _close(self, failed: bool = False, cancel: bool = False, lost: bool = False) -> None:
        back_end, exchange = self._back_end, self._exchange
        self._exchange = None
        self._job.running.detach()
        if exchange is not None:
            incomplete = not exchange.complete
            exchange.close()
            if cancel and incomplete and back_end.kind == "engine":
                self._cancel(back_end)
        request_id = self._job.running.request_id
        self._parts.dispatcher.attempt_ended(back_end.name, request_id, failed, lost)

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


def _has_crashed(address: tuple[str, int]) -> bool:
    """Return whether no process serves the address: a back end that crashed, not a lost path.

    A process that is just ending may still take the connection, but closes it at once.
    """
    try:
        with socket.create_connection(address, CRASH_CHECK_S) as probe:
            probe.settimeout(ENDING_S)
            probe.recv(1)
            return True
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        return False
