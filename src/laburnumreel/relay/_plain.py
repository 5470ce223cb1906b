"""Requests to plain services, whose answers are buffered whole and passed on unchanged."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._failover import Failover, Reservation, release_reservation
from laburnumreel.relay._hedged_send import HedgedSend
from laburnumreel.relay._job import Job, RelayFailedError
from laburnumreel.relay._placement_log import log_placement
from laburnumreel.relay._requests import Dispatch, Verdict
from laburnumreel.relay._send_failures import SendFailedError, may_resend, refusal_for_failure
from laburnumreel.state import ErrorKind
from laburnumreel.transport import Exchange

# A repeatable request looks for another backend server after its objective, but not sooner than
# this, which is several times the duration of a plain request.
MIN_PATIENCE_S = 0.36

# Answers of plain services are buffered whole, so that a failed request can be retried elsewhere.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class Reply(NamedTuple):
    """A backend server's whole answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    back_end: str


def serve_plain(job: Job) -> Reply:
    """Return a backend server's answer, or raise `RelayFailedError`.

    If the answer is a failure that may be retried, it is kept while the request is sent elsewhere,
    and returned if no better answer arrives.
    """
    failure: Reply | None = None
    reservation: Reservation | None = None
    while True:
        try:
            assignment = reservation.assignment if reservation is not None else _wait_for_place(job)
        except RelayFailedError:
            if failure is not None:
                return failure
            raise
        log_placement(job, assignment)
        back_end = assignment.runner
        job.excluded |= {back_end.name}
        failover = Failover(
            job,
            back_end,
            lambda silent_s: _make_failover_order(job),
            lambda assignment: job.may_resend_within_budget("silent"),
            make_hedge=lambda reservation: _make_hedge(job, reservation),
            failed_hedge=reservation.failed_hedge if reservation is not None else None,
        )
        try:
            reply, failed = _send(job, assignment, failover, reservation)
        except SendFailedError as error:
            reservation = failover.take_reservation()
            if (reservation is not None and reservation.hedge is not None) or may_resend(
                job, error
            ):
                continue
            release_reservation(job, reservation)
            if failure is not None:
                return failure
            raise RelayFailedError(
                refusal_for_failure(job, error, ErrorKind.BACK_END_LOST)
            ) from error
        except BaseException:
            release_reservation(job, failover.take_reservation())
            raise
        finally:
            job.deps.dispatcher.on_work_ended(back_end.name, assignment.run_work, job.service.name)
        reservation = failover.take_reservation()
        if not failed:
            release_reservation(job, reservation)
            return reply
        failure = reply
        if reservation is not None:
            continue
        if not (job.route.repeatable and job.may_resend_within_budget("failed")):
            return failure


def _wait_for_place(job: Job) -> Assignment:
    return job.wait_for(job.deps.dispatcher.place(job.order()))


def _make_failover_order(job: Job) -> PlacementRequest | None:
    """Return the order for another backend server, or None if no further send is allowed."""
    may_fail_over = job.route.repeatable and job.remaining_sends > job.pending_sends
    return job.order() if may_fail_over else None


def _attempt(
    job: Job, assignment: Assignment, failover: Failover | None, exchange: Exchange | None
) -> Attempt:
    dispatch = Dispatch(
        job.request,
        assignment.runner,
        job.customer,
        job.remaining_s,
        is_limited=assignment.is_limited,
    )
    return Attempt(job, dispatch, failover, exchange)


def _make_hedge(job: Job, reservation: Reservation) -> HedgedSend:
    """Return a hedged send, to be made while the first backend server is silent."""
    attempt = _attempt(job, reservation.assignment, None, reservation.exchange)
    return HedgedSend(job, reservation.assignment, attempt)


def _send(
    job: Job, assignment: Assignment, failover: Failover, reservation: Reservation | None
) -> tuple[Reply, bool]:
    """Return the answer of one backend server, and whether it is a failure.

    `reservation` has the connection to it, and a hedged send if the request was already sent.
    """
    deps = job.deps
    hedge = reservation.hedge if reservation is not None else None
    exchange = reservation.exchange if reservation is not None else None
    hedged_attempt = hedge.attempt if hedge is not None else None
    with hedged_attempt or _attempt(job, assignment, failover, exchange) as attempt:
        if hedged_attempt is None:
            verdict = _send_and_count(job, attempt)
        else:
            verdict = _count_if_may_have_run(
                job,
                lambda: hedged_attempt.take_over(
                    failover, _silence_limit_s(job, job.remaining_sends)
                ),
            )
        body = attempt.read_all(MAX_ANSWER_BYTES)
        job.keep_answer(attempt.take_held())
        exchange = attempt.exchange
        reply = Reply(exchange.status, exchange.headers, body, assignment.runner.name)
    failed = verdict.outcome == "failure"
    took_ms = 1000 * (deps.clock.now() - attempt.sent_at)
    deps.dispatcher.record_outcome(assignment.runner.name, failed, took_ms)
    attempt.mark_run()
    job.count_for_customer()
    if not failed:
        job.on_answer_begun()
    return reply, failed


def _send_and_count(job: Job, attempt: Attempt) -> Verdict:
    try:
        verdict = _count_if_may_have_run(
            job, lambda: attempt.send(_silence_limit_s(job, job.remaining_sends - 1))
        )
    except SendFailedError as error:
        if error.cause != "unreachable":
            job.sends += 1
        raise
    job.sends += 1
    return verdict


def _count_if_may_have_run(job: Job, read_head: Callable[[], Verdict]) -> Verdict:
    """Read the head; count the request for its customer if a failed send may have run it."""
    try:
        return read_head()
    except SendFailedError as error:
        if error.may_have_run:
            job.count_for_customer()
        raise


def _silence_limit_s(job: Job, further_sends: int) -> float:
    remaining_s = max(0.01, job.remaining_s)
    if not job.route.repeatable or further_sends <= 0:
        return remaining_s
    return min(remaining_s / 2, max(job.route.objective_s, MIN_PATIENCE_S))
