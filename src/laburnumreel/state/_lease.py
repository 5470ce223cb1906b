"""The state machine of one lease: who may give orders, under which fencing number, until when."""

from typing import Any, Literal, NamedTuple

from laburnumreel.state._era import FENCE_BITS, era_of_fence, first_fence
from laburnumreel.state._fields import FieldError, Fields
from laburnumreel.state._platform import Check, PlatformError, Row, Write

LEASE_TABLE = "lease"
# A lease is renewed when this share of its term has passed, which leaves time for several tries.
RENEW_SHARE = 1 / 3
# The field of a lease's row that says when its term is over on the store's clock.
END_FIELD = "ends_at_store_s"
# The field that says in which era of the store the row was written; absent in the first one.
ERA_FIELD = "era"
# No lease is held for longer than this at a time, in seconds.
MAX_TERM_S = 3600.0
# Half of the fencing numbers of an era: one above was never given out, and leaves none for its successors.
MAX_FENCES_PER_ERA = 1 << FENCE_BITS - 1
# A bound on the store's clock, in seconds.
MAX_STORE_CLOCK_S = 1e12
# Stands for the holder that an odd row does not name.
UNKNOWN_HOLDER = "?"


class StoreClockReading(NamedTuple):
    """A reading of the store's steady clock, between two moments of the process' own clock."""

    sent_at: float
    answered_at: float
    store_s: float

    def latest(self, now: float) -> float:
        """Return a time that the store's clock has not passed at `now`."""
        return self.store_s + now - self.sent_at

    def earliest(self, now: float) -> float:
        """Return a time that the store's clock has reached at `now`."""
        return self.store_s + now - self.answered_at


class Authority(NamedTuple):
    """The right to act under a lease.

    `end` is in seconds of the holder's own clock. `row_version` is what a transaction checks to
    prove that the lease was not taken over.
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
    """What one process knows of one lease.

    It makes no calls: the owner sends the attempts and hands back outcomes and rows. All times are
    seconds of the owner's clock. Where the store tells its steady clock, a holder writes down when
    its term is over by that clock, so that a successor that could not read the row for a while need
    not wait a term from its own first sight of it.

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
        # Whether this process held the lease as it learned of the era: then nobody else does.
        self._held_before_era = False
        # The highest fencing number that this process has heard of.
        self._highest_fence = 0
        self._problem: str | None = None

    @property
    def name(self) -> str:
        return self._name

    @property
    def last_authority(self) -> Authority | None:
        """The authority last gained, also when its end has passed."""
        return self._held

    @property
    def needs_read(self) -> bool:
        """Whether an attempt's answer was lost and the row was not read since."""
        return self._needs_read

    @property
    def row(self) -> Row | None:
        """The newest row seen."""
        return self._row

    @property
    def problem(self) -> str | None:
        """What is odd in the newest row read, or None. Another holder's term is taken to be ours."""
        return self._problem

    def authority(self, now: float) -> Authority | None:
        """Return the authority that is in force at `now`, or None."""
        return self._held if self._held is not None and now < self._held.end else None

    def observe(
        self, row: Row | None, now: float, store_time: StoreClockReading | None = None
    ) -> None:
        """Take in the row as read. `now` is the time after the read's answer came."""
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
        """Take in a fencing number that any process has used."""
        self._highest_fence = max(self._highest_fence, fence)

    def enter_era(self, era: int, now: float) -> bool:
        """Take in that the store came back from an older copy of itself, and return whether it did.

        The authority ends, as the row that proves it may be gone. Nobody may take the lease before a
        term has passed since it first saw the new era, as a holder that has not heard of it yet
        counts on its term; only the holder itself need not wait.
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
        """Return whether the lease is held and it is time to renew it."""
        held = self.authority(now)
        return held is not None and now >= self._renewed_at + self._term_s * RENEW_SHARE

    def can_acquire(self, now: float) -> bool:
        """Return whether no other process can hold the lease any more.

        A foreign row is waited out from our own first sight of its version: the holder measured its
        term from before that version existed, and no clock of another machine is read. It is free
        sooner where the store's clock has passed the end that the holder wrote down.
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
        """Return the renewal or the acquisition to send now, or None."""
        held = self.authority(now)
        if held is not None:
            return self._attempt("renew", held.row_version, held.fence, now)
        if not self.can_acquire(now):
            return None
        # A row may be older than the fence that was used last, where the store came back.
        fence = max(first_fence(self._era), self._highest_fence + 1)
        version = 0 if self._row is None else self._row.version
        return self._attempt("acquire", version, fence, now)

    def release(self, now: float) -> LeaseAttempt | None:
        """Give the authority up and return the attempt that tells others, or None if not held."""
        held, self._held = self._held, None
        # The row must not be adopted again: the release may take effect later.
        self._unresolved_since = None
        if held is None:
            return None
        return self._attempt("release", held.row_version, held.fence, now)

    def lapse(self) -> None:
        """Give the authority up without telling others; they wait out the term."""
        self._held = None

    def on_success(self, attempt: LeaseAttempt, commit: int) -> None:
        """Take in that `next_attempt` took effect as `commit`."""
        self._row = Row(self._name, dict(attempt.write.value or {}), commit)
        self._unresolved_since, self._needs_read = None, False
        if attempt.kind == "release":
            self._held = None
            return
        self._set_authority(attempt.fence, commit, attempt.sent_at)

    def on_failure(self, attempt: LeaseAttempt, error: PlatformError, now: float) -> None:
        """Take in that `next_attempt` failed, or that its answer was lost."""
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
        """Take over a row that an attempt with a lost answer wrote.

        With several such attempts it is not known which one wrote it, so the term is counted from
        the earliest.
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
        """Return a row whose fields can be relied on.

        One that another writer left tells neither who holds the lease nor for how long, so that it is
        waited out like that of a holder with our own term. Its fencing number counts if it can be one.
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
        """Return whether the row, or its absence, is the word of the present era."""
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
            # Too late rather than too early: the holder's own time is over before.
            value[END_FIELD] = round(self._store_time.latest(now) + self._term_s, 3)
        check = Check(LEASE_TABLE, self._name, version)
        return LeaseAttempt(kind, check, Write(LEASE_TABLE, self._name, value), fence, now)


def _check_fields(value: dict[str, Any], era: int) -> None:
    """Raise a `FieldError` unless a row's fields are those of a lease."""
    fields = Fields(value)
    # A lease that was given up names nobody.
    for name in ("holder", "boot"):
        if value.get(name) != "":
            fields.text(name)
    fields.number("term_s", 0, MAX_TERM_S)
    fields.number(END_FIELD, -MAX_STORE_CLOCK_S, MAX_STORE_CLOCK_S, None)
    fields.integer(ERA_FIELD, default=0)
    if not _is_valid_fence(value, era):
        raise FieldError("fence is no fencing number of this era")


def _is_valid_fence(value: dict[str, Any], era: int) -> bool:
    try:
        fence = Fields(value).integer("fence")
    except FieldError:
        return False
    return (
        era_of_fence(fence) <= era
        and fence - (era_of_fence(fence) << FENCE_BITS) < MAX_FENCES_PER_ERA
    )
