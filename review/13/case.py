"""Two usage reports with different counts for one window, after a kill and a drill of the store."""

import sys
import threading
import time
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from standins3 import TROUBLE, CaseError, Worker, config, run_case  # noqa: E402

RELAYS = 14
# Reports that are awaited before the fault, so that all relays have served whole windows.
REPORTS_BEFORE = 2
# The age of the store's copy in the drill, and for how long the store is away.
COPY_AGE_S, AWAY_S = 4.0, 1.0
# A killed process is started again after this time.
RESTART_S = 3.5
# The next holder reports within this time, or the window is given up.
OBSERVED_S = 25.0
CALLERS, PAUSE_S = 4, 0.05


def call_in_turn(world, number, stop):
    """Send requests to all relays in turn, as callers of one tenant."""
    key = "key-a" if number % 2 else "key-b"
    turn = number * RELAYS // CALLERS
    while not stop.is_set():
        relay = world.relays[turn % RELAYS]
        request_id, status = world.call(relay, f"/safe/{turn}", key=key)
        if status != 200:
            world.record.write(f"caller got {status or 'no answer'} for {request_id}, {relay.name}")
        turn += 1
        time.sleep(PAUSE_S)


def case(world):
    store, record = world.store, world.record
    store.put("op", "config", config(tenants=("hall-a", "hall-b")))
    workers = [Worker(f"w{number}", "orders", store, record) for number in range(3)]
    for number in range(RELAYS):
        world.add_relay(f"front-{number:02d}").start()
    for relay in world.relays:
        world.wait_until(relay.is_ready, f"{relay.name} is ready", 45)
    record.write(f"{RELAYS} relays are ready")
    store.keep_copies(0.25, COPY_AGE_S)
    stop, struck = threading.Event(), threading.Event()

    def on_report(holder, window):
        """Kill the holder right after the platform has accepted its report."""
        if not TROUBLE or struck.is_set() or len(world.duties.reports) <= REPORTS_BEFORE:
            return
        struck.set()
        killed = next(relay for relay in world.relays if relay.name == holder)
        killed.kill()
        record.write(f"{holder} is killed after its report of window {window}")
        age_s = store.drill(AWAY_S)
        record.write(f"the store is back after {AWAY_S} s, from a copy {age_s:.1f} s older")
        time.sleep(RESTART_S - AWAY_S)
        killed.start()
        record.write(f"{holder} is started again")

    world.duties.on_report = on_report
    threads = [
        threading.Thread(target=call_in_turn, args=(world, number, stop))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    try:
        before = REPORTS_BEFORE + 1
        world.wait_until(lambda: len(world.duties.reports) >= before, "usage is reported", 40)
        time.sleep(OBSERVED_S)
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    counts = defaultdict(list)
    for at, holder, fence, window, reported in world.duties.reports:
        if reported not in [each[-1] for each in counts[window]]:
            counts[window].append((at, holder, fence, reported))
    if TROUBLE and not struck.is_set():
        raise CaseError("no holder was killed")
    record.write(f"requests run: {sum(len(worker.arrivals) for worker in workers)}")
    for window, reports in sorted(counts.items()):
        if len(reports) > 1:
            record.write(f"ONE: window {window} was reported with different counts: {reports}")
    return any(len(reports) > 1 for reports in counts.values())


if __name__ == "__main__":
    run_case(FOLDER, case)
