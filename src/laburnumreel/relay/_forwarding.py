"""Requests that a host passes on to another one, because it has lost its links to all servers.

The other host handles a request as if its caller had sent it there: it alone checks quotas, takes
permits of the retry budget and counts usage. A request is passed on once at most.
"""

import random
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from laburnumreel.core import Clock, Log
from laburnumreel.relay._attempt import MAX_UNREPEATABLE_IDLE_S
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._events import FORWARD_FAILED, REQUEST_FORWARDED
from laburnumreel.relay._job import Job, RelayFailedError
from laburnumreel.relay._metrics import RELAY_FORWARDED
from laburnumreel.relay._ports import CallerWire
from laburnumreel.state import ErrorKind, Refusal, RunState
from laburnumreel.transport import BackEndFailureError, BackEndPool, Exchange

# Hosts that a request is offered to. The next one is tried only if the request has not run.
MAX_HOSTS = 3
# A host of another region counts as if it had this many more requests of this host.
OTHER_REGION_REQUESTS = 4
# The other host answers at the deadline; its answer may take this long to come.
ANSWER_GRACE_S = 0.2
RETRY_S = 0.2
# How long a request whose servers could not be reached waits for the verdict on this host's links.
DOUBT_WAIT_S = 1.2
DOUBT_POLL_S = 0.02
# Refusals for reasons of the other host's own, which the next host need not have.
_HOST_REFUSALS = frozenset({ErrorKind.STOPPING, ErrorKind.NOT_READY, ErrorKind.THREADS_EXHAUSTED})

_log = Log("relay.forwarding")


class ForwardTarget(NamedTuple):
    """A host that takes requests that others pass on."""

    name: str
    address: Address
    is_other_region: bool


class ForwardedAnswer:
    """The answer of the host that a request was passed on to; its body is read as it arrives."""

    def __init__(self, job: Job, exchange: Exchange, on_closed: Callable[[], None]) -> None:
        self._job = job
        self._exchange = exchange
        self._on_closed = on_closed
        self._is_closed = False

    @property
    def status(self) -> int:
        return self._exchange.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        return self._exchange.headers

    @property
    def length(self) -> str | None:
        """The length of the body as the other host named it, or None."""
        return self._exchange.header("Content-Length")

    def read(self) -> bytes:
        """Return the next bytes, or `b""` at the end; raise `RelayFailedError` if it broke off."""
        try:
            return self._exchange.read()
        except BackEndFailureError as error:
            refusal = Refusal(ErrorKind.INCOMPLETE_ANSWER, str(error), run_state=RunState.UNKNOWN)
            aborted = self._job.running.abort_reason is not None
            raise RelayFailedError(self._job.abort_refusal() if aborted else refusal) from error

    def close(self) -> None:
        """End the exchange; its connection is reused if the whole answer was read."""
        if self._is_closed:
            return
        self._is_closed = True
        self._job.running.detach()
        self._exchange.close()
        self._on_closed()


