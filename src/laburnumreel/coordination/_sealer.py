"""Closes usage windows, seals their figures and reports them to the platform."""

from collections.abc import Sequence
from typing import Any

from expression import Result

from laburnumreel.coordination._authority import AuthorityRegistry
from laburnumreel.coordination._authorized_send import Address, AuthorizedSender, OrderLink
from laburnumreel.coordination._events import (
    USAGE_DIFFERS,
    USAGE_REPORT_FAILED,
    USAGE_WINDOW_REPORTED,
)
from laburnumreel.coordination._metrics import USAGE_REPORT_DELAY, USAGE_REPORTS
from laburnumreel.coordination._usage_cleaner import DeltaCleaner
from laburnumreel.coordination._usage_format import UsageFormatGuard
from laburnumreel.core import Clock, Log
from laburnumreel.state import (
    DELTA_RETENTION_S,
    DELTA_TABLE,
    LEASE_TABLE,
    WINDOW_TABLE,
    Authority,
    Check,
    Platform,
    PlatformError,
    Row,
    UsageSettings,
    WindowShard,
    WindowState,
    Write,
    figures_to_value,
    sum_deltas,
    window_start,
)

USAGE_LEASE = "usage"
# The key of the row that names the next window to report, so that a successor need not search for
# it, and the first window ever. All windows from the first one up to the next one are closed. A
# gateway whose clock is wrong or slow may still store a delta in a window before the first one.
NEXT_WINDOW_KEY = "next"
IDLE_DELAY_S = 0.5
MAX_TICK_S = 0.2
MAX_REPORTS_PER_STEP = 50
# Limits how long windows before the first one can delay the current window.
MAX_EARLY_WINDOWS_IN_ROW = 32

_log = Log("coordination.sealer")


