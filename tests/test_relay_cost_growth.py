"""Tests that the work per request and per datagram does not grow with the number of hosts."""

import contextlib
import cProfile
import gc
import pstats
import random
import socket

import pytest
from relay_fleet import TRAITS, Host
from relay_samples import prompt
from test_relay_peers import make_update

from laburnumreel.core import ManualClock
from laburnumreel.relay._assignments import PlacementRequest
from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._peer_gossip import PeerGossip
from laburnumreel.relay._peer_update import encode_update
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._settings import RetrySettings
from laburnumreel.relay._usage_counters import UsageUpdate
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.relay._work import Work
from laburnumreel_standins.processes import fresh_host

FEW, MANY = 7, (63, 195)
ENGINES, ENGINES_PER_PEER, SLOTS = 24, 4, 64
# A number of datagrams that surely fits into a socket buffer.
BATCH = 40


def count_calls(action):
    """Return the number of function calls of any kind that an action makes."""
    profile = cProfile.Profile()
    # A garbage collection would call registered callbacks.
    gc.disable()
    profile.enable()
    action()
    profile.disable()
    gc.enable()
    return pstats.Stats(profile).total_calls


class HostWithPeers:
    """A host whose peers have reported work at some engines."""

    def __init__(self, hosts, streams=0):
        self.clock = ManualClock()
        self.host = Host(
            self.clock,
            Location("z", "r"),
            {"z": "r"},
            RetrySettings(0.2, 50.0, 10.0),
            2.0,
            random.Random(1),
            host="me",
        )
        self.engines = [f"e{n}" for n in range(ENGINES)]
        roles = (Role.PREFILL, Role.DECODE)
        entries = {
            name: ListedBackEnd(name, "quotes", ("10.0.0.1", 80), "z", SLOTS, role=roles[n % 2])
            for n, name in enumerate(self.engines)
        }
        self.host.on_listing(Listing(entries, 1, 0.0, True))
        self.host.hosts(hosts)
        self.news = [self._news(number, streams) for number in range(hosts - 1)]
        for each in self.news:
            self.host.on_peer_updates([each])

    def _news(self, number, streams):
        names = [
            self.engines[(number * ENGINES_PER_PEER + n) % ENGINES] for n in range(ENGINES_PER_PEER)
        ]
        if streams and number < FEW - 1:
            names = self.engines
        return make_update(f"h{number}", 1, work=dict.fromkeys(names, Work(1, 0, streams, 100)))

    def order(self, request_id="r"):
        now = self.clock.now()
        waiting = WaitingRequest(request_id, 1, now, now + 1.0, now + 4.0)
        return PlacementRequest(waiting, "quotes", prompt(("a", 900)), 1000, engine=TRAITS)

    def place(self):
        return self.host.place(self.order())


def request_calls(hosts):
    host_with_peers = HostWithPeers(hosts)
    host_with_peers.clock.advance(0.1)
    placed = []
    count = count_calls(lambda: placed.append(host_with_peers.place()))
    assert placed[0].result().runner is not None
    return count


def waiting_calls(hosts):
    """Return the calls of a pass over requests that wait because all slots are taken."""
    host_with_peers = HostWithPeers(hosts, streams=SLOTS)
    waiting = [
        host_with_peers.host.place(host_with_peers.order(f"r{number}")) for number in range(4)
    ]
    host_with_peers.clock.advance(0.1)
    count = count_calls(host_with_peers.host.tick)
    assert not any(each.done() for each in waiting)
    return count


@pytest.mark.parametrize("count", [request_calls, waiting_calls])
@pytest.mark.parametrize("hosts", MANY)
def test_calls_per_request_do_not_grow_with_hosts(count, hosts):
    """An iteration over all peers for each request or each attempt must be avoided."""
    # The first run fills caches of the process.
    count(FEW)
    assert count(hosts) <= count(FEW)


def datagram_calls(hosts):
    """Return the calls per datagram of a round in which each peer sends and receives one."""
    host_with_peers, address = HostWithPeers(hosts), (fresh_host(), 8004)
    peers = PeerGossip(
        address,
        host_with_peers.clock,
        0.15,
        lambda cross_region: make_update(
            "me", 0, **host_with_peers.host.local_state(cross_region).result()._asdict()
        ),
        lambda: 0,
        lambda with_history: UsageUpdate(1, {}),
        lambda zone: False,
        host_with_peers.host.on_peer_updates,
        lambda name: None,
    )
    with contextlib.ExitStack() as stack:
        stack.callback(peers.close)
        senders = [
            stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            for _ in host_with_peers.news
        ]

        def play(sequence):
            total = 0
            for first in range(0, len(senders), BATCH):
                batch = zip(
                    senders[first : first + BATCH], host_with_peers.news[first:], strict=False
                )
                for sender, each in batch:
                    told = each._replace(sequence=sequence, boot="b")
                    sender.sendto(encode_update(told), address)
                total += count_calls(peers.tick)
            return total

        # The first round introduces the peers.
        play(1)
        host_with_peers.clock.advance(5.0)
        count = play(2)
        assert len(peers.live_peers) == hosts - 1
        return count / len(senders)


@pytest.mark.parametrize("hosts", MANY)
def test_calls_per_datagram_do_not_grow_with_hosts(hosts):
    """An iteration over all peers for each received or sent datagram must be avoided."""
    datagram_calls(FEW)
    assert datagram_calls(hosts) <= datagram_calls(FEW)
