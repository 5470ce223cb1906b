"""When the process of a soak and its relays were held up, beside which their times are to be read."""

import threading
import time
from pathlib import Path
from typing import NamedTuple

# A thread that sleeps this long looks whether it woke late.
POLL_INTERVAL_S = 0.02
# Shorter times are usual on a machine that is in use.
MIN_STALL_S = 0.25
# A relay that runs uses processor time more often than this: its tasks wake several times a second.
# The kernel tells it in hundredths of a second.
CPU_IDLE_S = 1.0


class Stall(NamedTuple):
    """A time for which a process didn't run, though it would have."""

    process_name: str
    begin: float
    end: float

    def overlaps(self, begin, end):
        return self.begin < end and begin < self.end


class StallDetector:
    """Watches this process, and others by the processor time that they use."""

    def __init__(self, clock=time.monotonic, sleep=time.sleep, read_ticks=None):
        self._clock, self._sleep = clock, sleep
        self._read_ticks = read_ticks or read_cpu_ticks
        self._watched = {}
        self._ended = threading.Event()
        self.detected = []
        # The longest that a thread of this process was held up.
        self.max_lag_s = 0.0

    def watch(self, name, pid):
        """Watch another process too, from now on."""
        self._watched[name] = (pid, None, self._clock())

    def start(self):
        threading.Thread(target=self._run, daemon=True).start()

    def end(self):
        self._ended.set()

    def _run(self):
        while not self._ended.is_set():
            self.poll()

    def poll(self):
        """Sleep for a moment, and note who was held up."""
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
            # What it did while this process was held up itself is not known.
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
    """Return the processor time that a process has used, in ticks, or nothing where it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return int(fields[11]) + int(fields[12])
