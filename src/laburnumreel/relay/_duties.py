"""The task for duties that only the lease holder may do: reporting usage and giving orders."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from laburnumreel.coordination import AuthorityRegistry, AuthorizedSender, JsonResponse
from laburnumreel.core import Clock, Log, Task
from laburnumreel.relay._back_ends import Address
from laburnumreel.relay._earlier_eras import EarlierEras
from laburnumreel.relay._events import (
    REPORT_FAILED,
    SEAL_FAILED,
    USAGE_UNREADABLE,
    WINDOW_FORGOTTEN,
    WINDOW_INCOMPLETE,
    WINDOW_REPORTED,
    WINDOW_SEALED,
)
from laburnumreel.relay._metrics import RELAY_WINDOWS
from laburnumreel.relay._ports import DutyWire
from laburnumreel.relay._settings import UsageSettings
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._usage_counters import SEAL_TABLE, UsageCounters, seal_key
from laburnumreel.relay._usage_store import UsageStore
from laburnumreel.state import (
    LEASE_TABLE,
    Authority,
    Check,
    EraSighting,
    FieldError,
    Fields,
    Platform,
    Row,
    Write,
    era_of_fence,
    own_row_log,
)

DUTY_LEASE = "relay_duties"
TICK_S = 0.25
# Delay after the end of a window before its counts are fixed. Peers repeat their counts well within
# this time.
SEAL_DELAY_S = 2.2
# The missing counts of a live host are awaited until this share of the time in which a report is
# due.
WAIT_SHARE = 0.6
# A new holder gets the counts of older windows within this time. It waits for them even if the
# report is late by then: a late report can still be right, and a wrong one cannot be corrected. For
# windows before those that peers sent while it was not the holder, and for those that began before
# this process, it waits for the whole time: peers send the counts of ended processes only then.
SETTLE_S = 2.5
# A window is given up when it is later than this many times the limit.
GIVE_UP_FACTOR = 2.0

_log = Log("relay.duties")


class Planner(Protocol):
    """A part of the duties that runs in steps while the lease is held."""

    def step(self, authority: Authority, now: float) -> None: ...


class NoProcessTimer:
    """A replacement for the timer that ends a process when its authority ends.

    A relay serves callers in the same process, so it checks its authority right before each send
    instead. A process that is paused between the check and the send sends when it resumes, which
    the platform tolerates.
    """

    def arm(self, end: float) -> None:
        """Leave the process alone."""

    def disarm(self) -> None:
        """Leave the process alone."""


class _StoreUsage:
    """The message that has a host's usage counts written to the store."""


