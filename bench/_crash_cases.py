"""Cases and figures of runs of `bench._crash_fleet`, and the bytes of evidence."""

import hashlib
from collections import defaultdict
from typing import Any, NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.coordination import CrashReport, CrashSuspects
from laburnumreel.protocol.gen.relay import ttypes

ATTEMPTS = 2
EVENT_AT_S = 4.0


class Case(NamedTuple):
    """What crashes servers: parts, another reason for a number or share of them, or everything.

    `second_share` of the requests have the second of the first parts. A crashed server returns
    after `return_s`; an answer begins within `first_byte_s`.
    """

    deadly: tuple[str, ...] = ()
    deadly_from_s: float = 0.0
    first_parts: tuple[str, str] = ("first", "first")
    lost_servers: int = 0
    lost_share: float = 0.0
    lost_from_s: float = EVENT_AT_S
    lost_within_s: float = 0.0
    has_crash_loop: bool = False
    crashes_on_all_from_s: float = float("inf")
    sound_run_s: float = 14.0
    return_s: float = 5.0
    second_share: float = 0.5
    first_byte_s: tuple[float, float] = (0.1, 0.9)


class Result(NamedTuple):
    """The figures of a run. Crashes until a hold that didn't come are all crashes of the run."""

    crashes: int
    first_held_crashes: float
    last_held_crashes: float
    late_sends: float
    wrong_parts: tuple[str, ...]
    wrong_at_end: int
    lost_share: float
    cpu_share: float
    update_bytes: int
    bytes_per_crash: float
    datagrams_per_crash: float


class Request:
    """A request at one host, with the attempts that are left."""

    def __init__(self, name: str, parts: tuple[str, ...], host: "Host", at: float) -> None:
        self.name, self.parts, self.host, self.at = name, parts, host, at
        self.attempts, self.has_begun = ATTEMPTS, False


class Server:
    """A backend server with its requests and the attempt of each."""

    def __init__(self, name: str) -> None:
        self.name, self.is_up = name, True
        self.requests: dict[Request, int] = {}


class Host:
    """A host and what it knows of crashes."""

    def __init__(self, number: int, region: int, suspects: CrashSuspects) -> None:
        self.number, self.region, self.suspects = number, region, suspects
        # What its updates say in order, and how much of that of each peer it has heard.
        self.news: list[tuple[Any, ...]] = []
        self.heard: defaultdict[int, int] = defaultdict(int)
        # When a crash last spoke against each part, until an answer is known.
        self.suspected_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.next_far, self.last_urgent, self.urgent_pending = 0.0, float("-inf"), False
        self.unjudged_until, self.judge_pending = 0.0, False
        self.strikes: defaultdict[str, int] = defaultdict(int)


def encoded_size(
    reports: tuple[CrashReport, ...], answered: dict[str, float], holds: dict[str, float]
) -> int:
    """Return the bytes of evidence in an update, with digests of 16 characters."""
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer)
    for report in reports:
        ttypes.Timed(report.back_end, round(1000 * report.age_s)).write(protocol)
        for request in report.requests:
            ttypes.Kept(request.request, [_digest(part) for part in request.parts]).write(protocol)
    for part, seconds in (*answered.items(), *holds.items()):
        ttypes.Timed(_digest(part), round(1000 * seconds)).write(protocol)
    return len(buffer.getvalue())


def _digest(part: str) -> str:
    return hashlib.blake2b(part.encode(), digest_size=8).hexdigest()
