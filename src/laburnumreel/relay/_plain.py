"""Requests to plain services: whole answers, passed on unchanged."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._elsewhere import Elsewhere, Held, give_back
from laburnumreel.relay._job import Job, RelayFailedError
from laburnumreel.relay._placement_log import log_placement
from laburnumreel.relay._requests import Dispatch, Verdict
from laburnumreel.relay._second_send import SecondSend
from laburnumreel.relay._send_failures import SendFailedError, may_go_on, refusal_after
from laburnumreel.relay._sending import Attempt
from laburnumreel.state import ErrorKind
from laburnumreel.transport import Exchange

# A request that may be repeated is taken from a silent backend server after its objective, but not
# sooner than this: several times what a plain request takes.
MIN_PATIENCE_S = 0.36

# Answers of plain services are held whole, so that a failure can still be tried elsewhere.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class Reply(NamedTuple):
    """A backend server's whole answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    back_end: str


def serve_plain(job: Job) -> Reply:
    """Return a backend server's answer, or raise `RelayFailedError`.

    The answer of a failure that may be repeated is kept while the request is tried elsewhere, and
    is returned if that brings nothing better.
    """
    failure: Reply | None = None
    held: Held | None = None
    while True:
        try:
            assignment = held.assignment if held is not None else _wait_for_place(job)
        except RelayFailedError:
            if failure is not None:
                return failure
            raise
        log_placement(job, assignment)
        back_end = assignment.runner
        job.excluded |= {back_end.name}
        elsewhere = Elsewhere(
            job,
            back_end,
            lambda silent_s: _order_elsewhere(job),
            lambda assignment: job.may_send_again("silent"),
            beside=lambda held: _beside(job, held),
            failed=held.failed if held is not None else None,
        )
        try:
            reply, failed = _send(job, assignment, elsewhere, held)
        except SendFailedError as error:
            held = elsewhere.take()
            if (held is not None and held.second is not None) or may_go_on(job, error):
                continue
            give_back(job, held)
            if failure is not None:
                return failure
            raise RelayFailedError(refusal_after(job, error, ErrorKind.BACK_END_LOST)) from error
        except BaseException:
            give_back(job, elsewhere.take())
            raise
        finally:
            job.parts.dispatcher.on_work_ended(back_end.name, assignment.run_work, job.service.name)
        held = elsewhere.take()
        if not failed:
            give_back(job, held)
            return reply
        failure = reply
        if held is not None:
            continue
        if not (job.route.repeatable and job.may_send_again("failed")):
            return failure


def _wait_for_place(job: Job) -> Assignment:
    return job.wait_for(job.parts.dispatcher.place(job.order()))


def _order_elsewhere(job: Job) -> PlacementRequest | None:
    """Return what to ask for while the backend server is silent."""
    may_leave = job.route.repeatable and job.sends_left > job.unfinished
    return job.order() if may_leave else None


def _attempt(
    job: Job, assignment: Assignment, elsewhere: Elsewhere | None, exchange: Exchange | None
) -> Attempt:
    dispatch = Dispatch(
        job.request, assignment.runner, job.customer, job.left_s, is_limited=assignment.is_limited
    )
    return Attempt(job, dispatch, elsewhere, exchange)


def _beside(job: Job, held: Held) -> SecondSend:
    """Make a send beside the one to a backend server that is silent."""
    attempt = _attempt(job, held.assignment, None, held.exchange)
    return SecondSend(job, held.assignment, attempt)


def _send(
    job: Job, assignment: Assignment, elsewhere: Elsewhere, held: Held | None
) -> tuple[Reply, bool]:
    """Return the answer of one backend server, and whether it is a failure.

    `held` is the connection to it, and perhaps a send that was made already.
    """
    parts = job.parts
    second = held.second if held is not None else None
    exchange = held.exchange if held is not None else None
    made = second.attempt if second is not None else None
    with made or _attempt(job, assignment, elsewhere, exchange) as attempt:
        if made is None:
            verdict = _counted(job, attempt)
        else:
            verdict = _begun(job, lambda: made.take_over(elsewhere, _silent_s(job, job.sends_left)))
        body = attempt.read_all(MAX_ANSWER_BYTES)
        exchange = attempt.exchange
        reply = Reply(exchange.status, exchange.headers, body, assignment.runner.name)
    failed = verdict.outcome == "failure"
    took_ms = 1000 * (parts.clock.now() - attempt.sent_at)
    parts.dispatcher.record_outcome(assignment.runner.name, failed, took_ms)
    attempt.has_run()
    job.count_begun()
    return reply, failed


def _counted(job: Job, attempt: Attempt) -> Verdict:
    try:
        verdict = _begun(job, lambda: attempt.send(_silent_s(job, job.sends_left - 1)))
    except SendFailedError as error:
        if error.trouble != "unreachable":
            job.sends += 1
        raise
    job.sends += 1
    return verdict


def _begun(job: Job, read_head: Callable[[], Verdict]) -> Verdict:
    """Count the request for its customer where a send that failed may have run."""
    try:
        return read_head()
    except SendFailedError as error:
        if error.may_have_run:
            job.count_begun()
        raise


def _silent_s(job: Job, further_sends: int) -> float:
    left_s = max(0.01, job.left_s)
    if not job.route.repeatable or further_sends <= 0:
        return left_s
    return min(left_s / 2, max(job.route.objective_s, MIN_PATIENCE_S))