class Duties(Task):
    """Reports usage and runs the planners while this host holds the lease.

    A holder that stops lets the lease expire instead of releasing it: the platform must not get
    calls from two holders within one lease time. Every host that stops writes its usage counts to
    the store. `peers` returns the names of the live peers, `sighting` the store's era and when this
    process first saw it.
    """

    def __init__(
        self,
        platform: Platform,
        authorities: AuthorityRegistry,
        sender: AuthorizedSender,
        wire: DutyWire,
        address: Callable[[], Address],
        clock: Clock,
        true_time: TrueTime,
        usage_counters: UsageCounters,
        usage_store: UsageStore,
        usage: UsageSettings,
        peers: Callable[[], Iterable[str]],
        planners: Sequence[Planner] = (),
        sighting: Callable[[], EraSighting] = lambda: EraSighting(0, 0.0),
    ) -> None:
        super().__init__("duties", TICK_S)
        self._platform = platform
        self._authorities = authorities
        self._sender = sender
        self._wire = wire
        self._address = address
        self._clock = clock
        self._true_time = true_time
        self._usage_counters = usage_counters
        self._usage_store = usage_store
        self._usage = usage
        self._started_at = clock.now()
        self._peers = peers
        self._planners = planners
        self._sighting = sighting
        self._earlier_eras = EarlierEras(platform, clock, true_time, sighting)
        # The counts of the windows that this process has fixed, or has read after another one fixed
        # them, to write them again if the store has lost them.
        self._fixed_counts: dict[int, dict[str, int]] = {}
        self._reported: set[int] = set()
        self._incomplete: set[int] = set()
        self._retry_at = 0.0
        self._held_fence = 0
        self._held_since = 0.0
        self._complete_since: Mapping[str, int] = {}

    @property
    def fence(self) -> int:
        """The fencing number under which this host does the duties now, or 0."""
        authority = self._authority()
        return authority.fence if authority is not None else 0

    def store_usage(self) -> None:
        """Write the usage counts that may still be reported to the store; `close` does so again."""
        self.tell(_StoreUsage())

    def handle(self, message: object) -> None:
        match message:
            case _StoreUsage():
                self._store_usage()
            case _:
                super().handle(message)

    def close(self) -> None:
        self._store_usage()

    def tick(self) -> None:
        now = self._clock.now()
        authority = self._authority()
        if authority is None:
            return
        if authority.fence != self._held_fence:
            self._held_fence, self._held_since = authority.fence, now
            self._complete_since = self._usage_counters.complete_since()
        self._earlier_eras.record_authority(authority)
        if now >= self._retry_at:
            self._report(authority)
        for planner in self._planners:
            planner.step(authority, now)

    def _store_usage(self) -> None:
        self._usage_store.write(self._oldest_window(self._true_time.now()))

    def _oldest_window(self, true_now: float) -> int:
        """Return the oldest window that may still be reported."""
        return self._usage_counters.window(true_now - GIVE_UP_FACTOR * self._usage.late_s)

    def _authority(self) -> Authority | None:
        """Return the authority in force, or None; one of an earlier era of the store is invalid."""
        authority = self._authorities.current(DUTY_LEASE)
        if authority is None or era_of_fence(authority.fence) != self._sighting().era:
            return None
        return authority

    def _report(self, authority: Authority) -> None:
        if not self._earlier_eras.learn_start(authority):
            self._retry_at = self._clock.now() + 2 * TICK_S
            return
        true_now = self._true_time.now()
        newest = self._usage_counters.window(true_now - SEAL_DELAY_S) - 1
        oldest = self._oldest_window(true_now)
        for window in range(oldest, newest + 1):
            if window in self._reported or self._is_awaiting_counts(window, true_now):
                continue
            counts = self._seal(authority, window)
            if window in self._reported:
                continue
            if counts is None or not self._send_report(authority, window, counts):
                break
        self._reported = {window for window in self._reported if window >= oldest}
        self._incomplete = {window for window in self._incomplete if window >= oldest}
        self._fixed_counts = {
            window: each for window, each in self._fixed_counts.items() if window >= oldest
        }

    def _is_awaiting_counts(self, window: int, true_now: float) -> bool:
        """Return whether to wait for counts of live hosts that are missing in a window."""
        peers = list(self._peers())
        missing = self._usage_counters.hosts_missing(window, peers)
        settled = self._clock.now() - self._held_since >= SETTLE_S
        if not settled and peers and window <= self._first_window(true_now):
            return True
        if not settled:
            missing += [peer for peer in peers if window < self._complete_since.get(peer, window)]
        if not missing:
            return False
        waited_s = true_now - self._usage_counters.ends_at(window)
        if not settled or waited_s < WAIT_SHARE * self._usage.late_s:
            return True
        if window not in self._incomplete:
            self._incomplete.add(window)
            _log.warning(
                WINDOW_INCOMPLETE, window=window, hosts=missing[:10], waited_s=round(waited_s, 2)
            )
        return False

    def _first_window(self, true_now: float) -> int:
        """Return the window in which this process started."""
        return self._usage_counters.window(true_now - (self._clock.now() - self._started_at))

    def _seal(self, authority: Authority, window: int) -> dict[str, int] | None:
        """Fix a window's counts and return them, or those fixed before; None to try later."""
        stored_rows = 0
        counts = self._fixed_counts.get(window)
        if counts is None:
            if self._may_be_fixed(window):
                return self._read_fixed(authority, window)
            stored = self._usage_store.read(window)
            if stored.is_error():
                _log.warning(USAGE_UNREADABLE, window=window, kind=stored.error.kind)
                return None
            stored_rows = stored.ok
            counts = self._usage_counters.total_counts(window)
            if not counts:
                # Nothing ran, or all hosts with counts are gone; a report could only be wrong.
                return self._read_fixed(authority, window)
        key = seal_key(window)
        checks = [
            Check(LEASE_TABLE, DUTY_LEASE, authority.row_version),
            Check(SEAL_TABLE, key, 0),
        ]
        sealed = self._platform.transact(checks, [Write(SEAL_TABLE, key, {"counts": counts})])
        if sealed.is_ok():
            _log.info(
                WINDOW_SEALED,
                window=window,
                counts=counts,
                fence=authority.fence,
                processes=self._usage_counters.process_count(window),
                stored_rows=stored_rows,
                held_s=round(self._clock.now() - self._held_since, 2),
            )
            self._fixed_counts[window] = counts
            self._usage_counters.mark_fixed(window)
            return counts
        error = sealed.error
        row = error.rows.get((SEAL_TABLE, key))
        if error.kind == "conflict" and row is not None:
            return self._read_sealed(window, row)
        _log.warning(SEAL_FAILED, window=window, kind=error.kind, detail=error.detail[:200])
        return None

    def _may_be_fixed(self, window: int) -> bool:
        """Return whether a window may be fixed, although the store may have lost its row."""
        fixable_at = self._usage_counters.ends_at(window) + SEAL_DELAY_S
        return self._usage_counters.is_fixed(window) or self._earlier_eras.may_have_fixed(
            fixable_at
        )

    def _read_fixed(self, authority: Authority, window: int) -> dict[str, int] | None:
        """Return the counts in a window's row; without one, the window is not reported."""
        row = self._platform.read(SEAL_TABLE, seal_key(window))
        if row.is_error():
            return None
        if row.ok is not None:
            return self._read_sealed(window, row.ok)
        if self._may_be_fixed(window):
            _log.warning(WINDOW_FORGOTTEN, window=window, fence=authority.fence)
        self._reported.add(window)
        return None

    def _read_sealed(self, window: int, row: Row) -> dict[str, int] | None:
        """Return the counts in a window's row, or None if the row is invalid.

        An invalid row was written by something other than a relay. Counts that it had before may
        have been reported, and a second report could differ from the first, so the window is given
        up.
        """
        try:
            counts = Fields(row.value).fields("counts").all_integers()
        except FieldError as error:
            own_row_log.log_once(SEAL_TABLE, row.key, row.version, str(error))
            self._reported.add(window)
            return None
        self._fixed_counts[window] = counts
        self._usage_counters.mark_fixed(window)
        return counts

    def _send_report(self, authority: Authority, window: int, counts: dict[str, int]) -> bool:
        current = self._authority()
        if current is None or current.fence != authority.fence:
            return False
        call = self._wire.usage(current, window, counts)
        sent = self._sender.post(current, self._address(), call.path, call.body, call.headers)
        detail = sent.error.detail if sent.is_error() else _error_text(sent.ok)
        if detail:
            self._retry_at = self._clock.now() + 2 * TICK_S
            RELAY_WINDOWS.inc(outcome="failed")
            _log.warning(REPORT_FAILED, window=window, detail=detail[:200], fence=current.fence)
            return False
        self._reported.add(window)
        RELAY_WINDOWS.inc(outcome="reported")
        late_s = self._true_time.now() - self._usage_counters.ends_at(window)
        _log.info(WINDOW_REPORTED, window=window, after_s=round(late_s, 2), fence=current.fence)
        return True


def _error_text(answer: JsonResponse) -> str:
    return "" if answer.status == 200 else f"status {answer.status}: {answer.body}"
