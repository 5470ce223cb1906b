"""The updates that the hosts of a deployment send one another, and their datagram format."""

from collections.abc import Mapping
from itertools import zip_longest
from typing import NamedTuple

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.coordination import BrokenRequest, CrashReport
from laburnumreel.protocol.gen.relay import ttypes
from laburnumreel.relay._server_limits import LimitReport
from laburnumreel.relay._usage_counters import EndedCounts, Process
from laburnumreel.relay._work import Work

# The largest payload of a UDP datagram over IPv4.
MAX_BYTES = 65507


class EndedBeat(NamedTuple):
    """The start of a backend server, in milliseconds since the Unix epoch, and its last beat."""

    started_at_ms: int
    beat: int


class PeerUpdate(NamedTuple):
    """The full state that a host sends to its peers with each update.

    - `work`: the sender's unfinished work by backend server.
    - `avoided`, `held_back`: backend servers that could not be reached, and digests of requests
      that crash backend servers, each with the seconds for which this still holds.
    - `crashes`: digests of requests with one crash so far, with the seconds until that expires.
    - `leaving`: backend servers that are shutting down, with their start time in milliseconds of
      the Unix epoch, 0 if unknown.
    - `gone`: backend servers whose entries were removed recently.
    - `ended_starts`: starts of backend servers that have ended and whose entries are in the directory
      nevertheless, with their last writings that counted.
    - `usage`: counts of requests by window and customer.
    - `usage_window`: the sender's current window if the update has `usage`, otherwise 0. The counts
      of earlier windows are complete.
    - `ended`: counts of processes that have ended.
    - `fixed`: windows whose counts have been fixed by a holder of the duties.
    - `kept`: the parts of prompts that engines got through the sender since its last update.
    - `duty_fence`: the fencing number under which the sender does the duties, or 0.
    - `listing_version`: the version of the newest change of the backend servers' table that the
      sender knows; `listing_seen`: the store version up to which it has read the table;
      `listing_read_s`: the store's clock at that read, in seconds, 0 before the first one;
      `listing_away`: whether it cannot read the table.
    - `store_era`: the store's era as the sender knows it.
    - `limits`: what backend servers last reported about their limits; `asked`: requests per second
      from the sender's callers for services with limited servers; `limited_sends`: the sender's
      sends to these servers since they have a limit.
    - `crash_reports`: recent crashes of backend servers and the requests that the sender lost by
      them; `answered`: parts of prompts in such requests, with the seconds since an answer with
      each last began; `held_parts`: parts that are held, with the remaining seconds of each.
    - `only_crashes`: whether the update was sent between two others, because of these three fields,
      `held_back` and `crashes`; everything else is as in the last one.
    - `only_listing`: whether the update was sent between two others, because of the four fields on
      the table of backend servers; everything else is as in the last one.
    - `forward_port`: the port at which the sender takes requests that other hosts pass on, 0 if it
      takes none now.
    - `asks_holds`: a number if the sender wants such an update at once, which has the number in
      `answers_holds`; otherwise 0.
    """

    sender: str
    boot: str
    zone: str
    sequence: int
    config_version: int
    stopping: bool
    work: Mapping[str, Work]
    avoided: Mapping[str, float]
    held_back: Mapping[str, float]
    crashes: Mapping[str, float]
    leaving: Mapping[str, int]
    usage: Mapping[int, Mapping[str, int]]
    kept: Mapping[str, tuple[str, ...]]
    duty_fence: int
    listing_version: int
    usage_window: int = 0
    ended: tuple[EndedCounts, ...] = ()
    listing_seen: int = 0
    listing_away: bool = False
    listing_read_s: float = 0.0
    gone: tuple[str, ...] = ()
    store_era: int = 0
    fixed: tuple[int, ...] = ()
    limits: Mapping[str, LimitReport] = {}
    asked: Mapping[str, float] = {}
    limited_sends: Mapping[str, int] = {}
    crash_reports: tuple[CrashReport, ...] = ()
    answered: Mapping[str, float] = {}
    held_parts: Mapping[str, float] = {}
    only_crashes: bool = False
    only_listing: bool = False
    asks_holds: int = 0
    answers_holds: int = 0
    forward_port: int = 0
    ended_starts: Mapping[str, EndedBeat] = {}


