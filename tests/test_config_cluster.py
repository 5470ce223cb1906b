"""Tests of configuration and keys on the simulated cluster, and of its oracles."""

import pytest
from config_cluster import Cluster, run_machine
from expression import Error, Ok
from hypothesis import settings

from laburnumreel.coordination import _config_sync, _config_write, _gossip
from laburnumreel.coordination._gossip import Gossip
from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._store_sync import StoreSync
from laburnumreel.state import PlatformError


def test_nodes_converge_and_never_revert_under_faults():
    """Guards against reverted or lost changes and withdrawn keys that keep working."""
    run_machine(examples=max(60, settings().max_examples // 2))


def omit_withdrawals(self, address, **options):
    return ORIGINAL_BUILD_MESSAGE(self, address, **options)._replace(withdrawn=())


ORIGINAL_BUILD_MESSAGE = Gossip.build_message


def skip_read_back(platform, *arguments, **options):
    """Report a lost response as a refusal, as if the row were not read back."""
    written = ORIGINAL_WRITE(SingleTransactionPlatform(platform), *arguments, **options)
    return written.map_error(lambda failure: failure._replace(kind="unreachable"))


class SingleTransactionPlatform:
    """A platform that refuses all transactions after the first one."""

    def __init__(self, platform):
        self._platform, self._used = platform, False

    def read(self, table, key):
        return self._platform.read(table, key)

    def transact(self, checks, writes):
        if self._used:
            return Error(PlatformError("refused"))
        self._used = True
        return self._platform.transact(checks, writes)


ORIGINAL_WRITE = _config_write.write_change


def always_has_majority(self, now):
    return True


def ignore_newer_versions(self, *arguments):
    return ORIGINAL_MERGE_MESSAGE(self, *arguments)._replace(is_peer_newer=False)


ORIGINAL_MERGE_MESSAGE = Gossip._merge_message


@pytest.mark.parametrize(
    ("target", "name", "fault", "oracle"),
    [
        (Gossip, "has_recent_majority", always_has_majority, "admit"),
        (Gossip, "build_message", omit_withdrawals, "withdrawn keys differ"),
        (Gossip, "_merge_message", ignore_newer_versions, "lagging"),
        (StoreSync, "_read_configuration", lambda self: Ok(None), "not the head"),
        (StoreSync, "_read_withdrawn", lambda self: Ok(None), "a withdrawn key is"),
        (StoreSync, "_store_withdrawals", lambda self: Ok(None), "a withdrawal is not stored"),
        (_config_write, "write_change", skip_read_back, "wrong result"),
    ],
)
def test_oracles_catch_planted_faults(monkeypatch, target, name, fault, oracle):
    """Guards against oracles that pass although the nodes are faulty."""
    monkeypatch.setattr(target, name, fault)
    with pytest.raises(AssertionError, match=oracle):
        run_machine(examples=400, shrink=False)


def check(cluster):
    cluster.no_node_reverts_or_differs()
    cluster.no_withdrawn_key_is_admitted_after_the_bound()


def restart_of_a_key_holder():
    """Withdraw a key at a majority with the store down, restart one member, cut off another."""
    cluster = Cluster()
    cluster.start(3)
    cluster.run(2, set())
    cluster.set_store_down(True)
    cluster.withdraw_through_nodes("0" * 64, {0, 1})
    cluster.partition({1})
    cluster.restart(0)
    cluster.run(9, set())
    check(cluster)
    return cluster


def test_a_restarted_gateway_vouches_for_no_withdrawals_it_has_forgotten(monkeypatch):
    """Guards against a majority with a member that lost the withdrawals it confirmed."""
    cluster = restart_of_a_key_holder()
    assert not any(node.are_keys_verifiable(cluster.clock.now()) for node in cluster.nodes)
    cluster.heal_links_and_settle()
    assert all("0" * 64 in node.replica.withdrawn for node in cluster.nodes)
    monkeypatch.setattr(Gossip, "_has_all_withdrawals", lambda self: True)
    with pytest.raises(AssertionError, match="a withdrawn key is admitted"):
        restart_of_a_key_holder()


def cut_off_gateway():
    """Cut a gateway off from the store and all peers; return whether it was verifiable at first."""
    cluster = Cluster()
    cluster.start(3)
    cluster.run(2, set())
    cluster.set_node_store_down(0, True)
    cluster.partition({0})
    cluster.run(5, set())
    was_verifiable = cluster.nodes[0].are_keys_verifiable(cluster.clock.now())
    cluster.run(4, set())
    return was_verifiable


def test_a_gateway_that_is_cut_off_stops_admitting_in_time(monkeypatch):
    """Guards against a gateway that never stops admitting with old keys or stops too soon."""
    assert cut_off_gateway()
    monkeypatch.setattr(Gossip, "keys_verifiable", lambda *_: True)
    with pytest.raises(AssertionError, match="a node that is cut off admits"):
        cut_off_gateway()


def test_a_node_keeps_its_version_when_offered_an_older_one(monkeypatch):
    """Guards against a lagging peer or store that reverts a node, and tests that oracle."""

    def offer_older():
        cluster = Cluster()
        cluster.start(3)
        cluster.apply("customer/hall", 1)
        cluster.run(3, set())
        older = cluster.nodes[0].replica.configuration
        cluster.apply("customer/hall", 2)
        cluster.run(3, set())
        check(cluster)
        cluster.nodes[0].replica.adopt_snapshot(older, repair=True)
        check(cluster)

    def adopt_anything(self, configuration, repair=False):
        self._configuration = configuration

    offer_older()
    monkeypatch.setattr(Replica, "adopt_snapshot", adopt_anything)
    with pytest.raises(AssertionError, match="a node reverted"):
        offer_older()


def test_modules_are_those_of_the_tasks():
    """Guards against a simulation that runs other code than the daemon."""
    assert _config_sync.StoreSync is StoreSync
    assert _gossip.Replica is Replica
