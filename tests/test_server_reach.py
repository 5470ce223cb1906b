"""Tests of telling lost servers from lost links, without sockets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay_fleet import Host
from relay_samples import HERE, listed

from laburnumreel.core import ManualClock
from laburnumreel.relay._crash_evidence import LostRequest
from laburnumreel.relay._peer_update import PeerUpdate
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._server_reach import ROUND_INTERVAL_S
from laburnumreel.relay._settings import RetrySettings

# The cut is noticed within this time, of the three seconds after which callers are to be served.
NOTICED_S = 1.5
PROBE_S = 0.4


class ProbedHost(Host):
    """A host's dispatcher whose connections to servers are accepted if these are in `reachable`.

    Others are refused at once, or after `hang_s` seconds.
    """

    def __init__(self, names, hang_s=0.0, zones=3):
        self.clock = ManualClock()
        super().__init__(
            self.clock,
            HERE,
            {},
            RetrySettings(0.2, 50.0, 10.0),
            2.0,
            random.Random(1),
            host="h0",
        )
        self.reachable = set(names)
        self.entries = {
            name: listed(name, f"zone-{number % zones}", started_at_ms=7)._replace(
                address=(name, 80)
            )
            for number, name in enumerate(names)
        }
        self.list_servers()
        self.hang_s = hang_s
        self.probes = []
        self._pending = []
        self.set_address_check(self.check)

    def list_servers(self):
        self.on_listing(Listing(self.entries, 1, 0.0, True))

    def check(self, address):
        self.probes.append((self.clock.now(), address[0]))
        probe = Probe(self.clock.now() + self.hang_s)
        self._pending.append((probe, address[0]))
        return probe

    def fail(self, name, with_crash=False):
        """Let a request fail at a server."""
        self.record_unreachable(name)
        if with_crash:
            self.record_crash(name, LostRequest(f"r-{name}", "t", f"d-{name}", ("m/part",)))

    def run(self, seconds, step_s=0.05):
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(step_s)
            self.tick()
            due = [each for each in self._pending if self.is_due(*each)]
            self._pending = [each for each in self._pending if each not in due]
            for probe, name in due:
                probe.finish(name in self.reachable)

    def is_due(self, probe, name):
        return name in self.reachable or self.clock.now() >= probe.hangs_until

    @property
    def told(self):
        """What peers are told."""
        return self.local_state(False).result()


class Probe:
    def __init__(self, hangs_until):
        self.hangs_until = hangs_until
        self._callbacks = []
        self._result = None

    def add_done_callback(self, callback):
        self._callbacks.append(callback)

    def result(self):
        return self._result

    def finish(self, result):
        self._result = result
        for callback in self._callbacks:
            callback(self)


NAMES = [f"s{number}" for number in range(9)]


@pytest.mark.parametrize("hang_s", [0.0, PROBE_S])
@pytest.mark.parametrize("count", [3, 9, 78])
class TestCutHost:
    def test_cut_host_names_no_server_to_its_peers(self, count, hang_s):
        names = [f"s{number}" for number in range(count)]
        host = ProbedHost(names, hang_s)
        host.reachable.clear()
        for name in names:
            host.fail(name, with_crash=True)
            host.run(0.1)
            assert not host.told.avoided and not host.told.crash_reports
            assert not host.told.crashes and not host.told.held_parts
        host.run(NOTICED_S)
        assert host.is_cut_off

    def test_cut_is_noticed_in_time(self, count, hang_s):
        host = ProbedHost([f"s{number}" for number in range(count)], hang_s)
        host.reachable.clear()
        host.fail("s0")
        host.run(NOTICED_S)
        assert host.is_cut_off

    def test_lost_server_is_told_at_once(self, count, hang_s):
        host = ProbedHost([f"s{number}" for number in range(count)], hang_s)
        host.reachable.discard("s0")
        host.fail("s0", with_crash=True)
        host.run(0.1)
        assert set(host.told.avoided) == {"s0"} and host.told.crash_reports
        assert not host.is_cut_off

    def test_host_forgets_its_failures_once_its_links_are_back(self, count, hang_s):
        names = [f"s{number}" for number in range(count)]
        host = ProbedHost(names, hang_s)
        host.reachable.clear()
        for name in names:
            host.fail(name, with_crash=True)
        host.run(3.0)
        assert host.is_cut_off
        host.reachable.update(names)
        host.run(1.5)
        assert not host.is_cut_off
        assert not host.told.avoided and not host.told.crash_reports
        assert not any(
            host._fleet_state._health.is_in_backoff(name, host.clock.now()) for name in names
        )


class TestLosses:
    def test_lost_service_is_not_taken_for_lost_links(self):
        host = ProbedHost(NAMES, PROBE_S)
        lost = NAMES[:6]
        host.reachable -= set(lost)
        for name in lost:
            host.fail(name)
        host.run(NOTICED_S)
        assert not host.is_cut_off
        assert set(host.told.avoided) <= set(lost)

    def test_crash_during_a_cut_is_told_afterwards(self):
        host = ProbedHost(NAMES)
        host.reachable.clear()
        for name in NAMES:
            host.fail(name, with_crash=True)
        host.run(1.0)
        # One of the servers had crashed indeed, and is another process now.
        host.entries["s3"] = host.entries["s3"]._replace(started_at_ms=9)
        host.list_servers()
        host.reachable.update(NAMES)
        host.run(1.0)
        assert {each.back_end for each in host.told.crash_reports} == {"s3"}

    def test_only_server_is_told_without_a_comparison(self):
        host = ProbedHost(["s0"])
        host.reachable.clear()
        host.fail("s0", with_crash=True)
        host.run(0.1)
        assert set(host.told.avoided) == {"s0"} and host.told.crash_reports
        assert not host.probes

    def test_servers_that_fail_one_after_the_other_are_all_told(self):
        """The last one of a service has no other one left to compare it with."""
        host = ProbedHost(NAMES[:4])
        for name in NAMES[:4]:
            host.reachable.discard(name)
            host.fail(name, with_crash=True)
            host.run(0.4)
        assert {each.back_end for each in host.told.crash_reports} == set(NAMES[:4])
        assert not host.is_cut_off

    @given(st.integers(0, 2**32), st.integers(1, 40))
    def test_probes_are_few(self, seed, failures):
        rng = random.Random(seed)
        host = ProbedHost(NAMES)
        for _ in range(failures):
            host.fail(rng.choice(NAMES[:3]))
            host.run(rng.uniform(0.0, 0.2))
        seconds = host.clock.now() + ROUND_INTERVAL_S
        assert len(host.probes) <= 2 * (1 + seconds / ROUND_INTERVAL_S)


class TestReceivers:
    """What a host believes of a peer, also of one of an earlier release."""

    def make_peer_update(self, avoided):
        host = ProbedHost(NAMES)
        beliefs = host.told._replace(avoided=avoided)
        return PeerUpdate(
            "h1",
            "boot",
            "zone-a",
            1,
            1,
            False,
            usage={},
            duty_fence=0,
            listing_version=1,
            **beliefs._asdict(),
        )

    def avoided_by(self, host):
        health = host._fleet_state._health
        return {name for name in NAMES if health.is_in_backoff(name, host.clock.now())}

    def test_peer_that_avoids_most_servers_is_not_believed(self):
        host = ProbedHost(NAMES)
        host.on_peer_updates([self.make_peer_update(dict.fromkeys(NAMES[:5], 3.0))])
        assert not self.avoided_by(host)
        host.on_peer_updates([self.make_peer_update(dict.fromkeys(NAMES[:2], 3.0))])
        assert self.avoided_by(host) == set(NAMES[:2])

    def test_own_answer_counts_for_more_than_a_peer(self):
        host = ProbedHost(NAMES)
        host.on_peer_updates([self.make_peer_update({"s0": 3.0})])
        host.record_outcome("s0", failed=False)
        assert not self.avoided_by(host)


def test_failures_are_the_servers_where_nothing_can_be_checked():
    host = ProbedHost(NAMES)
    host._check_address = None
    host.fail("s0", with_crash=True)
    assert set(host.told.avoided) == {"s0"} and host.told.crash_reports
