"""Stateful tests of idempotency claims against an oracle of the requests that ran."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from laburnumreel.state import (
    Claimed,
    ClaimRefused,
    Claims,
    ErrorKind,
    PeerClaim,
    Replay,
    RunState,
    StoredAnswer,
    Write,
)
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import PlatformState

keys = st.sampled_from(["k1", "k2"])
gateway_indexes = st.sampled_from([0, 1])


class Gateway:
    """The claims of one gateway. A restarted gateway has a new boot id at the same address."""

    def __init__(self, number, state, machine):
        self.number, self.machine, self.boot = number, machine, 0
        self.platform = MemoryPlatform(state, sleep=lambda _: None)
        self.reachable = True
        self.start()

    def start(self):
        self.boot += 1
        address = f"gateway-{self.number}"
        self.claims = self.machine.claims_class(
            self.platform, address, f"boot-{self.boot}", address, self.machine
        )


class OpenClaim:
    """A claimed request that has not been finished."""

    def __init__(self, gateway, claim, key, body):
        self.gateway, self.claim, self.key, self.body = gateway, claim, key, body
        self.ran = False
        # The caller was told `not-run`, so the request never runs, but its row may still be stored.
        self.refused = False


class ClaimsMachine(RuleBasedStateMachine):
    """Two gateways and one store, with kills, outages and lost calls at any time."""

    claims_class = Claims

    def __init__(self):
        super().__init__()
        self.store = PlatformState()
        self.gateways = [Gateway(number, self.store, self) for number in (0, 1)]
        self.open_claims = []
        self.ran = {}
        self.answers = {}
        self.request_count = 0

    def claim_state(self, address, claim_key):
        gateway = self.gateways[int(address[-1])]
        if not gateway.reachable:
            return None
        return PeerClaim(f"boot-{gateway.boot}", gateway.claims.is_running(claim_key))

    @rule(gateway_index=gateway_indexes, key=keys, body=st.sampled_from(["a", "b"]))
    def request(self, gateway_index, key, body):
        gateway = self.gateways[gateway_index]
        self.request_count += 1
        outcome = gateway.claims.claim("hall-a", key, body, f"r{self.request_count}")
        if isinstance(outcome, Claimed):
            assert key not in self.ran, "a request that has already run was claimed again"
            self.open_claims.append(OpenClaim(gateway, outcome, key, body))
        elif isinstance(outcome, Replay):
            assert self.answers[key] == (body, outcome.answer)
        else:
            assert isinstance(outcome, ClaimRefused)
            refusal = outcome.refusal
            if refusal.kind == ErrorKind.IDEMPOTENCY_RUNNING:
                assert [item for item in self.open_claims if item.key == key and item.body == body]
            assert (refusal.state == RunState.NOT_RUN) == (
                refusal.kind != ErrorKind.IDEMPOTENCY_UNKNOWN
            )

    @rule(data=st.data())
    def run(self, data):
        not_started = [item for item in self.open_claims if not item.ran and not item.refused]
        if not_started:
            item = data.draw(st.sampled_from(not_started))
            assert item.key not in self.ran, "a request ran twice"
            item.ran = True
            self.ran[item.key] = item.body

    @rule(data=st.data(), stored=st.booleans())
    def end(self, data, stored):
        if not self.open_claims:
            return
        item = data.draw(st.sampled_from(self.open_claims))
        claims = item.gateway.claims
        if not item.ran:
            # The key must be free or marked unknown, or be claimed again by this gateway only.
            item.refused = True
            if claims.release(item.claim):
                self.open_claims.remove(item)
        elif stored:
            answer = StoredAnswer(200, [("X-Request-Id", item.claim.row["request_id"])], b"answer")
            # Once stored, the answer may be replayed, even if the response to the write was lost.
            self.answers.setdefault(item.key, (item.body, answer))
            if claims.finish(item.claim, answer):
                self.open_claims.remove(item)
        elif claims.record_unknown(item.claim):
            self.open_claims.remove(item)

    @rule(data=st.data())
    def forget(self, data):
        ended = [item for item in self.open_claims if item.ran]
        if ended:
            item = data.draw(st.sampled_from(ended))
            item.gateway.claims.forget(item.claim)
            self.open_claims.remove(item)

    @rule(gateway_index=gateway_indexes)
    def kill(self, gateway_index):
        gateway = self.gateways[gateway_index]
        self.open_claims = [item for item in self.open_claims if item.gateway is not gateway]
        gateway.start()

    @rule(gateway_index=gateway_indexes, down=st.booleans())
    def outage(self, gateway_index, down):
        self.gateways[gateway_index].platform.faults.change({"down": down})

    @rule(
        gateway_index=gateway_indexes,
        kind=st.sampled_from(["lose_answers", "lose_requests"]),
        n=st.integers(1, 3),
    )
    def lose_calls(self, gateway_index, kind, n):
        self.gateways[gateway_index].platform.faults.change({kind: n})

    @rule(gateway_index=gateway_indexes, reachable=st.booleans())
    def partition(self, gateway_index, reachable):
        self.gateways[gateway_index].reachable = reachable

    @invariant()
    def at_most_one_claim_per_key(self):
        live = [item.key for item in self.open_claims if not item.ran and not item.refused]
        assert len(live) == len(set(live)), "two gateways hold a claim for the same request"


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=150, stateful_step_count=40)


class TrustsLostWrites(Claims):
    """Planted fault: a claim is assumed to be stored although the response was lost."""

    def _claim(self, row_key, row):
        outcome = super()._claim(row_key, row)
        lost = isinstance(outcome, ClaimRefused) and outcome.refusal.kind == "store_unavailable"
        return Claimed(row_key, row, 0) if lost else outcome


class FreesKeysOfDeadGateways(Claims):
    """Planted fault: the claim of a gateway that is gone is deleted instead of marked unknown."""

    def _mark_unknown(self, row_key, found):
        return self._platform.transact([], [Write("claim", row_key, None)]).is_ok()


@pytest.mark.parametrize("faulty_claims", [TrustsLostWrites, FreesKeysOfDeadGateways])
def test_oracle_sees_planted_faults(faulty_claims):
    """Guards against an oracle that does not detect a request that runs twice."""

    class FaultyMachine(ClaimsMachine):
        claims_class = faulty_claims

    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            FaultyMachine,
            settings=settings(
                max_examples=300,
                stateful_step_count=40,
                database=None,
                report_multiple_bugs=False,
                # The first failure is enough, and shrinking it would take most of the time.
                phases=[Phase.generate],
            ),
        )
