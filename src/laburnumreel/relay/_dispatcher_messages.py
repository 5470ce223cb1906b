"""The messages from other tasks and request threads to the dispatcher."""

from collections.abc import Sequence
from concurrent.futures import Future
from typing import NamedTuple

from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._crash_evidence import LostRequest
from laburnumreel.relay._feed_follower import LinkState
from laburnumreel.relay._parts_in_flight import RequestWithParts
from laburnumreel.relay._peer_update import PeerUpdate
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import Prompt, SelfReport
from laburnumreel.relay._work import Work


class PlaceRequest(NamedTuple):
    order: PlacementRequest
    future: Future


class WithdrawRequest(NamedTuple):
    future: Future


class WorkEnded(NamedTuple):
    back_end: str
    work: Work
    service: str


class PromptRead(NamedTuple):
    assignment: Assignment
    prompt: Prompt
    took_ms: float


class GenerationStarted(NamedTuple):
    back_end: str
    read_work: Work


class AttemptEnded(NamedTuple):
    back_end: str
    failed: bool
    took_ms: float | None


class ServerUnreachable(NamedTuple):
    back_end: str


class ServerProbed(NamedTuple):
    back_end: str
    is_reached: bool
    began_at: float


class AvoidServer(NamedTuple):
    back_end: str
    seconds: float


class ServerReported(NamedTuple):
    back_end: ListedBackEnd
    report: SelfReport


class LimitEnded(NamedTuple):
    back_end: ListedBackEnd


class CheckCallLimit(NamedTuple):
    back_end: ListedBackEnd


class AddressTaken(NamedTuple):
    back_end: str


class ServerCrashed(NamedTuple):
    back_end: str
    lost: LostRequest


class GetCrashUpdate(NamedTuple):
    """A request for the part of the peer update that concerns crashes."""


class IsWaitingForHolds(NamedTuple):
    """A question whether this host may not know what its peers hold."""


class GetHeldParts(NamedTuple):
    """A request for the held parts, for operators."""


class ReleasePart(NamedTuple):
    part: str


class WatchParts(NamedTuple):
    request: RequestWithParts


class UnwatchParts(NamedTuple):
    request: RequestWithParts


class PromptAnswered(NamedTuple):
    parts: tuple[str, ...]


class ListingRead(NamedTuple):
    listing: Listing[ListedBackEnd]


class DirectoryLinkChanged(NamedTuple):
    link: LinkState


class UpdatesReceived(NamedTuple):
    updates: Sequence[PeerUpdate]


class AcquirePermit(NamedTuple):
    service: str


class UsePermit(NamedTuple):
    service: str


class ReturnPermit(NamedTuple):
    service: str


class GetOwnBeliefs(NamedTuple):
    cross_region: bool


class GetHoldBack(NamedTuple):
    digest: str
    parts: tuple[str, ...]
    token: str
