"""Sends to backend servers: one exchange each, with its failure named."""

import http.client
import socket
import time
from collections import deque
from collections.abc import Mapping
from concurrent.futures import Future

from laburnumreel.core import Log
from laburnumreel.relay._events import ANSWER_SKIPPED, ATTEMPT_FAILED
from laburnumreel.relay._failover import Failover
from laburnumreel.relay._job import MIN_TIME_S, Job, RelayFailedError
from laburnumreel.relay._metrics import RELAY_ATTEMPTS
from laburnumreel.relay._requests import Dispatch, SelfReport, Verdict
from laburnumreel.relay._send_failures import FailureCause, SendFailedError
from laburnumreel.state import RunState
from laburnumreel.transport import BackEndFailureError, Exchange

# A request that must not be repeated only goes out on a connection that was used this lately.
MAX_UNREPEATABLE_IDLE_S = 3.0
# Silence that is shorter than this does not show that a connection or a backend server is dead.
MIN_SILENCE_EVIDENCE_S = 0.7
# A backend server that does not take a connection in this time is not there: the longest way is
# some tens of milliseconds.
CRASH_PROBE_TIMEOUT_S = 0.25
# A refusal is a short text. One that is longer, or comes more slowly, costs its connection.
MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_READ_TIMEOUT_S = 0.1
# How long a second send may hold up the reading of the first one's answer: the longest pause between
# two pieces of a head or a chunk that came in part.
HEDGE_READ_TIMEOUT_S = 0.1

_log = Log("relay.sending")


