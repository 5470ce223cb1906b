"""Updates on how far a host has read the table of backend servers, where others come seldom."""

import socket

import pytest
from test_crash_updates import SELDOM_S, WAIT_S, WORK
from test_relay_peers import make_update, receive

from laburnumreel.core import SystemClock
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._peer_gossip import PeerGossip
from laburnumreel.relay._peer_update import decode_update, encode_update
from laburnumreel.relay._usage_counters import UsageUpdate
from laburnumreel_standins.processes import fresh_host, wait_until

FAR_ZONE = "zone-far"
LISTING = {"listing_version": 7, "listing_seen": 9, "listing_read_s": 1.5}


class Gossip:
    """The gossip task of a host, a peer of its region and one of another."""

    def __init__(self, listing_interval_s, interval_s=SELDOM_S, stepped=False):
        self.built = 0
        address = (fresh_host(), 8004)
        self.task = PeerGossip(
            address,
            SystemClock(),
            interval_s,
            self._build_update,
            lambda: 0,
            lambda with_history: UsageUpdate(0, {}),
            lambda zone: zone == FAR_ZONE,
            lambda batch: None,
            lambda name: None,
            build_listing_fields=lambda: LISTING,
            listing_interval_s=listing_interval_s,
        )
        self._stepped = stepped
        if not stepped:
            self.task.start_daemon()
        self.peers = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock, zone in zip(self.peers, ("zone-a", FAR_ZONE), strict=True):
            sock.bind((fresh_host(), 8004))
            sock.settimeout(WAIT_S)
            sock.sendto(encode_update(make_update(zone, 1, zone=zone)), address)
        if stepped:
            self.task.tick()
        wait_until(lambda: len(self.task.live_peers) == 2, "the peers are heard")

    def _build_update(self, cross_region):
        self.built += 1
        return make_update("me", 0, work={"s1": WORK}, kept={"s1": (f"part{self.built}",)})

    def end(self):
        if self._stepped:
            self.task.close()
        else:
            self.task.stop()
        for sock in self.peers:
            sock.close()


@pytest.fixture
def start_gossip():
    started = []

    def start(**intervals):
        started.append(Gossip(**intervals))
        return started[-1]

    yield start
    for gossip in started:
        gossip.end()


def test_near_peers_with_seldom_updates_learn_of_a_poll_at_once(start_gossip):
    """With 126 hosts a region a poll was told 2.5 s later, when others had polled themselves."""
    gossip = start_gossip(listing_interval_s=SELDOM_S / 2)
    near, far = gossip.peers
    assert not receive(near).only_listing
    gossip.task.send_listing()
    update = receive(near)
    while not update.only_listing:
        update = receive(near)
    assert {name: getattr(update, name) for name in LISTING} == LISTING
    # A host of an earlier release applies the rest as well.
    assert update.work == {"s1": WORK}
    assert not any(receive(far).only_listing for _ in range(2))


def test_news_of_polls_take_no_kept_parts_from_regular_updates(start_gossip):
    """Building a regular update takes out the parts since the last one."""
    gossip = start_gossip(listing_interval_s=1.0, interval_s=600.0, stepped=True)
    built = gossip.built
    for _ in range(3):
        gossip.task.handle("listing")
        gossip.task.tick()
    assert gossip.built == built
    assert [receive(gossip.peers[0]).only_listing for _ in range(4)] == [False, True, True, True]


def test_peers_with_frequent_updates_get_none_besides(start_gossip):
    gossip = start_gossip(listing_interval_s=2 * SELDOM_S)
    gossip.task.send_listing()
    assert not any(receive(gossip.peers[0]).only_listing for _ in range(2))


def test_news_of_a_poll_leave_the_sender_s_work_as_it_was():
    state = FleetState(Location("zone-a", "region-a"), {}, 1.0, "me")
    state.on_peer_update(make_update("peer", 1, work={"s1": WORK}), 1.0)
    state.on_peer_update(make_update("peer", 2, only_listing=True), 1.1)
    assert state.ledger.total("s1", 1.2).requests == WORK.requests


def test_listing_fields_of_an_update_survive_the_datagram():
    update = make_update("peer", 3, only_listing=True, **{**LISTING, "listing_version": 1})
    assert decode_update(encode_update(update)).ok == update
