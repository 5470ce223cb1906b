"""Limits that backend servers name: the requests a second that they take from all hosts together.

A limit counts until its server answers without it, for the incarnation that named it. Hosts tell
one another what they heard last, as most of them send such a server too little to hear it.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._events import (
    BACK_END_LIMIT_ENDED,
    BACK_END_LIMIT_UNREADABLE,
    BACK_END_LIMITED,
)

# A server that wants nothing still gets this many requests a second, as only an answer can say that
# its limit has ended.
MIN_PER_S = 0.05
MAX_PER_S = 1e6
# A limit of which no host heard anything for this long is no longer believed.
UNHEARD_S = 60.0
# Peers are told of what this host heard when it changes, and again this often, in case news was lost.
TELL_S = 1.0
# The end of a limit is told for this long.
ENDED_S = 5.0
# Bounds the log lines for a server whose limit changes with each answer.
LOG_S = 1.0

_log = Log("relay.dispatcher")


class LimitNews(NamedTuple):
    """What a server of some incarnation said last: its limit, or None for none, and how long ago."""

    started_at_ms: int
    per_s: float | None
    age_s: float


class _Said(NamedTuple):
    """What a server said last, when, and whether it said it to this host."""

    started_at_ms: int
    per_s: float | None
    at: float
    to_us: bool

    @property
    def lasts_s(self) -> float:
        return ENDED_S if self.per_s is None else UNHEARD_S


class ServerLimits:
    """The limits in force, from answers to this host and from peers; what was said last counts.

    >>> limits, engine = ServerLimits(), ListedBackEnd("b1", "quotes", ("10.0.0.1", 80), "z", 4)
    >>> limits.heard(engine, 1.5, now=0.0)
    >>> limits.of(engine)
    1.5
    >>> limits.told("b1", LimitNews(0, None, age_s=0.1), now=2.0)
    >>> limits.of(engine) is None
    True
    """

    def __init__(self) -> None:
        self._said: dict[str, _Said] = {}
        # When each server's limit was last told, to peers nearby and to those in other regions.
        self._told_at: dict[bool, dict[str, float]] = {False: {}, True: {}}
        self._logged_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._said)

    @property
    def limited(self) -> frozenset[str]:
        """The names of the servers with a limit."""
        return frozenset(name for name, said in self._said.items() if said.per_s is not None)

    def of(self, back_end: ListedBackEnd) -> float | None:
        """Return the requests a second that a server takes from all hosts, or None without limit."""
        said = self._said.get(back_end.name)
        if said is None or said.started_at_ms not in (0, back_end.started_at_ms):
            return None
        return said.per_s

    def heard(self, back_end: ListedBackEnd, per_s: float, now: float) -> None:
        """Take the limit that a server named in an answer; one that can't be read changes nothing."""
        if math.isnan(per_s):
            if self._may_log(back_end.name, now):
                _log.warning(BACK_END_LIMIT_UNREADABLE, back_end=back_end.name)
            return
        said = _Said(back_end.started_at_ms, _bounded(per_s), now, True)
        self._take(back_end.name, said, now)

    def ended(self, back_end: ListedBackEnd, now: float) -> None:
        """Take in that a server answered without a limit, to a request sent while it had one."""
        if self.of(back_end) is not None:
            self._take(back_end.name, _Said(back_end.started_at_ms, None, now, True), now)

    def told(self, back_end: str, news: LimitNews, now: float) -> None:
        """Take what a server said to a peer."""
        known = self._said.get(back_end)
        per_s = None if news.per_s is None else _bounded(news.per_s)
        said = _Said(news.started_at_ms, per_s, now - max(0.0, news.age_s), False)
        if known is None or said.at > known.at:
            self._take(back_end, said, now)

    def news(self, far: bool, now: float) -> Mapping[str, LimitNews]:
        """Return what peers are to be told now, nearby or in other regions."""
        told_at = self._told_at[far]
        due = {
            name: LimitNews(said.started_at_ms, said.per_s, max(0.0, now - said.at))
            for name, said in self._said.items()
            if said.to_us and now - told_at.get(name, float("-inf")) >= TELL_S
        }
        told_at.update(dict.fromkeys(due, now))
        return due

    def tell_again(self) -> None:
        """Tell the peers with the next news, as one of them has not heard it yet."""
        for told_at in self._told_at.values():
            told_at.clear()

    def forget_old(self, listed: Iterable[str], now: float) -> None:
        """Drop what was said by servers that are gone, or too long ago."""
        if not self._said:
            return
        listed = set(listed)
        for name, said in list(self._said.items()):
            if name in listed and now - said.at < said.lasts_s:
                continue
            del self._said[name]
            for times in (*self._told_at.values(), self._logged_at):
                times.pop(name, None)
            if said.per_s is not None:
                reason = "unheard" if name in listed else "gone"
                _log.info(BACK_END_LIMIT_ENDED, back_end=name, reason=reason)

    def _take(self, back_end: str, said: _Said, now: float) -> None:
        known = self._said.get(back_end)
        self._said[back_end] = said
        if known is not None and known[:2] == said[:2]:
            return
        for told_at in self._told_at.values():
            told_at.pop(back_end, None)
        before = known.per_s if known is not None else None
        fields = {"back_end": back_end, "told_by_peer": not said.to_us, "before": before}
        if said.per_s is None:
            if before is not None:
                _log.info(BACK_END_LIMIT_ENDED, reason="said so", **fields)
        elif before is None or self._may_log(back_end, now):
            self._logged_at[back_end] = now
            age_ms = round(1000 * (now - said.at))
            _log.info(BACK_END_LIMITED, per_s=said.per_s, age_ms=age_ms, **fields)

    def _may_log(self, back_end: str, now: float) -> bool:
        if now - self._logged_at.get(back_end, float("-inf")) < LOG_S:
            return False
        self._logged_at[back_end] = now
        return True


def _bounded(per_s: float) -> float:
    # A peer's NaN becomes the least.
    return min(MAX_PER_S, per_s) if per_s >= MIN_PER_S else MIN_PER_S
