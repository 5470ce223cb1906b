"""News of crashes in deployments whose hosts send regular updates seldom."""

import random
import socket

import pytest
from test_relay_peers import SteppedGossip, make_update, receive, receive_all

from laburnumreel.coordination import BrokenRequest, CrashReport
from laburnumreel.core import ManualClock, SystemClock
from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._fleet_state import FleetState
from laburnumreel.relay._holds_query import (
    ASK_INTERVAL_S,
    MAX_ASKED_FAR_PEERS,
    MAX_ASKED_PEERS,
    UNHEARD_S,
)
from laburnumreel.relay._holds_wait import FIRST_UPDATE_WAIT_S, PAUSED_S, HoldsWait
from laburnumreel.relay._peer_gossip import MIN_INTERVAL_FOR_CRASHES_S, PeerGossip
from laburnumreel.relay._peer_update import decode_update, encode_update
from laburnumreel.relay._usage_counters import UsageUpdate
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.relay._work import Work
from laburnumreel_standins.processes import fresh_host, wait_until

WAIT_S = 10.0
SELDOM_S = 2.0
WORK = Work(3, 0, 0, 0)
REPORT = CrashReport("s1", 0.25, (BrokenRequest("r1", ("m/first", "m/deadly"), "digest"),))


def crash_fields():
    return {"crash_reports": (REPORT,), "held_parts": {"p": 9.0}}


def start_gossip(interval_s, running, is_waiting=False):
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
        lambda: is_waiting,
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


class AskingGossip(SteppedGossip):
    """A gossip on a manual clock whose peers send nothing of their own accord."""

    def __init__(self, peers, far_peers):
        self.clock = ManualClock()
        super().__init__(self.clock, far_zone="zone-b")
        self.sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(peers)]
        for number, sock in enumerate(self.sockets):
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            zone = "zone-b" if number < far_peers else "zone-a"
            sock.sendto(encode_update(make_update(f"h{number}", 1, zone=zone)), self.address)
        self.asks_after(0.0)

    def asks_after(self, seconds):
        """Return the numbers in requests for holds, after the regular updates were sent as well."""
        self.clock.advance(seconds)
        for _ in range(2):
            self.peers.tick()
        self.asked = [
            (number, update.asks_holds)
            for number, sock in enumerate(self.sockets)
            for update in receive_all(sock)
            if update.asks_holds
        ]
        return [number for _, number in self.asked]

    def stop(self):
        super().stop()
        for sock in self.sockets:
            sock.close()


@pytest.mark.parametrize(("peers", "far_peers"), [(2, 0), (194, 97), (4, 3)])
def test_few_peers_are_asked_for_holds_at_once_some_of_another_region(peers, far_peers):
    gossip, asked = AskingGossip(peers, far_peers), min(MAX_ASKED_PEERS, peers)
    try:
        gossip.peers.handle(("ask", 7))
        assert gossip.asks_after(0.0) == [7] * asked
        far_asked = sum(number < far_peers for number, _ in gossip.asked)
        assert far_asked == max(min(MAX_ASKED_FAR_PEERS, far_peers), asked - (peers - far_peers))
        assert gossip.asks_after(ASK_INTERVAL_S) == [7] * asked
        gossip.sockets[0].sendto(
            encode_update(make_update("h0", 2, answers_holds=7)), gossip.address
        )
        gossip.peers.tick()
        assert gossip.asks_after(ASK_INTERVAL_S) == []
        # A host that hears nobody asks until it does.
        assert len(gossip.asks_after(UNHEARD_S)) == asked
    finally:
        gossip.stop()


@pytest.mark.parametrize("is_waiting", [False, True])
def test_peer_answers_a_request_for_holds_at_once_unless_it_waits_itself(running, peer, is_waiting):
    """Hosts that had been paused together ended each other's wait, and none knew the holds."""
    _, address = start_gossip(SELDOM_S, running, is_waiting)
    peer.sendto(encode_update(make_update("peer", 1, asks_holds=5)), address)
    update = receive(peer)
    assert (update.answers_holds, update.held_parts) == (0 if is_waiting else 5, {"p": 9.0})


def test_host_alone_at_its_start_does_not_wait_for_one_that_is_listed_later():
    wait, asked = HoldsWait(random.Random(1)), []
    wait.set_ask(asked.append)
    for count in (1, 2):
        wait.on_hosts(count, 1.0)
    assert not asked
    assert not wait.delays(make_order("m/a"), 1.0)


def test_host_that_starts_waits_for_an_answer_of_a_host_that_does_not_wait():
    wait, asked = HoldsWait(random.Random(1)), []
    wait.set_ask(asked.append)
    wait.on_hosts(2, 1.0)
    assert not wait.on_updates([make_update("peer", 1)], 1.1)
    assert wait.delays(make_order("m/a"), 1.1)
    assert wait.on_updates([make_update("peer", 2, answers_holds=asked[0])], 1.2)


def make_order(*parts, left_s=9.0):
    waiting = WaitingRequest("r", 0, 0.0, 0.0, left_s, is_started=True)
    return PlacementRequest(waiting, "quotes", None, 0, parts=parts)


def test_host_that_was_paused_delays_prompts_until_a_peer_has_answered():
    """A host that woke sent requests with a part that its peers held, which crashed servers."""
    asked = []
    wait = HoldsWait(random.Random(1))
    wait.set_ask(asked.append)
    wait.on_run(True, 0.0)
    wait.on_run(False, PAUSED_S)
    assert not asked, "a host without peers does not wait"
    now = 2 * PAUSED_S
    wait.on_run(True, now)
    assert wait.delays(make_order("m/a"), now)
    assert not wait.delays(make_order(), now)
    assert not wait.delays(make_order("m/a", left_s=now + 0.1), now)
    assert not wait.delays(make_order("m/a"), now + FIRST_UPDATE_WAIT_S)
    # The peer sent this before or during the pause.
    wait.on_updates([make_update("peer", 1)], now)
    assert wait.on_updates([make_update("peer", 2)], now) is False
    assert wait.delays(make_order("m/a"), now)
    assert wait.on_updates([make_update("peer", 3, answers_holds=asked[0])], now)
    assert not wait.delays(make_order("m/a"), now)
