"""When the process of a soak and its relays were held up, beside which their times are to be read."""

import threading
import time
from pathlib import Path
from typing import NamedTuple

# A thread that sleeps this long looks whether it woke late.
LOOK_S = 0.02
# Shorter times are usual on a machine that is in use.
MIN_S = 0.25
# A relay that runs uses processor time more often than this: its tasks wake several times a second.
# The kernel tells it in hundredths of a second.
IDLE_S = 1.0


class Stall(NamedTuple):
    """A time for which a process didn't run, though it would have."""

    who: str
    begin: float
    end: float

    def overlaps(self, begin, end):
        return self.begin < end and begin < self.end


class Stalls:
    """Watches this process, and others by the processor time that they use."""

    def __init__(self, clock=time.monotonic, sleep=time.sleep, used=None):
        self._clock, self._sleep = clock, sleep
        self._used = used or processor_time
        self._watched = {}
        self._ended = threading.Event()
        self.found = []
        # The longest that a thread of this process was held up.
        self.lag_s = 0.0

    def watch(self, name, pid):
        """Watch another process too, from now on."""
        self._watched[name] = (pid, None, self._clock())

    def start(self):
        threading.Thread(target=self._run, daemon=True).start()

    def end(self):
        self._ended.set()

    def _run(self):
        while not self._ended.is_set():
            self.look()

    def look(self):
        """Sleep for a moment, and note who was held up."""
        before = self._clock()
        self._sleep(LOOK_S)
        now = self._clock()
        lag_s = now - before - LOOK_S
        self.lag_s = max(self.lag_s, lag_s)
        if lag_s >= MIN_S:
            self.found.append(Stall("this process", before, now))
        for name, (pid, known, since) in list(self._watched.items()):
            used = self._used(pid)
            if used == known:
                continue
            # What it did while this process was held up itself is not known.
            if known is not None and used is not None and before - since >= IDLE_S:
                self.found.append(Stall(name, since, before))
            self._watched[name] = (pid, used, now)

    def within(self, begin, end):
        return [stall for stall in list(self.found) if stall.overlaps(begin, end)]


def processor_time(pid):
    """Return the processor time that a process has used, in ticks, or nothing where it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return int(fields[11]) + int(fields[12])