class UsageSealer:
    """Processes the usage windows in order while this process holds the lease `usage`.

    Each shard of a window has a row, whose state goes from absent to closing, after which no deltas
    are accepted; then to sealed, with the final sums; then to reported. Each step starts from the
    row as stored, so processing resumes from there after a lost response or a change of the lease's
    holder, and only the sealed figures are ever sent.
    """

    def __init__(
        self,
        platform: Platform,
        authorities: AuthorityRegistry,
        link: OrderLink,
        address: Address,
        clock: Clock,
        settings: UsageSettings,
        retention_s: float = DELTA_RETENTION_S,
    ) -> None:
        self._platform = platform
        self._authorities = authorities
        self._sender = AuthorizedSender(authorities, link)
        self._address = address
        self._clock = clock
        self._settings = settings
        self._format_guard = UsageFormatGuard(platform, settings, clock)
        self._cleaner = DeltaCleaner(
            platform, clock, self._transact, settings.window_s, retention_s
        )
        self._fence = 0
        self._next_row: Row | None = None
        self._window: int | None = None
        self._first_window = 0
        self._early_window_count = 0
        self._early_scan_after = ""
        self._has_written = False
        self._shard = 0
        self._reported_customers: set[str] = set()
        self._reachable_since: float | None = None
        self._idle_until = 0.0

    @property
    def has_format_mismatch(self) -> bool:
        """Whether the usage settings are known to differ from those in the store."""
        return self._format_guard.is_mismatched

    def tick(self) -> None:
        """Take the steps that are due, for a limited time because orders use the same thread."""
        started_at = self._clock.now()
        if started_at < self._idle_until:
            return
        while self._clock.now() < started_at + MAX_TICK_S:
            if not self.step():
                self._clean()
                self._idle_until = self._clock.now() + IDLE_DELAY_S
                return

    def step(self) -> bool:
        """Take one step and return whether more may be due."""
        if not self._format_guard.ensure_agreement():
            return False
        authority = self._authorities.current(USAGE_LEASE)
        if authority is None:
            return False
        if authority.fence != self._fence:
            self._fence, self._window, self._reachable_since = authority.fence, None, None
            self._early_scan_after = ""
        if self._window is None and not self._find_window():
            return False
        if not self._is_window_due():
            return False
        if self._shard >= self._settings.shards:
            return self._advance_window(authority)
        window_shard = WindowShard(self._window, self._shard)
        row = self._platform.read(WINDOW_TABLE, window_shard.key)
        if row.is_error():
            return self._on_store_failure()
        if row.ok is None:
            return self._write_state(authority, window_shard, 0, WindowState.CLOSING, None)
        match row.ok.value["state"]:
            case WindowState.CLOSING:
                return self._seal(authority, window_shard, row.ok)
            case WindowState.SEALED:
                return self._report_figures(authority, window_shard, row.ok)
        self._shard += 1
        self._reported_customers.clear()
        return True

    def _clean(self) -> None:
        authority = self._authorities.current(USAGE_LEASE)
        if authority is not None and self._format_guard.ensure_agreement():
            self._cleaner.step(authority)

    def _find_window(self) -> bool:
        """Find the next window to report and return whether the store could be read."""
        row = self._platform.read(WINDOW_TABLE, NEXT_WINDOW_KEY)
        if row.is_error():
            return self._on_store_failure()
        oldest = self._platform.scan(DELTA_TABLE, after=self._early_scan_after, limit=1)
        if oldest.is_error():
            return self._on_store_failure()
        self._next_row, self._shard = row.ok, 0
        self._reported_customers.clear()
        self._has_written = False
        if row.ok is not None:
            self._window, self._first_window = row.ok.value["window"], row.ok.value["first"]
        else:
            now = window_start(self._clock.wall(), self._settings.window_s)
            self._window = self._first_window = now
        self._choose_early_window(oldest.ok.rows)
        if self._reachable_since is None:
            self._reachable_since = self._clock.now()
        return True

    def _choose_early_window(self, oldest: Sequence[Row]) -> None:
        """Choose the oldest window before the first one if it has deltas.

        After `MAX_EARLY_WINDOWS_IN_ROW` of them in a row, the current window is processed first.
        The windows between the chosen one and the first one are not visited one by one. The next
        scans find those with deltas, and one that gets its first delta later is found after the
        next window.
        """
        windows = [WindowShard.from_key(row.key).window for row in oldest]
        if not windows or windows[0] >= self._first_window:
            self._early_window_count, self._early_scan_after = 0, ""
        elif self._early_window_count >= MAX_EARLY_WINDOWS_IN_ROW:
            self._early_window_count = 0
        else:
            self._early_window_count += 1
            # ";" sorts after ":", so this key follows those of all deltas of the window.
            self._early_scan_after = f"{WindowShard(windows[0], 0).label};"
            self._window = windows[0]

    def _is_window_due(self) -> bool:
        """Return whether the window is over and gateways had the grace time to flush.

        After a store outage they get the grace time again; otherwise all the usage that they kept
        would be late.
        """
        grace_s = self._settings.grace_s
        is_over = self._clock.wall() >= self._window + self._settings.window_s + grace_s
        reachable_since = self._reachable_since
        if reachable_since is None:
            # The last call failed, so check whether the store can be reached again.
            self._find_window()
            return False
        return is_over and self._clock.now() >= reachable_since + grace_s

    def _advance_window(self, authority: Authority) -> bool:
        """Record that all shards of the window are reported and advance to the next window."""
        if self._window < self._first_window:
            if self._has_written:
                _log.info(USAGE_WINDOW_REPORTED, window=self._window)
            self._window = None
            return True
        delay_s = self._clock.wall() - (self._window + self._settings.window_s)
        next_window = self._window + self._settings.window_s
        version = 0 if self._next_row is None else self._next_row.version
        checks = [Check(WINDOW_TABLE, NEXT_WINDOW_KEY, version)]
        write = Write(
            WINDOW_TABLE, NEXT_WINDOW_KEY, {"window": next_window, "first": self._first_window}
        )
        result = self._transact(authority, checks, [write])
        # The next step reads from the store whether this took effect and which window is next.
        reported, self._window = self._window, None
        if result.is_error():
            return False
        USAGE_REPORT_DELAY.set(delay_s)
        _log.info(USAGE_WINDOW_REPORTED, window=reported)
        return True

    def _seal(self, authority: Authority, window_shard: WindowShard, row: Row) -> bool:
        deltas: list[Row] = []
        more = True
        while more:
            after = deltas[-1].key if deltas else ""
            page = self._platform.scan(DELTA_TABLE, f"{window_shard.key}:", after)
            if page.is_error():
                return self._on_store_failure()
            deltas += page.ok.rows
            more = page.ok.more and bool(page.ok.rows)
        figures = figures_to_value(sum_deltas(deltas))
        state = WindowState.SEALED if figures else WindowState.REPORTED
        return self._write_state(authority, window_shard, row.version, state, figures)

    def _report_figures(self, authority: Authority, window_shard: WindowShard, row: Row) -> bool:
        figures: dict[str, dict[str, int]] = row.value["figures"]
        unsent = [customer for customer in figures if customer not in self._reported_customers]
        for customer in unsent[:MAX_REPORTS_PER_STEP]:
            body = {
                "customer": customer,
                "window": window_shard.label,
                "figures": figures[customer],
            }
            answer = self._sender.post(authority, self._address, "/usage", body)
            status = answer.ok.status if answer.is_ok() else 0
            USAGE_REPORTS.inc(outcome={200: "accepted", 409: "differs"}.get(status, "failed"))
            if status == 409:
                _log.error(USAGE_DIFFERS, customer=customer, window=window_shard.label)
            elif status != 200:
                detail = f"status {status}" if status else answer.error.detail
                _log.warning(USAGE_REPORT_FAILED, window=window_shard.label, error=detail)
                return False
            self._reported_customers.add(customer)
        if len(unsent) > MAX_REPORTS_PER_STEP:
            return True
        return self._write_state(
            authority, window_shard, row.version, WindowState.REPORTED, figures
        )

    def _write_state(
        self,
        authority: Authority,
        window_shard: WindowShard,
        version: int,
        state: WindowState,
        figures: dict[str, Any] | None,
    ) -> bool:
        value: dict[str, Any] = {"state": str(state)}
        if figures is not None:
            value["figures"] = figures
        checks = [Check(WINDOW_TABLE, window_shard.key, version)]
        result = self._transact(authority, checks, [Write(WINDOW_TABLE, window_shard.key, value)])
        self._has_written = self._has_written or result.is_ok()
        # After a failure, the next step starts from the row as stored then.
        return result.is_ok()

    def _transact(
        self, authority: Authority, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        lease = Check(LEASE_TABLE, USAGE_LEASE, authority.row_version)
        result = self._platform.transact([lease, self._format_guard.check, *checks], writes)
        if result.is_error():
            self._format_guard.on_write_failure(result.error)
        return result

    def _on_store_failure(self) -> bool:
        self._reachable_since, self._early_scan_after = None, ""
        return False