class Attempt:
    """One send of a request to one backend server.

    `failover` looks for another one while this one is silent; a send beside another one has none
    until `take_over`. `exchange` is on a connection that was held for the request. Use it as a
    context manager, which ends the exchange.
    """

    def __init__(
        self,
        job: Job,
        dispatch: Dispatch,
        failover: Failover | None,
        exchange: Exchange | None = None,
    ) -> None:
        self._job = job
        self._dispatch = dispatch
        self._failover = failover
        self._reserved_exchange = exchange
        self._exchange: Exchange | None = None
        self._attached = False
        self._sent_at = 0.0
        # Whether the wait for the head lasts until the request is given up.
        self._waits_until_deadline = False
        self._is_server_leaving = False
        self._has_named_limit = False
        # What was read of the answer while another backend server was awaited as well.
        self._early_pieces: deque[bytes] = deque()
        self.verdict: Verdict | None = None

    def __enter__(self) -> "Attempt":
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    @property
    def exchange(self) -> Exchange:
        return self._exchange

    @property
    def sent_at(self) -> float:
        """When the request was sent, by the process' clock."""
        return self._sent_at

    def close(self) -> None:
        """End the exchange; its connection is used again if the whole answer was read.

        One to a backend server that leaves is closed.
        """
        self._early_pieces.clear()
        if self._failover is not None:
            self._failover.cancel_search()
        if self._exchange is not None:
            if self._attached:
                self._job.running.detach()
            if self._is_server_leaving:
                self._exchange.discard()
            else:
                self._exchange.close()
            self._exchange = None

    def send(self, silence_limit_s: float) -> Verdict:
        """Send the request and return what the answer's head says, or raise `SendFailedError`.

        `silence_limit_s` is the longest wait for the head before another backend server is looked for.
        """
        job = self._job
        self._exchange = self._reserved_exchange or self._connect()
        self._attach()
        job.pending_sends = 1
        try:
            self._set_patience(silence_limit_s)
            self._write(silence_limit_s)
            verdict = self._read_head(silence_limit_s)
        finally:
            job.pending_sends = 0
        self._on_answer_started()
        return verdict

    def send_hedged(self) -> None:
        """Send the request beside another send, to which this one must not be lost.

        Raises `SendFailedError`.
        """
        self._exchange = self._reserved_exchange
        self._write(HEDGE_READ_TIMEOUT_S)

    @property
    def early_body(self) -> bytes:
        """What was read of the answer's body while another backend server was awaited as well."""
        return b"".join(self._early_pieces)

    def read_early(self) -> bool:
        """Read the head, or what has come of the body, while another backend server is awaited.

        Returns False at the end of the body. Raises `SendFailedError`.
        """
        if self.verdict is None:
            self._read_head(HEDGE_READ_TIMEOUT_S, at_once=True)
            return True
        self._exchange.set_timeout(HEDGE_READ_TIMEOUT_S)
        piece = self.read_unbuffered()
        if piece:
            self._early_pieces.append(piece)
        return bool(piece)

    def take_over(self, failover: Failover, silence_limit_s: float) -> Verdict:
        """Go on with this send alone, and return what the answer's head says.

        `failover` looks for another backend server from now on; the arguments and errors are those
        of `send`.
        """
        self._failover = failover
        self._attach()
        self._set_patience(silence_limit_s)
        if self.verdict is None:
            self._waits_until_deadline = silence_limit_s >= self._job.remaining_s - MIN_TIME_S
            self._read_head(silence_limit_s)
            self._on_answer_started()
        else:
            self._exchange.set_timeout(silence_limit_s)
        return self.verdict

    def mark_run(self) -> None:
        """Take in that the backend server has run the request."""
        self._job.record_run_state(self, RunState.RAN)

    def _attach(self) -> None:
        """Let the end of the request's time, or its caller's leaving, end the exchange."""
        self._attached = True
        if not self._job.running.attach(self._exchange):
            raise RelayFailedError(self._job.abort_refusal())

    def _write(self, timeout_s: float) -> None:
        job, dispatch, request = self._job, self._dispatch, self._dispatch.request
        job.contacted_addresses.add(dispatch.back_end.address)
        job.count_delivery(dispatch)
        self._sent_at = job.deps.clock.now()
        self._waits_until_deadline = timeout_s >= job.remaining_s - MIN_TIME_S
        if not dispatch.only_read:
            job.record_run_state(self, RunState.UNKNOWN)
        headers = job.deps.wire.headers(dispatch)
        try:
            self._exchange.write(request.method, request.target, headers, request.body, timeout_s)
        except BackEndFailureError as error:
            raise self._exchange_error(error) from error

    def _read_head(self, timeout_s: float, at_once: bool = False) -> Verdict | None:
        """Read the answer's head and return what it says, or raise `SendFailedError`.

        None with `at_once`, where the answer's own head is still to come.
        """
        deps, dispatch, exchange = self._job.deps, self._dispatch, self._exchange
        back_end, verdicts = dispatch.back_end, []

        def is_ours(status: int, headers: Mapping[str, str]) -> bool:
            deps.unknown_headers.log_new(deps.wire.unknown_headers(headers), back_end.name)
            verdict = deps.wire.verdict(status, headers, dispatch)
            if verdict is None or not (verdict.names_request or exchange.is_alone):
                self._log_skipped(status)
                return False
            self_report = deps.wire.self_report(status, headers, back_end.name)
            self._record_self_report(self_report)
            verdicts.append(verdict)
            self._has_named_limit = self_report.limit_per_s is not None
            return True

        try:
            if not exchange.read_head(dispatch.request.method, timeout_s, is_ours, at_once):
                return None
        except BackEndFailureError as error:
            raise self._exchange_error(error) from error
        self.verdict = self._check_verdict(verdicts[-1])
        return self.verdict

    def _on_answer_started(self) -> None:
        """Give up the search for another backend server; a failure does not end it."""
        if self.verdict.outcome != "failure":
            self._failover.on_answer_started()

    def _connect(self) -> Exchange:
        deps, back_end = self._job.deps, self._dispatch.back_end
        repeatable = self._job.route.repeatable or self._dispatch.only_read
        try:
            return deps.pool.open(
                back_end.address,
                # The request's id doesn't tell answers to two sends of it apart.
                fresh=back_end.address in self._job.contacted_addresses,
                idle_at_most_s=float("inf") if repeatable else MAX_UNREPEATABLE_IDLE_S,
            )
        except BackEndFailureError as error:
            deps.dispatcher.record_unreachable(back_end.name)
            raise self._send_error("unreachable", str(error), False) from error

    def _set_patience(self, silence_limit_s: float) -> None:
        """Let a silent server be left only for another one that is held."""
        exchange, failover = self._exchange, self._failover
        exchange.patience = lambda bytes_came: failover.wait(silence_limit_s, exchange, bytes_came)

    def await_event(self, silence_limit_s: float) -> None:
        """Wait that long for the next whole event, and then look for another backend server."""
        self._set_patience(silence_limit_s)
        self._exchange.set_timeout(silence_limit_s)

    def extend_wait(self, silence_limit_s: float) -> None:
        """Wait on for an event of which only pieces come, or raise `SendFailedError`."""
        more_s = self._failover.wait(silence_limit_s, self._exchange, True)
        if more_s is None:
            detail = "pieces of an event or comments came, and no whole event"
            raise self._exchange_error(BackEndFailureError("silent", detail, sent=True))
        self._exchange.set_timeout(more_s)

    def read(self) -> bytes:
        """Return the next bytes of the answer; none at its end."""
        return self._early_pieces.popleft() if self._early_pieces else self.read_unbuffered()

    def read_unbuffered(self) -> bytes:
        """Return the next bytes after those that were read early; none at the answer's end."""
        try:
            return self._exchange.read()
        except BackEndFailureError as error:
            raise self._exchange_error(error) from error

    def read_all(self, max_bytes: int) -> bytes:
        """Return the whole answer, which must not be longer than `max_bytes`."""
        # Pieces may be as short as a byte, so that a list of them would be many times as large.
        body = bytearray()
        may_have_run = not self._dispatch.only_read
        while piece := self.read():
            self._on_answer_started()
            body += piece
            if len(body) > max_bytes:
                detail = f"the answer has more than {max_bytes} bytes"
                raise self._send_error("too_long", detail, may_have_run)
            if not self._job.reserve_answer(len(piece)):
                raise self._send_error("too_long", "answers fill the memory for them", may_have_run)
        if not self._exchange.complete:
            raise self._send_error("lost", "the exchange was aborted", may_have_run)
        return bytes(body)

    def continuation_error(self, detail: str) -> SendFailedError:
        """Judge a backend server that was asked to resume a stream and does not go on with it."""
        return self._send_error("not_genuine", detail, True)

    def _record_self_report(self, self_report: SelfReport) -> None:
        """Take what the backend server says of itself, in whichever answer to the request."""
        if self_report.leaving:
            self._is_server_leaving = True
            self._job.deps.pool.drop(self._dispatch.back_end.address, time.monotonic())
        self._job.deps.dispatcher.on_self_report(self._dispatch.back_end, self_report)

    def _log_skipped(self, status: int) -> None:
        _log.warning(
            ANSWER_SKIPPED,
            request=self._dispatch.request.request_id,
            back_end=self._dispatch.back_end.name,
            status=status,
        )

    def _check_verdict(self, verdict: Verdict) -> Verdict:
        job, name = self._job, self._dispatch.back_end.name
        if verdict.other_incarnation:
            job.deps.dispatcher.on_address_reused(name)
            self._on_refused()
            raise self._send_error("moved", "another backend server answered", False)
        if verdict.not_run:
            self._on_refused()
            raise self._send_error(
                "refused", f"status {self._exchange.status}", False, verdict.retry_after_s
            )
        if not verdict.genuine:
            detail = f"status {self._exchange.status} without the mark that it needs"
            raise self._send_error("not_genuine", detail, True)
        # Other answers may be made without the server's own headers.
        if self._dispatch.is_limited and not self._has_named_limit and verdict.outcome == "success":
            job.deps.dispatcher.on_limit_removed(self._dispatch.back_end)
        return verdict

    def _on_refused(self) -> None:
        """Take the backend server's word that the request did not run."""
        self._job.record_run_state(self, RunState.NOT_RUN)
        self._exchange.patience = None
        # The rest of a short refusal is read, so that the connection can be used again.
        try:
            self._exchange.read_whole(MAX_REFUSAL_BYTES, REFUSAL_READ_TIMEOUT_S)
        except BackEndFailureError as error:
            RELAY_ATTEMPTS.inc(outcome="refusal_cut")
            _log.debug(ATTEMPT_FAILED, trouble="refusal_cut", detail=str(error))

    def _exchange_error(self, error: BackEndFailureError) -> SendFailedError:
        """Judge an exchange that broke off, and look whether the backend server is still there."""
        job, back_end = self._job, self._dispatch.back_end
        silent = error.reason == "silent"
        elapsed_s = job.deps.clock.now() - self._sent_at
        if silent and self._waits_until_deadline and elapsed_s < MIN_SILENCE_EVIDENCE_S:
            # The route's own time was too short for an answer; that says nothing of the backend.
            return self._send_error("out_of_time", str(error), not self._dispatch.only_read)
        if job.running.aborted is None:
            if silent:
                self._probe_silent_server()
            elif not _accepts_connections(back_end.address):
                job.deps.dispatcher.record_unreachable(back_end.name)
                job.deps.dispatcher.record_crash(back_end.name, job.digest)
        cause = "silent" if silent else "lost"
        return self._send_error(cause, str(error), not self._dispatch.only_read)

    def _probe_silent_server(self) -> None:
        """Look whether a silent backend server takes connections, without waiting for it."""
        dispatcher, back_end = self._job.deps.dispatcher, self._dispatch.back_end

        def found(probe: Future) -> None:
            if probe.result() != "taken":
                dispatcher.record_unreachable(back_end.name)

        self._job.deps.pool.probe(back_end.address).add_done_callback(found)

    def _send_error(
        self,
        cause: FailureCause,
        detail: str,
        may_have_run: bool,
        retry_after_s: float | None = None,
    ) -> SendFailedError:
        job, dispatch = self._job, self._dispatch
        RELAY_ATTEMPTS.inc(outcome=cause)
        if job.running.aborted is None:
            if cause not in ("unreachable", "moved", "out_of_time"):
                job.deps.dispatcher.record_outcome(dispatch.back_end.name, failed=True)
            _log.info(
                ATTEMPT_FAILED,
                request=dispatch.request.request_id,
                back_end=dispatch.back_end.name,
                trouble=cause,
                detail=detail[:200],
                only_read=dispatch.only_read,
                may_have_run=may_have_run,
                waited_ms=round(1000 * job.elapsed_s),
                left_ms=round(1000 * job.remaining_s),
            )
        return SendFailedError(cause, detail, may_have_run, retry_after_s)


def _accepts_connections(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, CRASH_PROBE_TIMEOUT_S):
            return True
    except (OSError, http.client.HTTPException):
        return False
