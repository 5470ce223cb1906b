"""Stateful property tests of the lease state machine."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from oracle_checks import assert_oracle_fails

from laburnumreel.state import (
    Lease,
    PlatformError,
    Row,
    StoreClockReading,
    commit_number_of,
    era_of_fence,
    era_of_version,
    pack_version,
)

TERM_S, MARGIN_S = 4.0, 0.5
# The store's clock at time 0 of the test's clock.
STORE_ZERO_S = 700.0
OWNERS = st.integers(0, 2)


class LeaseMachine(RuleBasedStateMachine):
    """Three processes contend for one lease; responses are lost and transactions arrive late.

    Guards against two holders at the same time and against a fencing number that does not increase.
    """

    lease_type = Lease

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.commit = 0
        self.row = None
        self.late_attempts = []
        self.fences = {}
        self.boots = 0
        self.leases = [self._start(number) for number in range(3)]

    def _start(self, number):
        self.boots += 1
        return self.lease_type("orders", f"node-{number}", f"{self.boots}", TERM_S, MARGIN_S)

    def _apply(self, attempt):
        if attempt.check.version != (self.row.version if self.row else 0):
            return None
        self.commit += 1
        self.row = Row("orders", attempt.write.value, self.commit)
        return self.commit

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 3.4, 3.6, 5.1, 20.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(owner=OWNERS)
    def read(self, owner):
        store_time = StoreClockReading(self.now, self.now, STORE_ZERO_S + self.now)
        self.leases[owner].observe(self.row, self.now, store_time)

    @rule(
        owner=OWNERS,
        request_delay_s=st.sampled_from([0.0, 3.0]),
        response_delay_s=st.sampled_from([0.4, 3.0]),
    )
    def read_slowly(self, owner, request_delay_s, response_delay_s):
        sent_at, row = self.now, self.row
        read_at = sent_at + request_delay_s
        self.now = read_at + response_delay_s
        store_time = StoreClockReading(sent_at, self.now, STORE_ZERO_S + read_at)
        self.leases[owner].observe(row, self.now, store_time)

    @rule(
        owner=OWNERS,
        outcome=st.sampled_from(["answered", "lost_after", "lost_before", "late", "unreachable"]),
        delay_s=st.sampled_from([0.0, 0.5, 3.0]),
        release=st.booleans(),
    )
    def write(self, owner, outcome, delay_s, release):
        lease = self.leases[owner]
        attempt = lease.release(self.now) if release else lease.next_attempt(self.now)
        if attempt is None:
            return
        self.now += delay_s
        if outcome in ("lost_before", "late", "unreachable"):
            if outcome == "late":
                self.late_attempts.append(attempt)
            kind = "unreachable" if outcome == "unreachable" else "lost"
            lease.on_failure(attempt, PlatformError(kind), self.now)
            return
        commit = self._apply(attempt)
        if outcome == "lost_after":
            lease.on_failure(attempt, PlatformError("lost"), self.now)
        elif commit is None:
            rows = {("lease", "orders"): self.row}
            lease.on_failure(attempt, PlatformError("conflict", rows=rows), self.now)
        else:
            lease.on_success(attempt, commit)

    @rule(owner=OWNERS)
    def read_and_write(self, owner):
        """Read, then write, so that fewer steps lead to two holders than with separate rules."""
        self.read(owner)
        self.write(owner, "answered", 0.0, False)

    @rule()
    def deliver_late(self):
        if self.late_attempts:
            self._apply(self.late_attempts.pop(0))

    @rule(owner=OWNERS)
    def restart(self, owner):
        self.leases[owner] = self._start(owner)

    @invariant()
    def at_most_one_in_force(self):
        held = [lease.authority(self.now) for lease in self.leases]
        held = [authority for authority in held if authority is not None]
        assert len(held) <= 1, held
        for authority in held:
            owner = self.fences.setdefault(authority.fence, self.row.value["boot"])
            assert owner == self.row.value["boot"], "a fencing number was issued to two processes"
            assert authority.fence == max(self.fences)


class NoWaitLease(Lease):
    """Planted fault: a lease that does not wait until another holder's term has passed."""

    def can_acquire(self, now):
        return self._observed and self.authority(now) is None


class NoWaitMachine(LeaseMachine):
    lease_type = NoWaitLease