def encode_update(update: PeerUpdate) -> bytes:
    """Encode an update as a datagram."""
    struct = ttypes.News(
        sender=update.sender,
        boot=update.boot,
        zone=update.zone,
        sequence=update.sequence,
        config_version=update.config_version,
        stopping=update.stopping,
        work=[ttypes.Work(name, *work) for name, work in update.work.items()],
        avoided=_encode_durations(update.avoided),
        held_back=_encode_durations(update.held_back),
        crashes=_encode_durations(update.crashes),
        leaving=list(update.leaving),
        leaving_started_ms=list(update.leaving.values()),
        store_era=update.store_era,
        fixed=list(update.fixed),
        duty_fence=update.duty_fence,
        listing_version=update.listing_version,
        usage_window=update.usage_window,
        listing_seen=update.listing_seen,
        listing_away=update.listing_away,
        listing_read_ms=int(1000 * update.listing_read_s),
        gone=list(update.gone),
        kept=[ttypes.Kept(name, list(parts)) for name, parts in update.kept.items()],
        usage=[
            ttypes.WindowCounts(window, dict(counts)) for window, counts in update.usage.items()
        ],
        limits=[
            ttypes.Limit(name, each.started_at_ms, each.per_s, round(1000 * each.age_s))
            for name, each in update.limits.items()
        ],
        asked=dict(update.asked),
        limited_sends=dict(update.limited_sends),
        crash_reports=[
            ttypes.Crash(
                each.back_end,
                round(1000 * each.age_s),
                [
                    ttypes.Broken(broken.request, list(broken.parts), broken.digest)
                    for broken in each.requests
                ],
            )
            for each in update.crash_reports
        ],
        answered=_encode_durations(update.answered),
        held_parts=_encode_durations(update.held_parts),
        only_crashes=update.only_crashes,
        only_listing=update.only_listing,
        asks_holds=update.asks_holds,
        answers_holds=update.answers_holds,
        forward_port=update.forward_port,
        ended_starts=[ttypes.EndedStart(name, *each) for name, each in update.ended_starts.items()],
        ended=[
            ttypes.EndedCounts(*each.process, each.window, dict(each.counts))
            for each in update.ended
        ],
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_update(datagram: bytes) -> Result[PeerUpdate, str]:
    """Decode a datagram into an update, or return a description of the error."""
    struct = ttypes.News()
    # Bounds strings and lists by the datagram's size, so that forged lengths allocate no memory.
    max_length = len(datagram)
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(datagram), string_length_limit=max_length, container_length_limit=max_length
    )
    try:
        struct.read(protocol)
        update = PeerUpdate(
            sender=struct.sender,
            boot=struct.boot,
            zone=struct.zone,
            sequence=struct.sequence,
            config_version=struct.config_version,
            stopping=struct.stopping,
            work={
                each.back_end: Work(
                    each.requests, each.reading_tokens, each.streams, each.kv_tokens
                )
                for each in struct.work
            },
            avoided=_decode_durations(struct.avoided),
            held_back=_decode_durations(struct.held_back),
            crashes=_decode_durations(struct.crashes),
            leaving=_decode_leaving(struct.leaving, struct.leaving_started_ms or []),
            usage={each.window: each.counts for each in struct.usage},
            kept={each.back_end: tuple(each.parts) for each in struct.kept},
            duty_fence=struct.duty_fence,
            listing_version=struct.listing_version,
            # Hosts of earlier releases do not send the following fields.
            usage_window=struct.usage_window or 0,
            ended=tuple(
                EndedCounts(Process(each.sender, each.boot), each.window, each.counts)
                for each in struct.ended or ()
            ),
            listing_seen=struct.listing_seen or 0,
            listing_away=bool(struct.listing_away),
            listing_read_s=(struct.listing_read_ms or 0) / 1000,
            gone=tuple(struct.gone or ()),
            store_era=struct.store_era or 0,
            fixed=tuple(struct.fixed or ()),
            limits={
                each.back_end: LimitReport(each.started_ms, each.per_s, each.age_ms / 1000)
                for each in struct.limits or ()
            },
            asked=struct.asked or {},
            limited_sends=struct.limited_sends or {},
            crash_reports=tuple(
                CrashReport(
                    each.back_end,
                    each.age_ms / 1000,
                    tuple(
                        BrokenRequest(broken.request, tuple(broken.parts), broken.digest or "")
                        for broken in each.requests
                    ),
                )
                for each in struct.crash_reports or ()
            ),
            answered=_decode_durations(struct.answered or []),
            held_parts=_decode_durations(struct.held_parts or []),
            only_crashes=bool(struct.only_crashes),
            only_listing=bool(struct.only_listing),
            asks_holds=struct.asks_holds or 0,
            answers_holds=struct.answers_holds or 0,
            forward_port=struct.forward_port or 0,
            ended_starts={
                each.back_end: EndedBeat(each.started_ms, each.beat)
                for each in struct.ended_starts or ()
            },
        )
    except Exception as error:
        # Malformed bytes make Thrift raise many kinds of exceptions; none may end the task.
        return Error(repr(error))
    return Error("a field is missing") if _has_missing_fields(update) else Ok(update)


def _has_missing_fields(update: PeerUpdate) -> bool:
    """Return whether a field is missing (None in Thrift) that every release sends."""
    required = (update.sender, update.boot, update.zone, update.sequence, update.config_version)
    required += (update.stopping, update.duty_fence, update.listing_version)
    mappings = (
        update.work,
        update.avoided,
        update.held_back,
        update.crashes,
        update.usage,
        update.kept,
    )
    return (
        None in required
        or any(None in each for each in (*mappings, update.limits))
        or any(None in work for work in update.work.values())
        or None in update.usage.values()
        or any(None in (*each.process, each.window, each.counts) for each in update.ended)
        or any(each.started_at_ms is None for each in update.limits.values())
        or any(None in (name, *each) for name, each in update.ended_starts.items())
        or any(None in (each.back_end, *each.requests) for each in update.crash_reports)
        or any(None in each for each in (update.answered, update.held_parts))
        or any(
            None in (broken.request, *broken.parts)
            for each in update.crash_reports
            for broken in each.requests
        )
    )


def _decode_leaving(names: list[str], started_ms: list[int]) -> dict[str, int]:
    # Hosts of earlier releases do not send the start times.
    return dict(zip_longest(names, started_ms[: len(names)], fillvalue=0))


def _encode_durations(beliefs: Mapping[str, float]) -> list[ttypes.Timed]:
    return [
        ttypes.Timed(subject, round(1000 * remaining_s)) for subject, remaining_s in beliefs.items()
    ]


def _decode_durations(beliefs: list[ttypes.Timed]) -> dict[str, float]:
    return {each.subject: each.remaining_ms / 1000 for each in beliefs}
