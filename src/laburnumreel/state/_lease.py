"""The state machine of one lease: its holder, fencing number and expiry."""

from typing import Any, Literal, NamedTuple

from laburnumreel.state._era import FENCE_BITS, era_of_fence, first_fence
from laburnumreel.state._fields import FieldError, Fields
from laburnumreel.state._platform import Check, PlatformError, Row, Write

LEASE_TABLE = "lease"
# A lease is renewed after this share of its term, which leaves time for several attempts.
RENEW_SHARE = 1 / 3
# The field of a lease's row with the end of its term on the store's clock.
END_FIELD = "ends_at_store_s"
# The field with the store era in which the row was written; absent in the first era.
ERA_FIELD = "era"
# Maximum term of a lease, in seconds.
MAX_TERM_S = 3600.0
# The fencing numbers of an era that are accepted: half of those possible. A higher one was never
# issued, and accepting one near the end would leave none for later holders.
MAX_FENCES_PER_ERA = 1 << FENCE_BITS - 1
# Maximum absolute value of a reading of the store's clock, in seconds.
MAX_STORE_CLOCK_S = 1e12
# The holder assumed for a malformed row.
UNKNOWN_HOLDER = "?"


class StoreClockReading(NamedTuple):
    """A reading of the store's steady clock, taken between two times of the process's own clock."""

    sent_at: float
    answered_at: float
    store_s: float

    def latest(self, now: float) -> float:
        """Return an upper bound of the store's clock at `now`."""
        return self.store_s + now - self.sent_at

    def earliest(self, now: float) -> float:
        """Return a lower bound of the store's clock at `now`."""
        return self.store_s + now - self.answered_at


class Authority(NamedTuple):
    """The right to act under a lease.

    `end` is in seconds of the holder's own clock. A transaction that checks `row_version` only
    takes effect if no other process has taken the lease over.
    """

    name: str
    fence: int
    row_version: int
    end: float


class LeaseAttempt(NamedTuple):
    """One part of a transaction that acquires, renews or releases a lease."""

    kind: Literal["acquire", "renew", "release"]
    check: Check
    write: Write
    fence: int
    sent_at: float


