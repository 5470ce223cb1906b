"""Simulation of the configuration and keys of several nodes under faults.

The state machine runs the code of the tasks without threads or sockets: `Replica`, `StoreSync`,
`Gossip` and `write_change`. test_config_cluster injects a fault for each of its oracles.
"""

import random

from expression import Error, Ok
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from laburnumreel.coordination import _config_write
from laburnumreel.coordination._config_sync import NewerPeerConfig, fetch_from_peer
from laburnumreel.coordination._gossip import Gossip
from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._store_sync import StoreSync
from laburnumreel.core import ManualClock
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import PlatformState

CUT_OFF_S = 3.0
ROUND_S = 0.5
SETTLE_ROUNDS = 12
NODES = st.integers(0, 4)
KEYS = st.integers(0, 5).map(lambda number: f"{number:064x}")
ENTRIES = st.sampled_from(["customer/hall", "customer/agency", "service/quotes"])


class Node:
    """The state of one gateway process. A restart replaces it."""

    def __init__(self, cluster, number, boot):
        self.cluster, self.number = cluster, number
        self.address = cluster.addresses[number]
        self.replica = Replica()
        source = random.Random(number)
        self.store = StoreSync(cluster.platforms[number], self.replica, source)
        self.gossip = Gossip(
            f"node-{number}",
            "gateway",
            str(boot),
            self.address,
            cluster.addresses,
            (),
            CUT_OFF_S,
            self.replica,
            source,
            lambda: self.store.has_read_all,
        )
        self.isolated_since = None

    def are_keys_verifiable(self, now):
        return self.gossip.keys_verifiable(self.store.read_at, now)

    def fetch_changes(self, address, after, limit):
        peer = self.cluster.find_reachable(self, address)
        return Ok(peer.replica.changes_after(after, limit)) if peer else Error("cut")

    def fetch_snapshot(self, address):
        peer = self.cluster.find_reachable(self, address)
        return Ok(peer.replica.configuration) if peer else Error("cut")

    def exchange(self, address, lose_answer):
        now = self.cluster.clock.now()
        ours = self.gossip.build_call(address)
        peer = self.cluster.find_reachable(self, address)
        if peer is None:
            return
        answer, comparison = peer.gossip.on_call(ours, now)
        if comparison.is_peer_newer:
            fetch_from_peer(peer.replica, peer, NewerPeerConfig(self.address, ours.config_version))
        if lose_answer:
            return
        comparison = self.gossip.on_answer(address, ours, answer, now)
        if comparison.is_peer_newer:
            fetch_from_peer(self.replica, self, NewerPeerConfig(address, answer.config_version))


