"""News of crashes in deployments whose hosts send regular updates seldom."""

import socket

import pytest
from test_relay_peers import make_update, receive

from laburnumreel.coordination import BrokenRequest, CrashReport
from laburnumreel.core import SystemClock
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._peer_gossip import MIN_INTERVAL_FOR_CRASHES_S, PeerGossip
from laburnumreel.relay._peer_update import decode_update, encode_update
from laburnumreel.relay._usage_counters import UsageUpdate
from laburnumreel.relay._work import Work
from laburnumreel_standins.processes import fresh_host, wait_until

WAIT_S = 10.0
SELDOM_S = 2.0
WORK = Work(3, 0, 0, 0)
REPORT = CrashReport("s1", 0.25, (BrokenRequest("r1", ("m/first", "m/deadly"), "digest"),))


def crash_fields():
    return {"crash_reports": (REPORT,), "held_parts": {"p": 9.0}}


def start_gossip(interval_s, running):
    address = (fresh_host(), 8004)
    gossip = PeerGossip(
        address,
        SystemClock(),
        interval_s,
        lambda cross_region: make_update("me", 0, work={"s1": WORK}),
        lambda: 0,
        lambda with_history: UsageUpdate(0, {}),
        lambda zone: False,
        lambda batch: None,
        lambda name: None,
        crash_fields,
    )
    gossip.start_daemon()
    running.append(gossip)
    return gossip, address


@pytest.fixture
def running():
    tasks = []
    yield tasks
    for task in tasks:
        task.stop()


@pytest.fixture
def peer():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((fresh_host(), 8004))
        sock.settimeout(WAIT_S)
        yield sock


def test_peers_with_seldom_updates_learn_of_a_crash_at_once(running, peer):
    """With 195 hosts, a crash was told some seconds later, so that other hosts sent on."""
    gossip, address = start_gossip(SELDOM_S, running)
    peer.sendto(encode_update(make_update("peer", 1)), address)
    wait_until(lambda: gossip.live_peers, "the peer is heard")
    assert not receive(peer).only_crashes
    gossip.send_crashes()
    update = receive(peer)
    while not update.only_crashes:
        update = receive(peer)
    assert update.crash_reports == (REPORT,)
    assert update.held_parts == {"p": 9.0}
    # A host of an earlier release applies this as well.
    assert update.work == {"s1": WORK}


def test_peers_with_frequent_updates_get_no_update_besides(running, peer):
    gossip, address = start_gossip(MIN_INTERVAL_FOR_CRASHES_S / 3, running)
    peer.sendto(encode_update(make_update("peer", 1)), address)
    wait_until(lambda: gossip.live_peers, "the peer is heard")
    gossip.send_crashes()
    assert not any(receive(peer).only_crashes for _ in range(5))


def test_update_about_crashes_leaves_the_sender_s_work_as_it_was():
    state = FleetState(Location("zone-a", "region-a"), {}, 1.0, "me")
    state.on_peer_update(make_update("peer", 1, work={"s1": WORK}), 1.0)
    holds_more = state.on_peer_update(
        make_update("peer", 2, only_crashes=True, held_parts={"m/deadly": 500.0}), 1.1
    )
    assert holds_more
    assert state.ledger.total("s1", 1.2).requests == 3


def test_crash_fields_of_an_update_survive_the_datagram():
    update = make_update(
        "peer", 3, crash_reports=(REPORT,), answered={"a": 0.5}, held_parts={"b": 2.0}
    )
    assert decode_update(encode_update(update)).ok == update