class Forwarder:
    """Passes requests on to hosts that reach backend servers. Thread-safe.

    `targets` returns the hosts that take requests, `is_cut_off` whether this host reaches no server,
    and `is_in_doubt` whether that is not known yet.
    """

    def __init__(
        self,
        pool: BackEndPool,
        callers: CallerWire,
        targets: Callable[[], Sequence[ForwardTarget]],
        is_cut_off: Callable[[], bool],
        is_in_doubt: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._callers = callers
        self._targets = targets
        self._is_cut_off = is_cut_off
        self._is_in_doubt = is_in_doubt
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        # Requests that other hosts have of this one now.
        self._sent: Counter[str] = Counter()

    def takes(self, job: Job) -> bool:
        """Return whether a request goes to another host."""
        return self._is_cut_off() and not job.request.is_forwarded and bool(self._targets())

    def takes_after_doubt(self, job: Job) -> bool:
        """Return the same for a request that failed here, once it is known what has failed."""
        deadline = self._clock.now() + min(DOUBT_WAIT_S, job.remaining_s)
        while self._is_in_doubt() and self._clock.now() < deadline:
            if job.running.abort_reason is not None:
                return False
            job.running.sleep(DOUBT_POLL_S)
        return self.takes(job)

    def send(self, job: Job) -> ForwardedAnswer:
        """Pass a request on and return the answer's head; raise `RelayFailedError`."""
        tried: set[str] = set()
        refusal = Refusal(ErrorKind.NO_BACK_END, "no other host takes the request", RETRY_S)
        while len(tried) < MAX_HOSTS and (target := self._choose(tried)) is not None:
            tried.add(target.name)
            try:
                return self._send_to(target, job)
            except RelayFailedError as error:
                refusal = error.refusal
                if job.run_state is not RunState.NOT_RUN or job.running.abort_reason is not None:
                    break
        raise RelayFailedError(job.refusal_with_run_state(refusal))

    def _choose(self, tried: set[str]) -> ForwardTarget | None:
        """Return the target with the fewest requests of this host, any one of several."""

        def cost(target: ForwardTarget) -> tuple[int, float]:
            distance = OTHER_REGION_REQUESTS if target.is_other_region else 0
            return self._sent[target.name] + distance, self._rng.random()

        untried = [each for each in self._targets() if each.name not in tried]
        with self._lock:
            return min(untried, key=cost, default=None)

    def _send_to(self, target: ForwardTarget, job: Job) -> ForwardedAnswer:
        try:
            exchange = self._pool.open(
                target.address,
                max_reuse_idle_s=float("inf") if job.route.repeatable else MAX_UNREPEATABLE_IDLE_S,
            )
        except BackEndFailureError as error:
            self._log_failed(target, job, str(error))
            raise RelayFailedError(Refusal(ErrorKind.NO_BACK_END, str(error), RETRY_S)) from error
        with self._lock:
            self._sent[target.name] += 1
        answer = ForwardedAnswer(job, exchange, lambda: self._on_closed(target))
        try:
            self._exchange_heads(target, job, exchange)
        except BaseException:
            answer.close()
            raise
        return answer

    def _exchange_heads(self, target: ForwardTarget, job: Job, exchange: Exchange) -> None:
        """Send the request and read the head of its answer, or raise `RelayFailedError`."""
        request = job.request
        if not job.running.attach(exchange):
            raise RelayFailedError(job.abort_refusal())
        timeout_s = max(0.0, job.remaining_s) + ANSWER_GRACE_S
        job.record_run_state(exchange, RunState.UNKNOWN)
        try:
            exchange.send(
                request.method,
                request.target,
                self._callers.forward_headers(request, job.remaining_s),
                request.body,
                timeout_s,
            )
        except BackEndFailureError as error:
            self._log_failed(target, job, str(error))
            if job.running.abort_reason is not None:
                raise RelayFailedError(job.abort_refusal()) from error
            is_silent = error.reason == "silent"
            kind = ErrorKind.BACK_END_TIMEOUT if is_silent else ErrorKind.BACK_END_LOST
            raise RelayFailedError(Refusal(kind, str(error), run_state=RunState.UNKNOWN)) from error
        refused = self._callers.refusal_kind(exchange.header_map)
        if refused is not None and refused.state is RunState.NOT_RUN:
            job.record_run_state(exchange, RunState.NOT_RUN)
            if refused.kind in _HOST_REFUSALS:
                self._log_failed(target, job, str(refused.kind))
                raise RelayFailedError(Refusal(refused.kind, "another host refused", RETRY_S))
        RELAY_FORWARDED.inc(outcome="answered")
        _log.info(
            REQUEST_FORWARDED,
            request=request.request_id,
            peer=target.name,
            status=exchange.status,
            refused=str(refused.kind) if refused is not None else None,
            took_ms=round(1000 * job.elapsed_s),
            left_ms=round(1000 * job.remaining_s),
        )

    def _on_closed(self, target: ForwardTarget) -> None:
        with self._lock:
            self._sent[target.name] -= 1

    def _log_failed(self, target: ForwardTarget, job: Job, detail: str) -> None:
        RELAY_FORWARDED.inc(outcome="failed")
        _log.info(
            FORWARD_FAILED,
            request=job.request.request_id,
            peer=target.name,
            detail=detail[:200],
            left_ms=round(1000 * job.remaining_s),
        )