class RestoredStoreMachine(LeaseMachine):
    """The store is restored from older copies of its data and reassigns its versions.

    Guards against two holders in different eras and against a reused fencing number.
    """

    def __init__(self):
        super().__init__()
        self.era = 0
        self.store_copy = (None, 0)

    def _apply(self, attempt):
        version = commit_number_of(self.row.version) if self.row else 0
        if commit_number_of(attempt.check.version) != version:
            return None
        self.commit += 1
        self.row = Row("orders", attempt.write.value, pack_version(self.era, self.commit))
        return self.row.version

    def _enter_era(self, owner):
        self.leases[owner].enter_era(self.era, self.now)

    @rule()
    def make_copy(self):
        self.store_copy = (self.row, self.commit)

    @rule()
    def restore_copy(self):
        self.era += 1
        row, self.commit = self.store_copy
        self.row = row and row._replace(
            version=pack_version(self.era, commit_number_of(row.version))
        )

    @rule(owner=OWNERS)
    def read(self, owner):
        self._enter_era(owner)
        super().read(owner)

    @rule(
        owner=OWNERS,
        request_delay_s=st.sampled_from([0.0, 3.0]),
        response_delay_s=st.sampled_from([0.4, 3.0]),
    )
    def read_slowly(self, owner, request_delay_s, response_delay_s):
        self._enter_era(owner)
        super().read_slowly(owner, request_delay_s, response_delay_s)

    @rule(owner=OWNERS, release=st.booleans())
    def write_in_another_era(self, owner, release):
        """Restore the store before a write; its response from the new era ends the authority."""
        lease = self.leases[owner]
        attempt = lease.release(self.now) if release else lease.next_attempt(self.now)
        if attempt is None:
            return
        self.restore_copy()
        self._apply(attempt)
        lease.on_failure(attempt, PlatformError("lost"), self.now)
        self._enter_era(owner)

    @rule(
        owner=OWNERS,
        outcome=st.sampled_from(["answered", "lost_after", "lost_before", "late", "unreachable"]),
        delay_s=st.sampled_from([0.0, 0.5, 3.0]),
        release=st.booleans(),
    )
    def write(self, owner, outcome, delay_s, release):
        if outcome in ("answered", "lost_after"):
            self._enter_era(owner)
        super().write(owner, outcome, delay_s, release)

    @invariant()
    def at_most_one_in_force(self):
        held = [
            (lease._boot, authority)
            for lease in self.leases
            if (authority := lease.authority(self.now)) is not None
        ]
        assert len(held) <= 1, held
        for boot, authority in held:
            owner = self.fences.setdefault(authority.fence, boot)
            assert owner == boot, "a fencing number was issued to two processes"
            assert authority.fence == max(self.fences)


class IgnoresEraLease(Lease):
    """Planted fault: a lease that trusts the row of a restored store."""

    def _is_row_of_current_era(self):
        return True


class IgnoresEraMachine(RestoredStoreMachine):
    lease_type = IgnoresEraLease


TestRestoredStore = RestoredStoreMachine.TestCase
TestRestoredStore.settings = settings(stateful_step_count=40)


def test_oracle_catches_a_lease_that_ignores_the_era():
    assert_oracle_fails(IgnoresEraMachine)


def test_holder_reacquires_at_once_in_a_new_era():
    holder = Lease("duties", "node-a", "1", TERM_S, MARGIN_S)
    holder.observe(None, 0.0)
    holder.on_success(holder.next_attempt(0.0), commit=7)
    holder.enter_era(1, now=1.0)
    assert holder.authority(1.0) is None and holder.needs_read
    holder.observe(None, 1.1)
    attempt = holder.next_attempt(1.1)
    assert attempt.check.version == 0 and era_of_fence(attempt.fence) == 1
    holder.on_success(attempt, commit=pack_version(1, 5))
    assert era_of_version(holder.authority(1.2).row_version) == 1


def test_others_wait_a_term_after_first_seeing_a_new_era():
    """Guards against two holders when the first cannot reach the store and relies on its term."""
    other = Lease("duties", "node-b", "1", TERM_S, MARGIN_S)
    other.enter_era(1, now=10.0)
    other.observe(None, 10.1)
    assert not other.can_acquire(10.0 + TERM_S + 2 * MARGIN_S - 0.1)
    assert other.can_acquire(10.0 + TERM_S + 2 * MARGIN_S)


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(stateful_step_count=40)


def test_oracle_catches_a_lease_that_does_not_wait():
    """Guards against an oracle that never fails."""
    assert_oracle_fails(NoWaitMachine)


def test_end_written_after_a_slow_clock_reading_is_not_too_early():
    """Guards against two holders when the response to the first one's read arrived late."""
    holder = Lease("duties", "node-a", "1", TERM_S, MARGIN_S)
    successor = Lease("duties", "node-b", "1", TERM_S, MARGIN_S)
    holder.observe(None, 3.0, StoreClockReading(0.0, 3.0, STORE_ZERO_S))
    attempt = holder.next_attempt(3.0)
    holder.on_success(attempt, commit=1)
    row = Row("duties", attempt.write.value, 1)
    for now in (3.1, 5.0, 6.4):
        assert holder.authority(now)
        successor.observe(row, now, StoreClockReading(now, now, STORE_ZERO_S + now))
        assert not successor.can_acquire(now)


def test_successor_that_reads_late_does_not_wait_another_term():
    """Guards against late usage reports after the store was unreachable for some seconds."""
    holder = Lease("duties", "node-a", "1", TERM_S, MARGIN_S)
    successor = Lease("duties", "node-b", "1", TERM_S, MARGIN_S)
    holder.observe(None, 0.0, StoreClockReading(0.0, 0.0, STORE_ZERO_S))
    attempt = holder.next_attempt(1.0)
    row = Row("duties", attempt.write.value, 1)
    successor.observe(row, 9.0, StoreClockReading(8.9, 9.0, STORE_ZERO_S + 8.95))
    assert successor.can_acquire(9.0)


def test_successor_waits_while_the_holder_may_be_in_force():
    holder = Lease("duties", "node-a", "1", TERM_S, MARGIN_S)
    successor = Lease("duties", "node-b", "1", TERM_S, MARGIN_S)
    holder.observe(None, 0.0, StoreClockReading(0.0, 0.0, STORE_ZERO_S))
    row = Row("duties", holder.next_attempt(1.0).write.value, 1)
    successor.observe(row, 4.0, StoreClockReading(3.9, 4.0, STORE_ZERO_S + 3.95))
    assert not successor.can_acquire(1.0 + TERM_S)
    assert successor.can_acquire(1.0 + TERM_S + 2 * MARGIN_S + 0.1)
