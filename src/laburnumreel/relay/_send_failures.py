"""Failed sends: their causes, whether the request may be sent again, and the caller's refusal."""

from typing import Literal

from laburnumreel.relay._job import MIN_TIME_S, Job
from laburnumreel.state import ErrorKind, Refusal, RunState

# Retry delay for the caller if the backend server that refused named none.
REFUSED_RETRY_S = 0.25

FailureCause = Literal[
    "unreachable",
    "refused",
    "moved",
    "lost",
    "silent",
    "out_of_time",
    "too_long",
    "too_costly",
    "no_room",
    "not_genuine",
    "failed",
]


class SendFailedError(Exception):
    """Raised when a send yields no answer for the caller.

    `may_have_run` is whether the backend server may have run the request.
    """

    def __init__(
        self,
        cause: FailureCause,
        detail: str,
        may_have_run: bool,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{cause}: {detail}")
        self.cause = cause
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s


def may_resend(job: Job, error: SendFailedError) -> bool:
    """Return whether a request may be sent elsewhere after a failed send.

    Takes a permit of the retry budget for the next send, except after a server that could not be
    reached, where nothing was sent.
    """
    if job.running.abort_reason is not None or job.remaining_s <= MIN_TIME_S:
        return False
    if error.cause == "unreachable":
        return True
    if error.may_have_run and not job.route.repeatable:
        return False
    return job.may_resend_within_budget(error.cause)


def refusal_for_failure(job: Job, error: SendFailedError, interrupted_kind: ErrorKind) -> Refusal:
    """Return the refusal of a request whose last send failed.

    `interrupted_kind` is the error kind for an exchange that broke off.
    """
    if job.running.abort_reason is not None:
        return job.abort_refusal()
    if job.run_state is RunState.NOT_RUN:
        retry_after_s = error.retry_after_s if error.retry_after_s is not None else REFUSED_RETRY_S
        return Refusal(ErrorKind.NO_BACK_END, str(error), retry_after_s)
    is_timeout = error.cause in ("silent", "out_of_time")
    kind = ErrorKind.BACK_END_TIMEOUT if is_timeout else interrupted_kind
    return Refusal(kind, str(error), run_state=RunState.UNKNOWN)
