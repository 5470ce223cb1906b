"""Cases and figures of runs of `bench._crash_fleet`, and the bytes of evidence."""

import hashlib
from typing import NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.coordination import CrashReport
from laburnumreel.protocol.gen.relay import ttypes


class Case(NamedTuple):
    """What crashes servers: parts, another reason for a number or share of them, or everything."""

    deadly: tuple[str, ...] = ()
    deadly_from_s: float = 0.0
    first_parts: tuple[str, str] = ("first", "first")
    lost_servers: int = 0
    lost_share: float = 0.0
    lost_within_s: float = 0.0
    has_crash_loop: bool = False
    crashes_on_all_from_s: float = float("inf")
    sound_run_s: float = 14.0


class Result(NamedTuple):
    """The figures of a run. Crashes until a hold that didn't come are all crashes of the run."""

    crashes: int
    first_held_crashes: float
    last_held_crashes: float
    late_sends: float
    wrong_parts: tuple[str, ...]
    lost_share: float
    cpu_share: float
    update_bytes: int
    bytes_per_crash: float
    datagrams_per_crash: float


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
