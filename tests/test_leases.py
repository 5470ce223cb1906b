"""Tests of the lease task and of the process timer."""

import os
import random
import signal
import subprocess
import sys
import threading

import pytest
from authority_world import SimulatedTimer

from laburnumreel.coordination import AuthorityBoard, LeaseKeeper
from laburnumreel.core import ManualClock
from laburnumreel.state import Authority, Lease, LeaseSettings
from laburnumreel_standins import MemoryPlatform, PlatformState

SETTINGS = LeaseSettings(term_s=4.0, margin_s=0.5)


def make_keeper(state, clock, name="node-a"):
    board, timer = AuthorityBoard(clock), SimulatedTimer(clock, works=False)
    platform = MemoryPlatform(state, clock, clock.advance)
    leases = [Lease(lease, name, "boot", 4.0, 0.5) for lease in ("orders", "usage")]
    keeper = LeaseKeeper(platform, board, timer, clock, leases, SETTINGS, random.Random(1))
    return keeper, board, timer, platform


def run(keeper, clock, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        keeper.step()


def test_keeper_gives_up_before_the_end_and_disarms_only_then():
    """Guards against a process killed by its timer, or still in force, while the store is down."""
    clock = ManualClock()
    keeper, board, timer, platform = make_keeper(PlatformState(), clock)
    run(keeper, clock, 6)
    assert board.names == ("orders", "usage")
    assert timer.end == min(board.current(name).end for name in board.names)
    platform.faults.change({"down": True})
    ended = clock.now() + 4
    while board.names:
        assert timer.end is not None and timer.end > clock.now()
        run(keeper, clock, 0.1)
    assert clock.now() < ended and timer.end is None
    platform.faults.change({"down": False})
    run(keeper, clock, 6)
    assert board.names == ("orders", "usage")
    assert board.current("orders").fence == 2


def test_release_lets_a_successor_in_at_once():
    """Guards against a planned stop that leaves the system without authority for a whole term."""
    store, clock = PlatformState(), ManualClock()
    first, board, timer, _ = make_keeper(store, clock)
    second, successor, _, _ = make_keeper(store, clock, "node-b")
    run(first, clock, 6)
    first.release_all()
    assert not board.names and timer.end is None
    run(second, clock, 2)
    assert successor.names == ("orders", "usage")


def test_withdrawal_waits_for_writes_and_connections():
    """Guards against a byte that leaves after the authority was given up."""
    clock = ManualClock()
    board = AuthorityBoard(clock)
    authority = Authority("orders", 1, 1, 10.0)
    board.publish(authority)
    events, aborted = [], threading.Event()
    with board.connection(authority, aborted.set, lambda: events.append("closed")):
        with board.writing(authority) as in_force:
            assert in_force
            withdrawal = threading.Thread(
                target=lambda: events.append(board.withdraw("orders")), daemon=True
            )
            withdrawal.start()
            assert not aborted.wait(0.05)
        assert aborted.wait(5)
        with board.writing(authority) as in_force:
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
    timer.receive_on_this_thread()
    timer.arm(clock.now() + 0.2)
    signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
    os.write(1, b"ran on")
thread = threading.Thread(target=work)
thread.start()
thread.join()
"""


@pytest.mark.processes
def test_a_stopped_process_runs_nothing_after_the_end():
    """Guards against an order sent by a process continued after its lease ended."""
    for _ in range(10):
        child = subprocess.Popen([sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE)
        os.waitpid(child.pid, os.WUNTRACED)
        threading.Event().wait(0.4)
        child.send_signal(signal.SIGCONT)
        output, _ = child.communicate(timeout=10)
        assert (child.returncode, output) == (-signal.SIGALRM, b"")
