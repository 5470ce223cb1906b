"""A checked request that is ready to run, and the error that ends one."""

from typing import NamedTuple

from laburnumreel.coordination import RoutingRequest
from laburnumreel.serving._registry import RunningRequest
from laburnumreel.state import Profile, Refusal, Service


class RequestFailedError(Exception):
    """A request that ends with a refusal as its final answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal.kind))
        self.refusal = refusal


class Job(NamedTuple):
    """A checked request that waits for admission or runs.

    `is_repeatable` is true if running the request twice is harmless. `digest` identifies the request
    in the quarantine.
    """

    running: RunningRequest
    work: RoutingRequest
    service: Service
    profile: Profile
    credential: str
    is_repeatable: bool
    digest: str
    arrived_at: float
