"""One send of a request to a backend server, and the classification of its failure."""

import io
import socket
import time
from collections import deque
from collections.abc import Mapping
from concurrent.futures import Future
from typing import Literal

from laburnumreel.core import ROOM_WAIT_S, SMALL_ANSWER_BYTES, HeldAnswer, Log
from laburnumreel.relay._crash_evidence import LostRequest
from laburnumreel.relay._events import ANSWER_SKIPPED, ATTEMPT_FAILED
from laburnumreel.relay._failover import Failover
from laburnumreel.relay._job import MIN_TIME_S, Job, RelayFailedError
from laburnumreel.relay._metrics import RELAY_ATTEMPTS
from laburnumreel.relay._requests import Dispatch, SelfReport, Verdict
from laburnumreel.relay._send_failures import FailureCause, SendFailedError
from laburnumreel.state import RunState
from laburnumreel.transport import BackEndFailureError, CostlyAnswerError, Exchange

# A request that must not be repeated uses a pooled connection only if it was used this recently.
MAX_UNREPEATABLE_IDLE_S = 3.0
# Shorter silence does not prove that a connection or a backend server is dead.
MIN_SILENCE_EVIDENCE_S = 0.7
# A backend server that accepts no connection within this time counts as gone: the longest network
# path takes some tens of milliseconds.
CRASH_PROBE_TIMEOUT_S = 0.25
# A refusal is a short text. If it is longer or arrives more slowly, its connection is closed.
MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_READ_TIMEOUT_S = 0.1
# How long a hedged send may delay the reading of the first answer: the maximum pause between two
# pieces of a head or a chunk that has arrived in part.
HEDGE_READ_TIMEOUT_S = 0.1
# Copies of an early piece that exist at once: the piece itself, all of them joined, and the joined
# bytes as they are split into events.
EARLY_COPIES = 3

_log = Log("relay.sending")


