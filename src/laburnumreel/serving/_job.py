"""A checked and admitted request, and the error that ends one."""

from typing import NamedTuple

from laburnumreel.coordination import RoutingRequest
from laburnumreel.serving._registry import RunningRequest
from laburnumreel.state import Profile, Refusal, Service


class RequestFailedError(Exception):
    """The request has its final answer, which is this refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal.kind))
        self.refusal = refusal


class Job(NamedTuple):
    """A checked and admitted request.

    `is_repeatable` says that running it twice does no harm. `digest` names the body for the
    quarantine.
    """

    running: RunningRequest
    work: RoutingRequest
    service: Service
    profile: Profile
    credential: str
    is_repeatable: bool
    digest: str
    arrived_at: float
