"""Tests of malformed rows in the tables of the configuration and the withdrawn keys."""

import random

import pytest

from laburnumreel.coordination._replica import Replica
from laburnumreel.coordination._store_sync import StoreSync, withdrawal_rows
from laburnumreel.core import ManualClock
from laburnumreel.state import Write
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import PlatformState

EARLIER, LATER = "a" * 64, "b" * 64
MALFORMED = [
    {},
    {"digests": 5},
    {"digests": [5]},
    {"digests": [[EARLIER]]},
    {"digests": ["\ud800"]},
]


@pytest.fixture
def platform():
    return MemoryPlatform(PlatformState(), ManualClock(), lambda seconds: None, timeout_s=0.5)


def withdraw(platform, digest, sequence):
    assert platform.transact(*withdrawal_rows([digest], sequence, {})).is_ok()


@pytest.mark.parametrize("malformed", MALFORMED, ids=str)
def test_malformed_log_row_hides_no_withdrawn_key(platform, malformed):
    """Guards against gateways that learn of no more withdrawals or accept a withdrawn key."""
    withdraw(platform, EARLIER, 1)
    platform.transact([], [Write("withdrawn_log", "000000000001", malformed)])
    platform.transact([], [Write("withdrawn_log", "odd", malformed)])
    replica = Replica()
    sync = StoreSync(platform, replica, random.Random(1))
    assert sync.poll(1.0).is_ok() and EARLIER in replica.withdrawn
    withdraw(platform, LATER, 2)
    assert sync.poll(2.0).is_ok() and LATER in replica.withdrawn and sync.read_at == 2.0


@pytest.mark.parametrize("malformed", [{}, {"version": "1", "digest": "x"}, {"version": 10**30}])
def test_malformed_head_row_changes_nothing(platform, malformed):
    platform.transact([], [Write("config_head", "head", malformed)])
    withdraw(platform, EARLIER, 1)
    replica = Replica()
    sync = StoreSync(platform, replica, random.Random(1))
    assert sync.poll(1.0).is_ok() and sync.read_at == 1.0
    assert EARLIER in replica.withdrawn and replica.configuration.version == 0
