"""The task that acquires, renews and gives up the leases of this process."""

import random
from collections.abc import Callable, Sequence

from laburnumreel.coordination._authority import AuthorityRegistry, ProcessTimer
from laburnumreel.coordination._events import (
    LEASE_ACQUIRED,
    LEASE_GIVEN_UP,
    LEASE_LOST,
    LEASE_RELEASE_FAILED,
    LEASE_RELEASED,
    LEASES_UNREACHABLE,
)
from laburnumreel.coordination._metrics import LEASE_HELD, LEASE_WRITES
from laburnumreel.core import Clock, Log, Task
from laburnumreel.state import (
    LEASE_TABLE,
    Authority,
    Lease,
    LeaseAttempt,
    LeaseSettings,
    Platform,
    PlatformError,
    StoreClockReading,
    own_row_log,
)

LEASE_TICK_S = 0.1
# Timeout of a platform call as a share of the term, so that several attempts fit into a term.
CALL_SHARE_OF_TERM = 1 / 8
SCAN_SHARE_OF_TERM = 1 / 4
# With more processes than this, each one scans the leases less often, by up to the factor below.
# Together they still notice a free lease as soon.
FULL_RATE_WATCHERS = 24
MAX_SCAN_SLOWDOWN = 8.0

_log = Log("coordination.leases")


