"""News between the hosts of a deployment, and its datagrams."""

from collections.abc import Mapping
from itertools import zip_longest
from typing import NamedTuple

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.protocol.gen.relay import ttypes
from laburnumreel.relay._server_limits import LimitReport
from laburnumreel.relay._usage_counters import EndedCounts, Process
from laburnumreel.relay._work import Work

# What one UDP datagram over IPv4 can carry.
MAX_BYTES = 65507


class PeerUpdate(NamedTuple):
    """What a host tells its peers, all of it each time.

    `work` is its unfinished work by backend server. `avoided` and `held_back` are beliefs with the
    seconds for which they still hold: backend servers that could not be reached, and digests of
    requests that crash backend servers; `crashes` are digests with one crash against them. `usage`
    are counts of requests by window and customer. `kept` are the parts of prompts that engines have
    got through this host since its last news. `duty_fence` is the fencing number under which the
    host does the duties, or 0. `listing_version` is the newest change of the back ends' table that it knows.
    `usage_window` is the sender's window as it told `usage`, whose earlier windows are whole, or 0.
    `ended` are counts of processes that have ended. `listing_seen` is the version of the store up to
    which the host has seen the back ends' table, `listing_away` whether it can't look at it. `gone`
    are backend servers whose entries have gone lately. `leaving` gives the starts of backend servers
    that leave, in milliseconds of the Unix epoch, 0 if unknown. `store_era` is the store's era,
    `fixed` are windows whose counts some holder of the duties has fixed. `limits` are what backend
    servers said last of theirs, `asked` the requests a second of the host's callers for services with
    such servers, and `limited_sends` the host's sends to these since they have a limit.
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
    gone: tuple[str, ...] = ()
    store_era: int = 0
    fixed: tuple[int, ...] = ()
    limits: Mapping[str, LimitReport] = {}
    asked: Mapping[str, float] = {}
    limited_sends: Mapping[str, int] = {}


def encode_update(update: PeerUpdate) -> bytes:
    """Return the datagram of a host's news."""
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
        ended=[
            ttypes.EndedCounts(*each.process, each.window, dict(each.counts))
            for each in update.ended
        ],
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_update(datagram: bytes) -> Result[PeerUpdate, str]:
    """Return the news of a datagram, or what is wrong with it."""
    struct = ttypes.News()
    # No text and no list of a datagram is longer than the datagram, whatever its lengths say.
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
            # A host of an earlier release does not say these.
            usage_window=struct.usage_window or 0,
            ended=tuple(
                EndedCounts(Process(each.sender, each.boot), each.window, each.counts)
                for each in struct.ended or ()
            ),
            listing_seen=struct.listing_seen or 0,
            listing_away=bool(struct.listing_away),
            gone=tuple(struct.gone or ()),
            store_era=struct.store_era or 0,
            fixed=tuple(struct.fixed or ()),
            limits={
                each.back_end: LimitReport(each.started_ms, each.per_s, each.age_ms / 1000)
                for each in struct.limits or ()
            },
            asked=struct.asked or {},
            limited_sends=struct.limited_sends or {},
        )
    except Exception as error:
        # Thrift raises whatever the bytes lead it to; none of it may end the task.
        return Error(repr(error))
    return Error("a field is missing") if _has_missing_fields(update) else Ok(update)


def _has_missing_fields(update: PeerUpdate) -> bool:
    """Return whether something is missing that every release says. Thrift leaves None for it."""
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
    )


def _decode_leaving(names: list[str], started_ms: list[int]) -> dict[str, int]:
    # A host of an earlier release does not say the starts.
    return dict(zip_longest(names, started_ms[: len(names)], fillvalue=0))


def _encode_durations(beliefs: Mapping[str, float]) -> list[ttypes.Timed]:
    return [
        ttypes.Timed(subject, round(1000 * remaining_s)) for subject, remaining_s in beliefs.items()
    ]


def _decode_durations(beliefs: list[ttypes.Timed]) -> dict[str, float]:
    return {each.subject: each.remaining_ms / 1000 for each in beliefs}