class Lease:
    """The view of one lease in one process.

    It performs no I/O: the owner sends the attempts and reports their outcomes and the rows read.
    All times are seconds of the owner's clock. If the store provides its steady clock, a holder
    stores the end of its term on that clock, so that a successor that could not read the row for a
    while does not have to wait a full term after it first sees the row.

    >>> lease = Lease("orders", "node-a", "boot-1", term_s=4.0, margin_s=0.5)
    >>> lease.observe(None, now=0.0)
    >>> attempt = lease.next_attempt(now=1.0)
    >>> lease.on_success(attempt, commit=7)
    >>> lease.authority(now=1.1)
    Authority(name='orders', fence=1, row_version=7, end=4.5)
    """

    def __init__(self, name: str, holder: str, boot: str, term_s: float, margin_s: float) -> None:
        self._name = name
        self._holder = holder
        self._boot = boot
        self._term_s = term_s
        self._margin_s = margin_s
        self._observed = False
        self._row: Row | None = None
        self._first_seen_at = 0.0
        self._held: Authority | None = None
        self._renewed_at = 0.0
        self._unresolved_since: float | None = None
        self._needs_read = False
        self._store_time: StoreClockReading | None = None
        self._era = 0
        self._era_seen_at = 0.0
        # Whether this process held the lease when it entered the era. If so, no other process did.
        self._held_before_era = False
        # The highest fencing number known to this process.
        self._highest_fence = 0
        self._problem: str | None = None

    @property
    def name(self) -> str:
        return self._name

    @property
    def last_authority(self) -> Authority | None:
        """The last authority acquired, even if it has expired."""
        return self._held

    @property
    def needs_read(self) -> bool:
        """Whether the row must be read because the outcome of an attempt is unknown."""
        return self._needs_read

    @property
    def row(self) -> Row | None:
        """The newest known row."""
        return self._row

    @property
    def problem(self) -> str | None:
        """Why the newest row read is malformed, or None if it is valid.

        A malformed row is treated like that of another holder with this process's term.
        """
        return self._problem

    def authority(self, now: float) -> Authority | None:
        """Return the authority if it is in force at `now`, or None."""
        return self._held if self._held is not None and now < self._held.end else None

    def observe(
        self, row: Row | None, now: float, store_time: StoreClockReading | None = None
    ) -> None:
        """Record the row that was read. `now` must be a time after the response arrived."""
        self._needs_read = False
        if store_time is not None:
            self._store_time = store_time
        if row is not None:
            row = self._validated(row)
        version = 0 if row is None else row.version
        known_version = 0 if self._row is None else self._row.version
        if self._observed and version < known_version:
            return
        if not self._observed or version != known_version:
            self._first_seen_at = now
        self._observed, self._row = True, row
        if row is not None:
            self.observe_fence(row.value["fence"])
        if row is None or not self._is_ours(row.value):
            self._held = None
            self._unresolved_since = None
        elif self._held is None or row.version != self._held.row_version:
            self._adopt(row)

    def observe_fence(self, fence: int) -> None:
        """Record a fencing number that some process has used."""
        self._highest_fence = max(self._highest_fence, fence)

    def enter_era(self, era: int, now: float) -> bool:
        """Record the store's era and return whether it is new: the store was then restored.

        In a new era the authority ends, because the row that proves it may be lost. A process may
        only acquire the lease one term after it first saw the era, because a holder that does not
        know of the era yet still relies on its term. Only a process that held the lease until now
        may acquire it again at once.
        """
        if era <= self._era:
            return False
        self._held_before_era = self.authority(now) is not None
        self._era, self._era_seen_at = era, now
        self._held, self._unresolved_since = None, None
        self._observed, self._row = False, None
        self._needs_read = True
        return True

    def is_renewal_due(self, now: float) -> bool:
        """Return whether the lease is held and due for renewal."""
        held = self.authority(now)
        return held is not None and now >= self._renewed_at + self._term_s * RENEW_SHARE

    def can_acquire(self, now: float) -> bool:
        """Return whether no other process can hold the lease any more.

        The term in another holder's row is counted from when this process first saw that version
        of the row. The holder counts it from before that version was written, so no clock of
        another machine is needed. The lease is free earlier if the store's clock has passed the end
        that the holder stored.
        """
        if not self._observed or self.authority(now) is not None:
            return False
        if not self._is_row_of_current_era():
            waited_s = now - self._era_seen_at
            return self._held_before_era or waited_s >= self._term_s + 2 * self._margin_s
        if self._row is None or not self._row.value["holder"] or self._is_ours(self._row.value):
            return True
        if now >= self._first_seen_at + self._row.value["term_s"] + 2 * self._margin_s:
            return True
        ends_at = self._row.value.get(END_FIELD)
        if ends_at is None or self._store_time is None:
            return False
        return self._store_time.earliest(now) >= ends_at + 2 * self._margin_s

    def next_attempt(self, now: float) -> LeaseAttempt | None:
        """Return the attempt to renew or acquire the lease now, or None if neither is possible."""
        held = self.authority(now)
        if held is not None:
            return self._attempt("renew", held.row_version, held.fence, now)
        if not self.can_acquire(now):
            return None
        # After a restore of the store, the row may hold an older fencing number than the last one.
        fence = max(first_fence(self._era), self._highest_fence + 1)
        version = 0 if self._row is None else self._row.version
        return self._attempt("acquire", version, fence, now)

    def release(self, now: float) -> LeaseAttempt | None:
        """Give up the authority. Return the attempt that releases the row, or None if not held."""
        held, self._held = self._held, None
        # Otherwise `observe` might adopt this process's row again, although the release may still
        # take effect later.
        self._unresolved_since = None
        if held is None:
            return None
        return self._attempt("release", held.row_version, held.fence, now)

    def lapse(self) -> None:
        """Give up the authority without releasing the row; other processes wait out its term."""
        self._held = None

    def on_success(self, attempt: LeaseAttempt, commit: int) -> None:
        """Record that an attempt was committed with version `commit`."""
        self._row = Row(self._name, dict(attempt.write.value or {}), commit)
        self._unresolved_since, self._needs_read = None, False
        if attempt.kind == "release":
            self._held = None
            return
        self._set_authority(attempt.fence, commit, attempt.sent_at)

    def on_failure(self, attempt: LeaseAttempt, error: PlatformError, now: float) -> None:
        """Record that an attempt failed, or that its outcome is unknown (error kind `lost`)."""
        if error.kind == "lost":
            self._needs_read = True
            if self._unresolved_since is None and attempt.kind != "release":
                self._unresolved_since = attempt.sent_at
        if error.kind == "conflict":
            if (LEASE_TABLE, self._name) in error.rows:
                self.observe(error.rows[LEASE_TABLE, self._name], now)
            else:
                self._needs_read = True

    def _adopt(self, row: Row) -> None:
        """Gain the authority from a row that an attempt with an unknown outcome wrote.

        If there were several such attempts, it is unknown which one wrote the row, so the term is
        counted from the earliest.
        """
        since, self._unresolved_since = self._unresolved_since, None
        if since is None:
            self._held = None
        else:
            self._set_authority(row.value["fence"], row.version, since)

    def _set_authority(self, fence: int, version: int, sent_at: float) -> None:
        self.observe_fence(fence)
        end = sent_at + self._term_s - self._margin_s
        self._held = Authority(self._name, fence, version, end)
        self._renewed_at = sent_at

    def _validated(self, row: Row) -> Row:
        """Return the row, or a substitute with valid fields if it is malformed.

        A malformed row does not tell who holds the lease or for how long. It is treated like the
        row of an unknown holder with this process's term. Its fencing number is used if valid.
        """
        self._problem = None
        try:
            _check_fields(row.value, self._era)
        except FieldError as error:
            self._problem = str(error)
            value = {"holder": UNKNOWN_HOLDER, "boot": "", "term_s": self._term_s}
            value["fence"] = row.value.get("fence") if _is_valid_fence(row.value, self._era) else 0
            if self._era:
                value[ERA_FIELD] = self._era
            return row._replace(value=value)
        return row

    def _is_row_of_current_era(self) -> bool:
        """Return whether the row was written in the current era; its absence counts for era 0."""
        if self._row is None:
            return self._era == 0
        return self._row.value.get(ERA_FIELD, 0) == self._era

    def _is_ours(self, value: dict[str, Any]) -> bool:
        return value["holder"] == self._holder and value["boot"] == self._boot

    def _attempt(
        self, kind: Literal["acquire", "renew", "release"], version: int, fence: int, now: float
    ) -> LeaseAttempt:
        released = kind == "release"
        value = {
            "holder": "" if released else self._holder,
            "boot": "" if released else self._boot,
            "fence": fence,
            "term_s": 0.0 if released else self._term_s,
        }
        if self._era:
            value[ERA_FIELD] = self._era
        if self._store_time is not None and not released:
            # An upper bound, so that the holder's own authority ends before this time.
            value[END_FIELD] = round(self._store_time.latest(now) + self._term_s, 3)
        check = Check(LEASE_TABLE, self._name, version)
        return LeaseAttempt(kind, check, Write(LEASE_TABLE, self._name, value), fence, now)


def _check_fields(value: dict[str, Any], era: int) -> None:
    """Raise a `FieldError` unless the fields of a lease's row are valid."""
    fields = Fields(value)
    # The row of a released lease has an empty holder and boot.
    for name in ("holder", "boot"):
        if value.get(name) != "":
            fields.text(name)
    fields.number("term_s", 0, MAX_TERM_S)
    fields.number(END_FIELD, -MAX_STORE_CLOCK_S, MAX_STORE_CLOCK_S, None)
    fields.integer(ERA_FIELD, default=0)
    if not _is_valid_fence(value, era):
        raise FieldError("fence is not a valid fencing number of this era")


def _is_valid_fence(value: dict[str, Any], era: int) -> bool:
    try:
        fence = Fields(value).integer("fence")
    except FieldError:
        return False
    return (
        era_of_fence(fence) <= era
        and fence - (era_of_fence(fence) << FENCE_BITS) < MAX_FENCES_PER_ERA
    )
