"""Tests of the lease task, the authorities and the process timer."""

import os
import random
import signal
import subprocess
import sys
import threading

import pytest
from simulated_cluster import SimulatedTimer

from laburnumreel.coordination import AuthorityRegistry, LeaseManager
from laburnumreel.core import ManualClock
from laburnumreel.state import Authority, Lease, LeaseSettings
from laburnumreel_standins import MemoryPlatform, PlatformState

SETTINGS = LeaseSettings(term_s=4.0, margin_s=0.5)


def make_lease_manager(state, clock, name="node-a"):
    authorities, timer = AuthorityRegistry(clock), SimulatedTimer(clock, enabled=False)
    platform = MemoryPlatform(state, clock, clock.advance)
    leases = [Lease(lease, name, "boot", 4.0, 0.5) for lease in ("orders", "usage")]
    lease_manager = LeaseManager(
        platform, authorities, timer, clock, leases, SETTINGS, random.Random(1)
    )
    return lease_manager, authorities, timer, platform


def run(lease_manager, clock, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        lease_manager.step()


def test_leases_are_given_up_before_their_end_and_timer_is_disarmed_then():
    """Guards against authority that is kept, or a process killed, while the store is down."""
    clock = ManualClock()
    lease_manager, authorities, timer, platform = make_lease_manager(PlatformState(), clock)
    run(lease_manager, clock, 6)
    assert authorities.names == ("orders", "usage")
    assert timer.end == min(authorities.current(name).end for name in authorities.names)
    platform.faults.change({"down": True})
    latest_end = clock.now() + 4
    while authorities.names:
        assert timer.end is not None and timer.end > clock.now()
        run(lease_manager, clock, 0.1)
    assert clock.now() < latest_end and timer.end is None
    platform.faults.change({"down": False})
    run(lease_manager, clock, 6)
    assert authorities.names == ("orders", "usage")
    assert authorities.current("orders").fence == 2


def test_release_lets_a_successor_acquire_at_once():
    """Guards against a planned stop after which no process has authority for a whole term."""
    store, clock = PlatformState(), ManualClock()
    first, authorities, timer, _ = make_lease_manager(store, clock)
    second, successor, _, _ = make_lease_manager(store, clock, "node-b")
    run(first, clock, 6)
    first.release_all()
    assert not authorities.names and timer.end is None
    run(second, clock, 2)
    assert successor.names == ("orders", "usage")


def test_withdrawal_waits_for_writes_and_connections():
    """Guards against bytes sent after the authority was given up."""
    clock = ManualClock()
    authorities = AuthorityRegistry(clock)
    authority = Authority("orders", 1, 1, 10.0)
    authorities.publish(authority)
    events, aborted = [], threading.Event()
    with authorities.track_connection(authority, aborted.set, lambda: events.append("closed")):
        with authorities.guard_write(authority) as in_force:
            assert in_force
            withdrawal = threading.Thread(
                target=lambda: events.append(authorities.withdraw("orders")), daemon=True
            )
            withdrawal.start()
            assert not aborted.wait(0.05)
        assert aborted.wait(5)
        with authorities.guard_write(authority) as in_force:
            assert not in_force
    withdrawal.join(5)
    assert events == ["closed", True]


SCRIPT = """
import os, signal, sys, threading, time
from laburnumreel.coordination import AlarmTimer
from laburnumreel.core import SystemClock
clock = SystemClock()
timer = AlarmTimer(clock)
timer.prepare()
def work():
    timer.unblock_in_this_thread()
    timer.arm(clock.now() + 0.2)
    signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
    os.write(1, b"ran on")
thread = threading.Thread(target=work)
thread.start()
thread.join()
"""


@pytest.mark.processes
def test_stopped_process_runs_nothing_after_its_authority_ends():
    """Guards against an order sent by a stopped process that is continued after its lease ended."""
    for _ in range(10):
        process = subprocess.Popen([sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE)
        os.waitpid(process.pid, os.WUNTRACED)
        threading.Event().wait(0.4)
        process.send_signal(signal.SIGCONT)
        output, _ = process.communicate(timeout=10)
        assert (process.returncode, output) == (-signal.SIGALRM, b"")
