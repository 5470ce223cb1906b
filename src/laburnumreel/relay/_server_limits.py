"""Limits that backend servers report: the requests per second that they accept from all hosts.

A limit applies to the incarnation of the server that reported it, until the server answers without
one. Hosts send the last reports to their peers, because most hosts send such a server too few
requests to learn of the limit themselves.
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

# A server with a limit of 0 still gets this many requests per second, as only an answer can show
# that the limit has ended.
MIN_PER_S = 0.05
MAX_PER_S = 1e6
# A limit expires if no host got a report of it for this long.
LIMIT_EXPIRY_S = 60.0
# Reports to this host are sent to the peers when they change, and again at this interval, in case
# updates were lost.
RESEND_S = 1.0
# The end of a limit is sent to the peers for this long.
ENDED_RESEND_S = 5.0
# Minimum time between log lines for a server whose limit changes with each answer.
LOG_INTERVAL_S = 1.0

_log = Log("relay.dispatcher")


class LimitReport(NamedTuple):
    """The last report of a server's incarnation: its limit, None for no limit, and the age."""

    started_at_ms: int
    per_s: float | None
    age_s: float


class _Report(NamedTuple):
    """A server's last report, its time, and whether it came in an answer to this host."""

    started_at_ms: int
    per_s: float | None
    reported_at: float
    is_direct: bool

    @property
    def lifetime_s(self) -> float:
        return ENDED_RESEND_S if self.per_s is None else LIMIT_EXPIRY_S


class ServerLimits:
    """The limits in force, from answers to this host and from peers; the latest report counts.

    >>> limits, engine = ServerLimits(), ListedBackEnd("b1", "quotes", ("10.0.0.1", 80), "z", 4)
    >>> limits.record_limit(engine, 1.5, now=0.0)
    >>> limits.limit_of(engine)
    1.5
    >>> limits.record_peer_report("b1", LimitReport(0, None, age_s=0.1), now=2.0)
    >>> limits.limit_of(engine) is None
    True
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        # When each server's limit was last sent: to peers of this region (False), of others (True).
        self._sent_at: dict[bool, dict[str, float]] = {False: {}, True: {}}
        self._logged_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._reports)

    @property
    def limited(self) -> frozenset[str]:
        """The names of the servers with a limit."""
        return frozenset(name for name, report in self._reports.items() if report.per_s is not None)

    def limit_of(self, back_end: ListedBackEnd) -> float | None:
        """Return a server's limit in requests per second from all hosts, or None."""
        report = self._reports.get(back_end.name)
        if report is None or report.started_at_ms not in (0, back_end.started_at_ms):
            return None
        return report.per_s

    def record_limit(self, back_end: ListedBackEnd, per_s: float, now: float) -> None:
        """Record the limit that a server reported in an answer; an invalid one has no effect."""
        if math.isnan(per_s):
            if self._may_log(back_end.name, now):
                _log.warning(BACK_END_LIMIT_UNREADABLE, back_end=back_end.name)
            return
        report = _Report(back_end.started_at_ms, _clamp(per_s), now, True)
        self._store(back_end.name, report, now)

    def record_limit_ended(self, back_end: ListedBackEnd, now: float) -> None:
        """Record that a server answered without a limit to a request sent while it had one."""
        if self.limit_of(back_end) is not None:
            self._store(back_end.name, _Report(back_end.started_at_ms, None, now, True), now)

    def record_peer_report(self, back_end: str, received: LimitReport, now: float) -> None:
        """Record what a server reported to a peer."""
        known = self._reports.get(back_end)
        per_s = None if received.per_s is None else _clamp(received.per_s)
        report = _Report(received.started_at_ms, per_s, now - max(0.0, received.age_s), False)
        if known is None or report.reported_at > known.reported_at:
            self._store(back_end, report, now)

    def build_update(self, cross_region: bool, now: float) -> Mapping[str, LimitReport]:
        """Return the reports to send now to the peers of this region, or of other regions."""
        sent_at = self._sent_at[cross_region]
        due = {
            name: LimitReport(
                report.started_at_ms, report.per_s, max(0.0, now - report.reported_at)
            )
            for name, report in self._reports.items()
            if report.is_direct and now - sent_at.get(name, float("-inf")) >= RESEND_S
        }
        sent_at.update(dict.fromkeys(due, now))
        return due

    def resend_all(self) -> None:
        """Send all reports with the next update, as a new peer does not know them yet."""
        for sent_at in self._sent_at.values():
            sent_at.clear()

    def forget_old(self, listed: Iterable[str], now: float) -> None:
        """Drop expired reports and those of servers that are no longer listed."""
        if not self._reports:
            return
        listed = set(listed)
        for name, report in list(self._reports.items()):
            if name in listed and now - report.reported_at < report.lifetime_s:
                continue
            del self._reports[name]
            for times in (*self._sent_at.values(), self._logged_at):
                times.pop(name, None)
            if report.per_s is not None:
                reason = "unheard" if name in listed else "gone"
                _log.info(BACK_END_LIMIT_ENDED, back_end=name, reason=reason)

    def _store(self, back_end: str, report: _Report, now: float) -> None:
        known = self._reports.get(back_end)
        self._reports[back_end] = report
        if known is not None and known[:2] == report[:2]:
            return
        for sent_at in self._sent_at.values():
            sent_at.pop(back_end, None)
        before = known.per_s if known is not None else None
        fields = {"back_end": back_end, "told_by_peer": not report.is_direct, "before": before}
        if report.per_s is None:
            if before is not None:
                _log.info(BACK_END_LIMIT_ENDED, reason="said so", **fields)
        elif before is None or self._may_log(back_end, now):
            self._logged_at[back_end] = now
            age_ms = round(1000 * (now - report.reported_at))
            _log.info(BACK_END_LIMITED, per_s=report.per_s, age_ms=age_ms, **fields)

    def _may_log(self, back_end: str, now: float) -> bool:
        if now - self._logged_at.get(back_end, float("-inf")) < LOG_INTERVAL_S:
            return False
        self._logged_at[back_end] = now
        return True


def _clamp(per_s: float) -> float:
    # NaN from a peer becomes the lower bound.
    return min(MAX_PER_S, per_s) if per_s >= MIN_PER_S else MIN_PER_S
