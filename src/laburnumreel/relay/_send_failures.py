"""Failed sends: their kinds, whether the request may go elsewhere, and what its caller is told."""

from typing import Literal

from laburnumreel.relay._job import MIN_TIME_S, Job
from laburnumreel.state import ErrorKind, Refusal, RunState

# Where a backend server that refuses names no time to come back.
REFUSED_RETRY_S = 0.25

Trouble = Literal[
    "unreachable",
    "refused",
    "moved",
    "lost",
    "silent",
    "out_of_time",
    "too_long",
    "not_genuine",
    "failed",
]


class SendFailedError(Exception):
    """A send that brought no answer for the caller.

    `may_have_run` is whether the backend server may have run the request.
    """

    def __init__(
        self, trouble: Trouble, detail: str, may_have_run: bool, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{trouble}: {detail}")
        self.trouble = trouble
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s


def may_go_on(job: Job, error: SendFailedError) -> bool:
    """Return whether a request may be sent elsewhere after a failed send, and count that."""
    if job.running.aborted is not None or job.left_s <= MIN_TIME_S:
        return False
    if error.trouble == "unreachable":
        return True
    if error.may_have_run and not job.route.repeatable:
        return False
    return job.may_send_again(error.trouble)


def refusal_after(job: Job, error: SendFailedError, cut: ErrorKind) -> Refusal:
    """Return the refusal of a request whose last send failed; `cut` names an answer that broke off."""
    if job.running.aborted is not None:
        return job.abort_refusal()
    if job.ran is RunState.NOT_RUN:
        retry_after_s = error.retry_after_s if error.retry_after_s is not None else REFUSED_RETRY_S
        return Refusal(ErrorKind.NO_BACK_END, str(error), retry_after_s)
    late = error.trouble in ("silent", "out_of_time")
    kind = ErrorKind.BACK_END_TIMEOUT if late else cut
    return Refusal(kind, str(error), run_state=RunState.UNKNOWN)
