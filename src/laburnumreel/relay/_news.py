"""News between the hosts of a deployment, and its datagrams."""

from collections.abc import Mapping
from itertools import zip_longest
from typing import NamedTuple

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from laburnumreel.protocol.gen.relay import ttypes
from laburnumreel.relay._server_limits import LimitNews
from laburnumreel.relay._usage import EndedCounts, Process
from laburnumreel.relay._work import Work

# What one UDP datagram over IPv4 can carry.
MAX_BYTES = 65507


class News(NamedTuple):
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
    limits: Mapping[str, LimitNews] = {}
    asked: Mapping[str, float] = {}
    limited_sends: Mapping[str, int] = {}


def encode_news(news: News) -> bytes:
    """Return the datagram of a host's news."""
    struct = ttypes.News(
        sender=news.sender,
        boot=news.boot,
        zone=news.zone,
        sequence=news.sequence,
        config_version=news.config_version,
        stopping=news.stopping,
        work=[ttypes.Work(name, *work) for name, work in news.work.items()],
        avoided=_timed(news.avoided),
        held_back=_timed(news.held_back),
        crashes=_timed(news.crashes),
        leaving=list(news.leaving),
        leaving_started_ms=list(news.leaving.values()),
        store_era=news.store_era,
        fixed=list(news.fixed),
        duty_fence=news.duty_fence,
        listing_version=news.listing_version,
        usage_window=news.usage_window,
        listing_seen=news.listing_seen,
        listing_away=news.listing_away,
        gone=list(news.gone),
        kept=[ttypes.Kept(name, list(parts)) for name, parts in news.kept.items()],
        usage=[ttypes.WindowCounts(window, dict(counts)) for window, counts in news.usage.items()],
        limits=[
            ttypes.Limit(name, each.started_at_ms, each.per_s, round(1000 * each.age_s))
            for name, each in news.limits.items()
        ],
        asked=dict(news.asked),
        limited_sends=dict(news.limited_sends),
        ended=[
            ttypes.EndedCounts(*each.process, each.window, dict(each.counts)) for each in news.ended
        ],
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_news(datagram: bytes) -> Result[News, str]:
    """Return the news of a datagram, or what is wrong with it."""
    struct = ttypes.News()
    # No text and no list of a datagram is longer than the datagram, whatever its lengths say.
    most = len(datagram)
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(datagram), string_length_limit=most, container_length_limit=most
    )
    try:
        struct.read(protocol)
        news = News(
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
            avoided=_seconds(struct.avoided),
            held_back=_seconds(struct.held_back),
            crashes=_seconds(struct.crashes),
            leaving=_leaving(struct.leaving, struct.leaving_started_ms or []),
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
                each.back_end: LimitNews(each.started_ms, each.per_s, each.age_ms / 1000)
                for each in struct.limits or ()
            },
            asked=struct.asked or {},
            limited_sends=struct.limited_sends or {},
        )
    except Exception as error:
        # Thrift raises whatever the bytes lead it to; none of it may end the task.
        return Error(repr(error))
    return Error("a field is missing") if _has_gaps(news) else Ok(news)


def _has_gaps(news: News) -> bool:
    """Return whether something is missing that every release says. Thrift leaves None for it."""
    said = (news.sender, news.boot, news.zone, news.sequence, news.config_version)
    said += (news.stopping, news.duty_fence, news.listing_version)
    by_name = (news.work, news.avoided, news.held_back, news.crashes, news.usage, news.kept)
    return (
        None in said
        or any(None in each for each in (*by_name, news.limits))
        or any(None in work for work in news.work.values())
        or None in news.usage.values()
        or any(None in (*each.process, each.window, each.counts) for each in news.ended)
        or any(each.started_at_ms is None for each in news.limits.values())
    )


def _leaving(names: list[str], started_ms: list[int]) -> dict[str, int]:
    # A host of an earlier release does not say the starts.
    return dict(zip_longest(names, started_ms[: len(names)], fillvalue=0))


def _timed(beliefs: Mapping[str, float]) -> list[ttypes.Timed]:
    return [ttypes.Timed(subject, round(1000 * left)) for subject, left in beliefs.items()]


def _seconds(beliefs: list[ttypes.Timed]) -> dict[str, float]:
    return {each.subject: each.remaining_ms / 1000 for each in beliefs}