class Attempt:
    """One send of a request to one backend server.

    `failover` looks for another server while this one is silent; a hedged send has none until
    `take_over`. `exchange` uses a connection that was reserved for the request; without it, one is
    opened. As a context manager, it ends the exchange on exit.
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
        # Whether the wait for the head lasts until the request's deadline.
        self._waits_until_deadline = False
        self._is_server_leaving = False
        self._has_named_limit = False
        # Parts of the body that were read while another backend server was still awaited.
        self._early_pieces: deque[bytes] = deque()
        self._early_bytes = 0
        self._held: HeldAnswer = job.deps.answer_memory.open(self._end_answer)
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
        """When the request was sent, in seconds of the process' clock."""
        return self._sent_at

    def close(self) -> None:
        """End the exchange; its connection is reused if the whole answer was read.

        A connection to a backend server that is leaving is closed.
        """
        self._early_pieces.clear()
        self._early_bytes = 0
        self._held.release()
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
            self._job.back_ends -= {self._dispatch.back_end.name}

    def send(self, silence_limit_s: float) -> Verdict:
        """Send the request and return the verdict on the answer's head.

        `silence_limit_s` is the maximum wait for the head before another server is looked for.
        Raises `SendFailedError`.
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
        """Send the request as a hedge on the reserved connection, without waiting for the answer.

        Raises `SendFailedError`.
        """
        self._exchange = self._reserved_exchange
        self._write(HEDGE_READ_TIMEOUT_S)

    @property
    def early_bytes(self) -> int:
        """The size of what was read while another server was still awaited and is not taken yet."""
        return self._early_bytes

    @property
    def early_held_bytes(self) -> int:
        """The bytes that early pieces hold, including the copies made of them."""
        return EARLY_COPIES * self._early_bytes

    def read_early(self) -> bytes | None:
        """Read the head, or what has arrived of the body, while another server is still awaited.

        Returns None after a head, and the next bytes of the body, empty at its end. Raises
        `SendFailedError`.
        """
        if self.verdict is None:
            self._read_head(HEDGE_READ_TIMEOUT_S, at_once=True)
            return None
        self._exchange.set_timeout(HEDGE_READ_TIMEOUT_S)
        piece = self.read_unbuffered()
        if piece:
            self._early_pieces.append(piece)
            self._early_bytes += len(piece)
            self.hold(self.early_held_bytes, wait_s=0.0)
        return piece

    def take_over(self, failover: Failover, silence_limit_s: float) -> Verdict:
        """Continue with this hedged send alone, and return the verdict on the answer's head.

        From now on, `failover` looks for another backend server. The other argument and the errors
        are those of `send`.
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
        """Record that the backend server has run the request."""
        self._job.record_run_state(self, RunState.RAN)

    def _attach(self) -> None:
        """Let the request's deadline, or its caller's disconnect, abort the exchange."""
        # The head of an earlier send does not count for this one.
        self._job.has_head = self.verdict is not None and self.verdict.outcome != "failure"
        self._attached = True
        if not self._job.running.attach(self._exchange):
            raise RelayFailedError(self._job.abort_refusal())

    def _write(self, timeout_s: float) -> None:
        job, dispatch, request = self._job, self._dispatch, self._dispatch.request
        job.contacted_addresses.add(dispatch.back_end.address)
        job.back_ends |= {dispatch.back_end.name}
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
        """Read the answer's head and return the verdict on it, or raise `SendFailedError`.

        With `at_once`, returns None if the head of the answer itself has not arrived yet.
        """
        deps, dispatch, exchange = self._job.deps, self._dispatch, self._exchange
        back_end, verdicts = dispatch.back_end, []

        def is_ours(status: int, headers: Mapping[str, str]) -> bool:
            deps.unknown_headers.log_new(deps.wire.unknown_headers(headers), back_end.name)
            verdict = deps.wire.verdict(status, headers, dispatch)
            if verdict is None or not (verdict.names_request or exchange.is_only_request):
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
        """Tell the search for another server that an answer began; a failure does not end it."""
        if self.verdict.outcome != "failure":
            self._job.has_head = True
            self._failover.on_answer_started()

    def _connect(self) -> Exchange:
        deps, back_end = self._job.deps, self._dispatch.back_end
        repeatable = self._job.route.repeatable or self._dispatch.only_read
        try:
            return deps.pool.open(
                back_end.address,
                # Answers to two sends of one request have the same request id, so that a late
                # answer on a reused connection could be mistaken for the new one.
                fresh=back_end.address in self._job.contacted_addresses,
                max_reuse_idle_s=float("inf") if repeatable else MAX_UNREPEATABLE_IDLE_S,
            )
        except BackEndFailureError as error:
            deps.dispatcher.record_unreachable(back_end.name)
            raise self._send_error("unreachable", str(error), False) from error

    def _set_patience(self, silence_limit_s: float) -> None:
        """Have the exchange call the search while the server is silent.

        The server is then left only for a reserved replacement.
        """
        exchange, failover = self._exchange, self._failover
        exchange.on_timeout = lambda bytes_came: failover.wait(
            silence_limit_s, exchange, bytes_came
        )

    def await_event(self, silence_limit_s: float) -> None:
        """Set the maximum wait for the next whole event before another server is looked for."""
        self._set_patience(silence_limit_s)
        self._exchange.set_timeout(silence_limit_s)

    def extend_wait(self, silence_limit_s: float) -> None:
        """Extend the wait for an event of which only parts arrive, or raise `SendFailedError`."""
        more_s = self._failover.wait(silence_limit_s, self._exchange, True)
        if more_s is None:
            detail = "pieces of an event or comments came, and no whole event"
            raise self._exchange_error(BackEndFailureError("silent", detail, sent=True))
        self._exchange.set_timeout(more_s)

    def read(self) -> bytes:
        """Return the next bytes of the answer, or `b""` at its end."""
        if not self._early_pieces:
            return self.read_unbuffered()
        piece = self._early_pieces.popleft()
        self._early_bytes -= len(piece)
        return piece

    def read_unbuffered(self) -> bytes:
        """Read the next bytes from the exchange, or `b""` at the answer's end."""
        try:
            return self._exchange.read()
        except BackEndFailureError as error:
            raise self._exchange_error(error) from error

    def read_all(self, max_bytes: int) -> bytes:
        """Return the whole answer; raise `SendFailedError` if it exceeds `max_bytes`."""
        # Pieces may be as short as one byte, so that a list of them would be many times as large.
        # `getvalue` shares the buffer's memory; joined pieces would be a second copy.
        # Closing frees the buffer at once, also where an error's traceback refers to it.
        with io.BytesIO() as body:
            size = 0
            while piece := self.read():
                self._on_answer_started()
                size += len(piece)
                if size > max_bytes:
                    raise self.too_long_error(f"the answer has more than {max_bytes} bytes")
                self.hold(size + self.early_held_bytes)
                body.write(piece)
            if not self._exchange.complete:
                detail = "the exchange was aborted"
                raise self._send_error("lost", detail, not self._dispatch.only_read)
            self._held.finish()
            return body.getvalue()

    @property
    def is_holding(self) -> bool:
        """Whether bytes of the answer count as held."""
        return self._held.size > 0

    def hold(self, size: int, wait_s: float = ROOM_WAIT_S) -> None:
        """Count `size` bytes of the answer as held, or raise `SendFailedError` if memory is full."""
        if not self._held.hold(size, wait_s):
            raise self._no_room_error()

    def take_held(self) -> HeldAnswer:
        """Return the account of a whole answer, which the caller of this method must release."""
        held, self._held = self._held, self._job.deps.answer_memory.open()
        return held

    def too_long_error(self, detail: str) -> SendFailedError:
        """Return the error for an answer that is larger than its limit."""
        return self._send_error("too_long", detail, not self._dispatch.only_read)

    def _no_room_error(self) -> SendFailedError:
        job, size = self._job, self._held.size
        if size > SMALL_ANSWER_BYTES and job.running.abort_reason is None:
            # A small answer only met the others' memory.
            job.deps.dispatcher.record_outcome(self._dispatch.back_end.name, failed=True)
        detail = f"answers fill the memory for them; this one held {size} bytes"
        return self._send_error("no_room", detail, not self._dispatch.only_read)

    def _end_answer(self) -> None:
        """End the answer, from any thread, because it is the largest and the memory is full."""
        exchange = self._exchange
        if exchange is not None:
            exchange.abort()

    def continuation_error(self, detail: str) -> SendFailedError:
        """Return the error for an answer that does not continue the request's stream."""
        return self._send_error("not_genuine", detail, True)

    def costly_error(self, error: CostlyAnswerError) -> SendFailedError:
        """Return the error for an answer whose events are too much work."""
        return self._exchange_error(self._exchange.make_costly_failure(error))

    def _record_self_report(self, self_report: SelfReport) -> None:
        """Record what the backend server reports of itself in any answer to the request."""
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
        # Only a successful answer without a limit shows that the limit has ended: other answers may
        # be generated without the server's own headers.
        if self._dispatch.is_limited and not self._has_named_limit and verdict.outcome == "success":
            job.deps.dispatcher.on_limit_removed(self._dispatch.back_end)
        return verdict

    def _on_refused(self) -> None:
        """Record that the request did not run, as the backend server reported."""
        self._job.record_run_state(self, RunState.NOT_RUN)
        self._exchange.on_timeout = None
        # Reading the rest of a short refusal allows reuse of the connection.
        try:
            self._exchange.read_whole(MAX_REFUSAL_BYTES, REFUSAL_READ_TIMEOUT_S)
        except BackEndFailureError as error:
            RELAY_ATTEMPTS.inc(outcome="refusal_cut")
            _log.debug(ATTEMPT_FAILED, trouble="refusal_cut", detail=str(error))

    def _exchange_error(self, error: BackEndFailureError) -> SendFailedError:
        """Return the error for an exchange that broke off, and check whether the server is gone."""
        if self._held.is_ended:
            return self._no_room_error()
        job, back_end = self._job, self._dispatch.back_end
        if error.reason == "too_costly":
            return self._send_error("too_costly", str(error), not self._dispatch.only_read)
        silent = error.reason == "silent"
        elapsed_s = job.deps.clock.now() - self._sent_at
        if silent and self._waits_until_deadline and elapsed_s < MIN_SILENCE_EVIDENCE_S:
            # The request's time was too short for an answer, which does not incriminate the server.
            return self._send_error("out_of_time", str(error), not self._dispatch.only_read)
        if job.running.abort_reason is None:
            if silent:
                self._probe_silent_server()
            else:
                self._record_loss(_probe(back_end.address))
        cause = "silent" if silent else "lost"
        return self._send_error(cause, str(error), not self._dispatch.only_read)

    def _record_loss(self, probe: Literal["accepts", "refuses", "unreachable"]) -> None:
        """Record a broken exchange with a server that no longer accepts connections.

        Only a refused connection shows that its process has ended: a host that does not answer may
        have lost its network.
        """
        job, name = self._job, self._dispatch.back_end.name
        if probe == "accepts":
            return
        job.deps.dispatcher.record_unreachable(name)
        if probe == "refuses":
            parts = () if job.has_begun else job.parts
            lost = LostRequest(job.request.request_id, job.token, job.digest, parts)
            job.deps.dispatcher.record_crash(name, lost)

    def _probe_silent_server(self) -> None:
        """Probe whether a silent backend server accepts connections, without waiting."""
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
        if job.running.abort_reason is None:
            if cause not in ("unreachable", "moved", "out_of_time", "no_room"):
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


def _probe(address: tuple[str, int]) -> Literal["accepts", "refuses", "unreachable"]:
    try:
        with socket.create_connection(address, CRASH_PROBE_TIMEOUT_S):
            return "accepts"
    except ConnectionRefusedError:
        return "refuses"
    except OSError:
        return "unreachable"
