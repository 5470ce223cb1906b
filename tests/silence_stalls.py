"""Detects when the soak process or its relays did not get to run, to interpret measured times."""

import threading
import time
from pathlib import Path
from typing import NamedTuple

# Sleep time of the thread that checks whether it wakes late.
POLL_INTERVAL_S = 0.02
# Shorter delays are normal on a busy machine.
MIN_STALL_S = 0.25
# A running relay uses CPU time more often than this: its tasks wake several times a second.
# The kernel reports CPU time in hundredths of a second.
CPU_IDLE_S = 1.0


class Stall(NamedTuple):
    """An interval in which a process was runnable but did not run."""

    process_name: str
    begin: float
    end: float

    def overlaps(self, begin, end):
        return self.begin < end and begin < self.end


class StallDetector:
    """Detects stalls of this process by late wake-ups, and of others by their CPU time."""

    def __init__(self, clock=time.monotonic, sleep=time.sleep, read_ticks=None):
        self._clock, self._sleep = clock, sleep
        self._read_ticks = read_ticks or read_cpu_ticks
        self._watched = {}
        self._ended = threading.Event()
        self.detected = []
        # The longest delay of a thread of this process.
        self.max_lag_s = 0.0

    def watch(self, name, pid):
        """Start watching another process."""
        self._watched[name] = (pid, None, self._clock())

    def start(self):
        threading.Thread(target=self._run, daemon=True).start()

    def end(self):
        self._ended.set()

    def _run(self):
        while not self._ended.is_set():
            self.poll()

    def poll(self):
        """Sleep for `POLL_INTERVAL_S` and record which processes stalled."""
        before = self._clock()
        self._sleep(POLL_INTERVAL_S)
        now = self._clock()
        lag_s = now - before - POLL_INTERVAL_S
        self.max_lag_s = max(self.max_lag_s, lag_s)
        if lag_s >= MIN_STALL_S:
            self.detected.append(Stall("this process", before, now))
        for name, (pid, last_ticks, changed_at) in list(self._watched.items()):
            cpu_ticks = self._read_ticks(pid)
            if cpu_ticks == last_ticks:
                continue
            # Up to `before` only: what it did while this process itself stalled is unknown.
            if (
                last_ticks is not None
                and cpu_ticks is not None
                and before - changed_at >= CPU_IDLE_S
            ):
                self.detected.append(Stall(name, changed_at, before))
            self._watched[name] = (pid, cpu_ticks, now)

    def find_overlapping(self, begin, end):
        return [stall for stall in list(self.detected) if stall.overlaps(begin, end)]


def read_cpu_ticks(pid):
    """Return the CPU time that a process has used, in ticks, or `None` if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return int(fields[11]) + int(fields[12])
