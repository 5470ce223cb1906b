"""What other tasks and the threads of requests tell the dispatcher, one type for each matter."""

from collections.abc import Sequence
from concurrent.futures import Future
from typing import NamedTuple

from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._feeds import Link
from laburnumreel.relay._news import News
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._requests import Prompt, SelfReport
from laburnumreel.relay._work import Work


class Placing(NamedTuple):
    order: PlacementRequest
    future: Future


class Withdraw(NamedTuple):
    request_id: str


class Ended(NamedTuple):
    back_end: str
    work: Work
    service: str


class Read(NamedTuple):
    assignment: Assignment
    prompt: Prompt
    took_ms: float


class Begun(NamedTuple):
    back_end: str
    read_work: Work


class Judged(NamedTuple):
    back_end: str
    failed: bool
    took_ms: float | None


class Unreachable(NamedTuple):
    back_end: str


class Avoid(NamedTuple):
    back_end: str
    seconds: float


class Said(NamedTuple):
    back_end: ListedBackEnd
    word: SelfReport


class LimitEnded(NamedTuple):
    back_end: ListedBackEnd


class RoomWanted(NamedTuple):
    back_end: ListedBackEnd


class Moved(NamedTuple):
    back_end: str


class Crashed(NamedTuple):
    back_end: str
    digest: str


class Listed(NamedTuple):
    listing: Listing[ListedBackEnd]


class Directory(NamedTuple):
    link: Link


class Heard(NamedTuple):
    batch: Sequence[News]


class RepeatWanted(NamedTuple):
    service: str


class Repeated(NamedTuple):
    service: str


class RepeatUnused(NamedTuple):
    service: str


class OwnNews(NamedTuple):
    far: bool


class Held(NamedTuple):
    digest: str
