"""Properties of the lease state machine."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from planted import assert_oracle_fails

from laburnumreel.state import Lease, PlatformError, Row

TERM_S, MARGIN_S = 4.0, 0.5
OWNERS = st.integers(0, 2)


class LeaseMachine(RuleBasedStateMachine):
    """Three processes contend for one row; answers are lost and transactions arrive late.

    Guards against two processes in force at once and against a fence that does not grow.
    """

    lease_type = Lease

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.commit = 0
        self.row = None
        self.late = []
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
        self.leases[owner].observe(self.row, self.now)

    @rule(
        owner=OWNERS,
        outcome=st.sampled_from(["answered", "lost_after", "lost_before", "late", "unreachable"]),
        delay_s=st.sampled_from([0.0, 0.5, 3.0]),
        release=st.booleans(),
    )
    def write(self, owner, outcome, delay_s, release):
        lease = self.leases[owner]
        attempt = lease.release(self.now) if release else lease.attempt(self.now)
        if attempt is None:
            return
        self.now += delay_s
        if outcome in ("lost_before", "late", "unreachable"):
            if outcome == "late":
                self.late.append(attempt)
            kind = "unreachable" if outcome == "unreachable" else "lost"
            lease.failed(attempt, PlatformError(kind), self.now)
            return
        commit = self._apply(attempt)
        if outcome == "lost_after":
            lease.failed(attempt, PlatformError("lost"), self.now)
        elif commit is None:
            rows = {("lease", "orders"): self.row}
            lease.failed(attempt, PlatformError("conflict", rows=rows), self.now)
        else:
            lease.succeeded(attempt, commit)

    @rule()
    def deliver_late(self):
        if self.late:
            self._apply(self.late.pop(0))

    @rule(owner=OWNERS)
    def restart(self, owner):
        self.leases[owner] = self._start(owner)

    @invariant()
    def one_in_force(self):
        held = [lease.authority(self.now) for lease in self.leases]
        held = [authority for authority in held if authority is not None]
        assert len(held) <= 1, held
        for authority in held:
            owner = self.fences.setdefault(authority.fence, self.row.value["boot"])
            assert owner == self.row.value["boot"], "a fence was given to two processes"
            assert authority.fence == max(self.fences)


class HastyLease(Lease):
    """The planted fault: a lease that does not wait out another holder's term."""

    def may_acquire(self, now):
        return self._observed and self.authority(now) is None


class HastyMachine(LeaseMachine):
    lease_type = HastyLease


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(stateful_step_count=40)


def test_oracle_catches_a_lease_that_does_not_wait():
    """Guards against an oracle that passes whatever happens."""
    assert_oracle_fails(HastyMachine)
