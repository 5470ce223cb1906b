"""Reports of backend servers about themselves in answers: that they are shutting down, or full.

During a planned replacement of backend servers, the entries in the table lag behind these reports.
If all backend servers of a service are full, each further request to them adds to their load.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._events import BACK_END_FULL, BACK_END_LEAVING
from laburnumreel.relay._requests import SelfReport

# Upper bound on the time for which a backend server can refuse work: a longer one may be an error,
# and a server that restarts earlier is a new incarnation.
MAX_FULL_S = 600.0
# Hosts that got the same time from a full server resume with jitter over this share of it, at most
# this many seconds.
RETURN_JITTER_SHARE = 0.1
MAX_RETURN_JITTER_S = 0.5
# A peer's report that a backend server is shutting down counts for this long after the last update
# with it. Peers repeat it as long as the backend server is in their list.
PEER_REPORT_S = 30.0
# Reports of backend servers that are no longer listed are dropped after this time. Entries that
# expired during a store outage come back sooner.
FORGET_REPORT_S = 300.0

_log = Log("relay.dispatcher")


class _StoredReport(NamedTuple):
    """A report of one incarnation, given by its start time, and the time until which it counts."""

    started_at_ms: int
    ends_at: float

    def applies_to(self, back_end: ListedBackEnd, now: float) -> bool:
        # Hosts of earlier releases do not send the incarnation; their reports have a 0.
        return now < self.ends_at and self.started_at_ms in (0, back_end.started_at_ms)


class SelfReports:
    """The backend servers that get no work because of their own reports.

    A report applies only to the incarnation of the server that sent it.

    >>> reports = SelfReports()
    >>> engine = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "zone-a", 4, started_at_ms=5)
    >>> reports.record_report(engine, SelfReport(leaving=True), jitter=0.0, now=0.0)
    >>> reports.accepts_work(engine, now=100.0)
    False
    >>> reports.accepts_work(engine._replace(started_at_ms=9), now=100.0)
    True
    """

    def __init__(self) -> None:
        self._leaving: dict[str, _StoredReport] = {}
        self._peer_leaving: dict[str, _StoredReport] = {}
        self._full: dict[str, _StoredReport] = {}

    def record_report(
        self, back_end: ListedBackEnd, report: SelfReport, jitter: float, now: float
    ) -> None:
        """Record a backend server's report; `jitter` is this host's jitter, from 0 to 1."""
        name, started_at_ms = back_end.name, back_end.started_at_ms
        if report.leaving:
            known = self._leaving.get(name)
            if known is None or known.started_at_ms != started_at_ms:
                _log.info(BACK_END_LEAVING, back_end=name, started_at_ms=started_at_ms)
            self._leaving[name] = _StoredReport(started_at_ms, now + FORGET_REPORT_S)
        if report.full_s is not None:
            full_s = min(report.full_s, MAX_FULL_S)
            ends_at = now + full_s + min(RETURN_JITTER_SHARE * full_s, MAX_RETURN_JITTER_S) * jitter
            known = self._full.get(name)
            if known is None or known.ends_at < ends_at or known.started_at_ms != started_at_ms:
                self._full[name] = _StoredReport(started_at_ms, ends_at)
                _log.info(
                    BACK_END_FULL,
                    back_end=name,
                    asked_s=round(report.full_s, 3),
                    rest_s=round(ends_at - now, 3),
                )

    def record_peer_leaving(self, back_end: str, started_at_ms: int, now: float) -> None:
        """Record a peer's report that a backend server is shutting down."""
        known = self._peer_leaving.get(back_end)
        if known is None or known.started_at_ms != started_at_ms:
            _log.debug(BACK_END_LEAVING, back_end=back_end, started_at_ms=started_at_ms, told=True)
        self._peer_leaving[back_end] = _StoredReport(started_at_ms, now + PEER_REPORT_S)

    def accepts_work(self, back_end: ListedBackEnd, now: float) -> bool:
        """Return whether a backend server accepts work, by its own reports."""
        if not (self._leaving or self._peer_leaving or self._full):
            return True
        return not any(
            stored.applies_to(back_end, now)
            for reports in (self._leaving, self._peer_leaving, self._full)
            if (stored := reports.get(back_end.name)) is not None
        )

    def seconds_until_accepting(
        self, back_ends: Iterable[ListedBackEnd], now: float
    ) -> float | None:
        """Return the seconds until the first of the full servers accepts work, None if none is."""
        ends = [
            stored.ends_at
            for back_end in back_ends
            if (stored := self._full.get(back_end.name)) is not None
            and stored.applies_to(back_end, now)
        ]
        return min(ends) - now if ends else None

    def leaving(self, listed: Iterable[ListedBackEnd]) -> Mapping[str, int]:
        """Return the servers that are shutting down, with their start times, for the peers.

        Includes servers whose entry says so and servers that reported it to this host.
        """
        return {
            entry.name: entry.started_at_ms
            for entry in listed
            if entry.draining
            or (
                (stored := self._leaving.get(entry.name)) is not None
                and stored.started_at_ms == entry.started_at_ms
            )
        }

    def renew_listed(self, entries: Iterable[ListedBackEnd], now: float) -> None:
        """Renew the reports of the backend servers that are still listed."""
        if not self._leaving:
            return
        for entry in entries:
            stored = self._leaving.get(entry.name)
            if stored is not None and stored.started_at_ms == entry.started_at_ms:
                self._leaving[entry.name] = stored._replace(ends_at=now + FORGET_REPORT_S)

    def forget_old(self, now: float) -> None:
        """Drop the expired reports."""
        for reports in (self._leaving, self._peer_leaving, self._full):
            for name in [name for name, stored in reports.items() if stored.ends_at <= now]:
                del reports[name]