class Cluster(RuleBasedStateMachine):
    """A state machine of nodes, a store and operators."""

    @initialize(count=st.integers(3, 5))
    def start(self, count):
        self.clock = ManualClock(now=100.0)
        self.state = PlatformState()
        self.addresses = [("127.0.0.1", 7000 + number) for number in range(count)]
        self.platforms = [self.platform() for _ in range(count)]
        self.operators = [self.platform() for _ in range(2)]
        self.cut_links = set()
        self.boots = 0
        self.nodes = []
        self.nodes = [Node(self, number, 0) for number in range(count)]
        self.versions = [0] * count
        self.changes = 0
        # When the withdrawal of each key was applied in the store, and by a majority of gateways.
        self.stored_at = {}
        self.majority_at = {}

    def platform(self):
        return MemoryPlatform(self.state, self.clock, sleep=lambda _: None)

    def find_reachable(self, node, address):
        other = self.nodes[self.addresses.index(address)]
        cut = frozenset((node.number, other.number)) in self.cut_links
        return None if cut else other

    def node(self, number):
        return self.nodes[number % len(self.nodes)]

    def change(self, base, entry, value):
        self.changes += 1
        author = f"operator#{self.changes}"
        if value is None:
            return base.configuration.next_change(author, {}, (entry,))
        return base.configuration.next_change(author, {entry: {"weight": value}})

    def write(self, operator, base, change):
        platform = self.operators[operator]
        written = _config_write.write_change(platform, base, change, sleep=lambda _: None)
        row = self.state.read("config_change", f"{change.version:012d}")
        accepted = row is not None and row.value["author"] == change.author
        # The operator gets the true result, or the information that it is unknown.
        assert accepted or written.is_error(), "an operator got a wrong result"
        if written.is_error():
            assert not accepted or written.error.kind == "unknown", "an operator got a wrong result"
        return accepted

    @rule(entry=ENTRIES, value=st.one_of(st.none(), st.integers(1, 9)))
    def apply(self, entry, value):
        base = _config_write.read_base(self.operators[0])
        if base.is_ok():
            self.write(0, base.ok, self.change(base.ok, entry, value))

    @rule(entry=ENTRIES, first=st.integers(1, 9), second=st.integers(1, 9))
    def racing_applies(self, entry, first, second):
        bases = [_config_write.read_base(operator) for operator in self.operators]
        if not all(base.is_ok() for base in bases):
            return
        pairs = [(0, bases[0].ok, first), (1, bases[1].ok, second)]
        changes = [
            (operator_index, base, self.change(base, entry, value))
            for operator_index, base, value in pairs
        ]
        assert sum(self.write(*change) for change in changes) <= 1

    @rule(operator=st.integers(0, 1), count=st.integers(1, 6))
    def lose_answers(self, operator, count):
        self.operators[operator].faults.change({"lose_answers": count, "methods": ["POST"]})

    @rule(number=NODES, count=st.integers(1, 3))
    def lose_answers_of_node(self, number, count):
        self.platforms[number % len(self.nodes)].faults.change({"lose_answers": count})

    @rule(down=st.booleans())
    def set_store_down(self, down):
        for platform in [*self.platforms, *self.operators]:
            platform.faults.change({"down": down})

    @rule(number=NODES, down=st.booleans())
    def set_node_store_down(self, number, down):
        self.platforms[number % len(self.nodes)].faults.change({"down": down})

    @rule(side=st.sets(NODES, min_size=1, max_size=3))
    def partition(self, side):
        side = {number % len(self.nodes) for number in side}
        others = set(range(len(self.nodes))) - side
        self.cut_links |= {frozenset((a, b)) for a in side for b in others}

    @rule()
    def heal_links(self):
        self.cut_links.clear()

    @rule(number=NODES)
    def restart(self, number):
        self.boots += 1
        number %= len(self.nodes)
        held = self.nodes[number].replica.withdrawn
        if not self.platforms[number].faults.values["down"]:
            # A restarted node that can read the store knows only what is there. It does not
            # guarantee a withdrawal that only gateways hold, as docs/cli.md says.
            for key in list(self.majority_at):
                if key in held and self.state.read("withdrawn", key) is None:
                    del self.majority_at[key]
        self.nodes[number] = Node(self, number, self.boots)
        self.versions[number] = 0

    @rule(key=KEYS, operator=st.integers(0, 1))
    def withdraw_through_store(self, key, operator):
        platform = self.operators[operator]
        written = _config_write.write_withdrawal(platform, "ana", key, sleep=lambda _: None)
        if written.is_ok():
            assert self.state.read("withdrawn", key) is not None, "an operator got a wrong result"
            self.stored_at.setdefault(key, self.clock.now())

    @rule(key=KEYS, reached=st.sets(NODES, min_size=1))
    def withdraw_through_nodes(self, key, reached):
        reached = {number % len(self.nodes) for number in reached}
        for number in reached:
            self.nodes[number].replica.withdraw([key])
        if 2 * len(reached) > len(self.nodes):
            self.majority_at.setdefault(key, self.clock.now())

    @rule(rounds=st.integers(1, 9), lost=st.sets(st.tuples(NODES, NODES), max_size=4))
    def run(self, rounds, lost):
        for _ in range(rounds):
            self.clock.advance(ROUND_S)
            now = self.clock.now()
            for node in self.nodes:
                node.store.poll(now)
                for address in node.gossip.choose_peers():
                    pair = (node.number, self.addresses.index(address))
                    node.exchange(address, pair in lost)
            for node in self.nodes:
                self.check_isolation(node, now)

    @rule()
    def heal_all(self):
        self.set_store_down(False)
        self.cut_links.clear()
        for platform in [*self.platforms, *self.operators]:
            platform.faults.change({"lose_answers": 0})
        self.run(SETTLE_ROUNDS, set())
        head = self.state.read("config_head", "head")
        wanted = (head.value["version"], head.value["digest"]) if head else (0, f"{0:064x}")
        for node in self.nodes:
            configuration = node.replica.configuration
            assert (configuration.version, configuration.digest) == wanted, "not the head"
            assert node.are_keys_verifiable(self.clock.now())
            assert node.replica.withdrawn.digest == self.nodes[0].replica.withdrawn.digest
            for key in {*self.stored_at, *self.majority_at}:
                assert key in node.replica.withdrawn, "a withdrawn key is missing"
        for key in self.nodes[0].replica.withdrawn:
            assert self.state.read("withdrawn", key) is not None, "a withdrawal is not stored"

    @rule()
    def heal_links_and_settle(self):
        """Check that all nodes converge through their peers, whether the store is down or not."""
        self.cut_links.clear()
        self.run(SETTLE_ROUNDS, set())
        for node in self.nodes:
            assert node.replica.configuration.version == max(self.versions_held()), "lagging"
            digests = {other.replica.withdrawn.digest for other in self.nodes}
            assert len(digests) == 1, "withdrawn keys differ"

    def versions_held(self):
        return [node.replica.configuration.version for node in self.nodes]

    def check_isolation(self, node, now):
        is_isolated = self.platforms[node.number].faults.values["down"] and all(
            self.find_reachable(node, address) is None for address in node.gossip.peers
        )
        if not is_isolated:
            node.isolated_since = None
        elif node.isolated_since is None:
            node.isolated_since = now
        elif now - node.isolated_since > CUT_OFF_S:
            assert not node.are_keys_verifiable(now), "a node that is cut off admits"

    @invariant()
    def no_node_reverts_or_differs(self):
        for number, node in enumerate(self.nodes):
            configuration = node.replica.configuration
            assert configuration.version >= self.versions[number], "a node reverted"
            self.versions[number] = configuration.version
            if configuration.version:
                row = self.state.read("config_change", f"{configuration.version:012d}")
                assert row.value["digest"] == configuration.digest

    @invariant()
    def no_withdrawn_key_is_admitted_after_the_bound(self):
        now = self.clock.now()
        for node in self.nodes:
            has_read = now - node.store.read_at <= CUT_OFF_S
            has_majority = node.gossip.has_recent_majority(now)
            for times, connected in ((self.stored_at, has_read), (self.majority_at, has_majority)):
                for key, at in times.items():
                    if connected and now - at > CUT_OFF_S:
                        assert key in node.replica.withdrawn, "a withdrawn key is admitted"


def run_machine(machine=Cluster, examples=60, steps=30, shrink=True):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            phases=[Phase.generate, Phase.shrink] if shrink else [Phase.generate],
            derandomize=settings().derandomize,
            suppress_health_check=list(HealthCheck),
            print_blob=False,
        ),
    )
