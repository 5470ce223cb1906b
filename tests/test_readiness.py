"""Tests that the keys of a ready gateway stay verifiable between two reads of the store."""

from types import SimpleNamespace

import pytest

from laburnumreel.coordination import ConfigSync, PeerExchange
from laburnumreel.core import ManualClock
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import PlatformState

OWN, OTHER = ("127.0.0.1", 7001), ("127.0.0.1", 7002)
STEP_S = 0.01
STORE_DELAY_S = 0.02


class IsolatedGateway:
    """One of two gateways, the other of which does not answer.

    The simulated time advances by the duration of calls to the store and the waits between them.
    """

    def __init__(self, cut_off_s):
        self.clock = ManualClock(now=100.0)
        self.platform = MemoryPlatform(PlatformState(), self.clock, self.wait)
        self.platform.faults.change({"delay_s": STORE_DELAY_S})
        settings = SimpleNamespace(
            node=SimpleNamespace(name="node-1"),
            listen=SimpleNamespace(peers=OWN),
            peers=SimpleNamespace(
                gateways=(OWN, OTHER), coordinators=(), exchange_s=0.2, cut_off_s=cut_off_s
            ),
        )
        self.unverifiable_at = []
        self.config = ConfigSync.from_settings(settings, self.platform, None, self.clock)
        self.exchange = PeerExchange(settings, self.config, None, None, clock=self.clock)

    def wait(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.now()
            if self.config.has_read_store and not self.exchange.keys_verifiable(now):
                self.unverifiable_at.append(round(now - 100.0, 2))

    def read_store(self, times):
        for _ in range(times):
            self.config.tick()
            self.wait(self.config._tick_s)


@pytest.mark.parametrize("cut_off_s", [0.5, 1.0, 3.0])
def test_ready_gateway_without_peers_refuses_nothing_between_two_reads(cut_off_s):
    """Guards against a ready gateway that refuses its first request with `keys_unverifiable`.

    That happened when the other gateway had not answered yet and the reads of the store were
    further apart than `cut_off_s`.
    """
    gateway = IsolatedGateway(cut_off_s)
    gateway.read_store(3)
    assert gateway.unverifiable_at == []


def test_one_failed_read_of_the_store_stops_no_gateway():
    gateway = IsolatedGateway(cut_off_s=1.0)
    gateway.read_store(2)
    gateway.platform.faults.change({"down": True})
    gateway.read_store(1)
    gateway.platform.faults.change({"down": False})
    gateway.read_store(2)
    assert gateway.unverifiable_at == []


def test_gateway_without_store_and_peers_stops_in_time():
    """Checks that the tests above can fail."""
    gateway = IsolatedGateway(cut_off_s=1.0)
    gateway.read_store(1)
    gateway.platform.faults.change({"down": True})
    gateway.wait(2.0)
    assert gateway.unverifiable_at and gateway.unverifiable_at[0] == pytest.approx(1.0, abs=0.02)