class LeaseManager(Task):
    """Acquires and renews leases and publishes them as authorities.

    Each step makes at most one call to the platform, so that the ends of leases are checked often
    enough while the store is slow. The platform client passed in should time out after
    `call_timeout_s`. While `is_held_elsewhere` returns that another process holds the leases,
    they are not scanned; a wrong result only delays a successor. Leases are acquired only while
    `may_acquire` returns True, and renewed always. Without `release_on_close`, a planned stop lets
    the leases expire instead of releasing them. `era` returns the era of the store, which may be
    restored from an older copy, and `known_fence` the highest fencing number that other processes
    have reported.
    """

    def __init__(
        self,
        platform: Platform,
        authorities: AuthorityRegistry,
        timer: ProcessTimer,
        clock: Clock,
        leases: Sequence[Lease],
        settings: LeaseSettings,
        rng: random.Random,
        is_held_elsewhere: Callable[[], bool] = lambda: False,
        may_acquire: Callable[[], bool] = lambda: True,
        release_on_close: bool = True,
        era: Callable[[], int] = lambda: 0,
        known_fence: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__("leases", LEASE_TICK_S)
        self._is_held_elsewhere = is_held_elsewhere
        self._may_acquire = may_acquire
        self._release_on_close = release_on_close
        self._era = era
        self._known_fence = known_fence
        self._platform = platform
        self._authorities = authorities
        self._timer = timer
        self._clock = clock
        self._leases = list(leases)
        self._term_s = settings.term_s
        self._give_up_lead_s = self.call_timeout_s(settings) + 2 * LEASE_TICK_S
        self._rng = rng
        self._published: dict[str, Authority] = {}
        self._unclosed_ends: list[float] = []
        self._scan_interval_s = self._term_s * SCAN_SHARE_OF_TERM
        self._next_scan_at = 0.0
        self._store_reachable = True

    @staticmethod
    def call_timeout_s(settings: LeaseSettings) -> float:
        """Return the timeout for calls of this task to the platform, in seconds."""
        return settings.term_s * CALL_SHARE_OF_TERM

    @property
    def store_reachable(self) -> bool:
        """Whether the store answered the last call."""
        return self._store_reachable

    def set_watcher_count(self, watchers: int) -> None:
        """Set the number of processes that scan the leases, which determines the interval."""
        slowdown = max(1.0, min(MAX_SCAN_SLOWDOWN, watchers / FULL_RATE_WATCHERS))
        self._scan_interval_s = self._term_s * SCAN_SHARE_OF_TERM * slowdown

    def tick(self) -> None:
        self.step()

    def step(self) -> None:
        """Give up authorities that are about to end, then make the most urgent platform call."""
        now = self._clock.now()
        for lease in self._leases:
            lease.observe_fence(self._known_fence())
        era_changes = [lease.enter_era(self._era(), now) for lease in self._leases]
        if any(era_changes):
            self._publish()
        self._give_up_ending(now)
        if any(lease.needs_read for lease in self._leases):
            self._scan_leases()
            return
        if not self._published and self._is_held_elsewhere():
            # Spread the scans: hosts that lose contact with the holder must not all scan at once.
            self._next_scan_at = now + self._rng.random() * self._scan_interval_s
            return
        due = [lease for lease in self._leases if lease.is_renewal_due(now)]
        if due:
            self._send(due)
            return
        if now >= self._next_scan_at:
            self._scan_leases()
            return
        acquirable = [lease for lease in self._leases if lease.can_acquire(now)]
        if acquirable and self._may_acquire():
            self._send([self._rng.choice(acquirable)])

    def release_all(self) -> None:
        """Give up all authorities, then release the leases so that successors need not wait."""
        now = self._clock.now()
        attempts = []
        for lease in self._leases:
            closed = self._withdraw(lease.name)
            attempt = lease.release(now)
            if attempt is not None and closed:
                attempts.append(attempt)
        for attempt in attempts:
            result = self._platform.transact([attempt.check], [attempt.write])
            if result.is_ok():
                _log.info(LEASE_RELEASED, lease=attempt.check.key, fence=attempt.fence)
            else:
                detail = str(result.error.detail)
                _log.warning(LEASE_RELEASE_FAILED, lease=attempt.check.key, error=detail)

    def lapse(self, name: str) -> None:
        """Give up one authority but do not release its lease: a successor waits for the term."""
        for lease in self._leases:
            if lease.name == name:
                lease.lapse()
                self._withdraw(name)

    def handle(self, message: object) -> None:
        match message:
            case ("lapse", str(name)):
                self.lapse(name)
            case _:
                super().handle(message)

    def close(self) -> None:
        if self._release_on_close:
            self.release_all()
            return
        for lease in self._leases:
            self.lapse(lease.name)

    def _give_up_ending(self, now: float) -> None:
        for name, authority in list(self._published.items()):
            if now >= authority.end - self._give_up_lead_s:
                _log.warning(LEASE_GIVEN_UP, lease=name, fence=authority.fence)
                self.lapse(name)

    def _scan_leases(self) -> None:
        self._next_scan_at = self._clock.now() + self._scan_interval_s * (
            1 + 0.2 * self._rng.random()
        )
        sent_at, era = self._clock.now(), self._era()
        page = self._platform.scan(LEASE_TABLE)
        now = self._clock.now()
        if page.is_error():
            self._on_error(page.error)
            return
        self._store_reachable = True
        rows = {row.key: row for row in page.ok.rows}
        store_s = page.ok.store_time_s
        store_time = None if store_s is None else StoreClockReading(sent_at, now, store_s)
        for lease in self._leases:
            row = rows.get(lease.name)
            lease.observe(row, now, store_time)
            # If the response announced a new era, the next step reads the row again.
            if row is not None and lease.problem is not None and era == self._era():
                own_row_log.log_once(LEASE_TABLE, row.key, row.version, lease.problem)
        self._publish()

    def _send(self, leases: list[Lease]) -> None:
        now = self._clock.now()
        pairs: list[tuple[Lease, LeaseAttempt]] = []
        for lease in leases:
            attempt = lease.next_attempt(now)
            if attempt is not None:
                pairs.append((lease, attempt))
        if not pairs:
            return
        result = self._platform.transact(
            [attempt.check for _, attempt in pairs], [attempt.write for _, attempt in pairs]
        )
        LEASE_WRITES.inc(kind=pairs[0][1].kind)
        answered_at = self._clock.now()
        for lease, attempt in pairs:
            if result.is_ok():
                lease.on_success(attempt, result.ok)
            else:
                lease.on_failure(attempt, result.error, answered_at)
        if result.is_ok():
            self._store_reachable = True
        else:
            self._on_error(result.error)
        self._publish()

    def _publish(self) -> None:
        """Arm the process timer for the leases held now, then publish their authorities."""
        now = self._clock.now()
        in_force = {}
        for lease in self._leases:
            authority = lease.authority(now)
            if authority is not None and now < authority.end - self._give_up_lead_s:
                in_force[lease.name] = authority
        for name, old in list(self._published.items()):
            new = in_force.get(name)
            if new is None or new.fence != old.fence:
                _log.warning(LEASE_LOST, lease=name, fence=old.fence)
                self._withdraw(name)
        changed = [new for name, new in in_force.items() if self._published.get(name) != new]
        if not changed:
            return
        newly_held = {new.name for new in changed if new.name not in self._published}
        self._published.update(in_force)
        self._arm()
        for authority in changed:
            self._authorities.publish(authority)
            if authority.name in newly_held:
                LEASE_HELD.set(1, lease=authority.name)
                _log.info(LEASE_ACQUIRED, lease=authority.name, fence=authority.fence)

    def _withdraw(self, name: str) -> bool:
        """Take an authority out of force and return whether its connections are closed.

        If one is still open, the process timer stays armed for the end of that authority.
        """
        closed = self._authorities.withdraw(name)
        authority = self._published.pop(name, None)
        if authority is not None:
            LEASE_HELD.set(0, lease=name)
            if not closed:
                self._unclosed_ends.append(authority.end)
        self._arm()
        return closed

    def _arm(self) -> None:
        """Arm the process timer for the earliest end, or disarm it if no authority is left."""
        ends = [authority.end for authority in self._published.values()] + self._unclosed_ends
        if ends:
            self._timer.arm(min(ends))
        else:
            self._timer.disarm()

    def _on_error(self, error: PlatformError) -> None:
        if error.kind == "conflict":
            self._store_reachable = True
            return
        if self._store_reachable:
            _log.warning(LEASES_UNREACHABLE, kind=error.kind, error=error.detail)
        self._store_reachable = False
