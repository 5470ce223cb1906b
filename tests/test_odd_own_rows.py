"""Tests of relay processes among odd rows in the product's own tables."""

import time

import pytest
from odd_rows import GARBAGE, odd_addresses
from platform_world import wait_until

pytestmark = pytest.mark.processes

# Long enough for several news between hosts.
WHILE_S = 1.5


class TestHosts:
    def test_odd_rows_of_hosts_keep_no_host_from_its_peers(self, world):
        """Guards against a host that hears and tells nobody for one odd address in the list."""
        world.worker("w1")
        for label, value in GARBAGE.items():
            world.store.put("relay_hosts", label, value)
        for label, address in odd_addresses().items():
            world.store.put("relay_hosts", f"a-{label}", {"address": address, "boot": "b"})
        relays = [world.relay(), world.relay("relay-2")]
        for relay in relays:
            wait_until(lambda relay=relay: relay.logged("relay_peer_heard"), "peers are heard")
        time.sleep(WHILE_S)
        for relay in relays:
            assert not relay.logged("task_failed") and not relay.logged("relay_peer_silent")
