"""What backend servers say of themselves in their answers: that they leave, or are full.

Load patterns that this answers: a planned change of backend servers whose entries lag behind what
they say; and a service whose backend servers are all full, to which every further request is a load.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._events import BACK_END_FULL, BACK_END_LEAVING
from laburnumreel.relay._requests import SelfReport

# A backend server that wants nothing for longer is asked again after this time: its word may be an
# error, and one that is restarted sooner has a new incarnation.
MAX_FULL_S = 600.0
# Hosts that were told the same time come back spread over this share of it, and at most this time.
RETURN_JITTER_SHARE = 0.1
MAX_RETURN_JITTER_S = 0.5
# A peer's word that a backend server leaves counts for this long after it was last heard. Peers tell
# it for as long as they list the backend server.
PEER_REPORT_S = 30.0
# What was said by a backend server that is no longer listed is forgotten after this time. An entry
# that lapsed with the store is back sooner.
FORGET_REPORT_S = 300.0

_log = Log("relay.dispatcher")


class _StoredReport(NamedTuple):
    """A report of one incarnation, by the time of its start, and until when it counts."""

    started_at_ms: int
    ends_at: float

    def applies_to(self, back_end: ListedBackEnd, now: float) -> bool:
        # A host of an earlier release does not say which incarnation it means.
        return now < self.ends_at and self.started_at_ms in (0, back_end.started_at_ms)


class SelfReports:
    """Backend servers that get no work because they said so.

    A report holds for the incarnation that gave it: one that starts anew is free of it.

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
        """Take a backend server's own word; `jitter`, from 0 to 1, is where this host comes back."""
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
        """Take a peer's word that a backend server leaves."""
        known = self._peer_leaving.get(back_end)
        if known is None or known.started_at_ms != started_at_ms:
            _log.debug(BACK_END_LEAVING, back_end=back_end, started_at_ms=started_at_ms, told=True)
        self._peer_leaving[back_end] = _StoredReport(started_at_ms, now + PEER_REPORT_S)

    def accepts_work(self, back_end: ListedBackEnd, now: float) -> bool:
        """Return whether a backend server has not said that it wants no work."""
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
        """Return in how many seconds the first of those that are full takes work, or None."""
        ends = [
            stored.ends_at
            for back_end in back_ends
            if (stored := self._full.get(back_end.name)) is not None
            and stored.applies_to(back_end, now)
        ]
        return min(ends) - now if ends else None

    def leaving(self, listed: Iterable[ListedBackEnd]) -> Mapping[str, int]:
        """Return the starts of those that leave by their entry or their own word, for the peers."""
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
        """Keep what was said by those that are still listed, however long ago."""
        if not self._leaving:
            return
        for entry in entries:
            stored = self._leaving.get(entry.name)
            if stored is not None and stored.started_at_ms == entry.started_at_ms:
                self._leaving[entry.name] = stored._replace(ends_at=now + FORGET_REPORT_S)

    def forget_old(self, now: float) -> None:
        """Drop the reports whose time is over."""
        for reports in (self._leaving, self._peer_leaving, self._full):
            for name in [name for name, stored in reports.items() if stored.ends_at <= now]:
                del reports[name]
