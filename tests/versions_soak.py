"""Soak of streams beside several software versions, lost hosts and lost links.

Servers of up to three versions come and go, break off and fall silent; relays are killed, all of
them at times, and cut off from all servers. Callers take their streams up at any relay. No stream
may hold events of two versions, nor skip or repeat one.

    python tests/versions_soak.py --first 1 --seeds 50 --seconds 15
"""

import argparse
import contextlib
import http.client
import random
import shutil
import sys
import tempfile
import threading
import time
from collections import Counter
from typing import NamedTuple

from cut_links import FORMS, CutLinks
from mixed_versions import EVENTS, Stream, VersionedStream
from platform_world import World

RELAYS = 3
SERVERS = 6
CALLERS = 8
TRIES = 4
DEADLINE_MS = 3000
# Pause of a caller before it takes a stream up, at most.
MAX_RETURN_S = 0.4


class Finding(NamedTuple):
    """A stream that broke a rule, and the events that its caller has."""

    kind: str
    stream: str
    events: tuple[tuple[int, str], ...]


class VersionsSoak:
    """One seed: the random series of faults, the callers, and what they found."""

    def __init__(self, seed, seconds, folder):
        self.seconds = seconds
        self._rng = random.Random(seed)
        self._seed = seed
        self.world = World(folder)
        self.world.extra_settings = "[retry]\nslack = 1000\n"
        self._links = [CutLinks(self.world, f"relay-{number}") for number in range(RELAYS)]
        self.findings = []
        self.outcomes, self.faults = Counter(), Counter()
        self._version, self._servers = 1, 0
        # The relay at each place; None while there is none.
        self._relays = [None] * RELAYS
        self._is_over = threading.Event()

    def run(self):
        try:
            for _ in range(SERVERS):
                self._add_server()
            for number in range(RELAYS):
                self._relays[number] = self.world.start_relay(f"relay-{number}")
            callers = [
                threading.Thread(
                    target=self._call, args=(number, random.Random(self._seed + number))
                )
                for number in range(CALLERS)
            ]
            for each in callers:
                each.start()
            until = time.monotonic() + self.seconds
            while time.monotonic() < until:
                time.sleep(self._rng.uniform(0.1, 0.7))
                self._inject()
            self._is_over.set()
            for each in callers:
                each.join()
        finally:
            self._is_over.set()
            for each in self._links:
                each.end()
            self.world.end()

    def _inject(self):
        names = [
            "release", "release", "break_off", "break_off", "break_off", "silence",
            "kill_relay", "kill_all", "cut", "heal",
        ]  # fmt: skip
        name = self._rng.choice(names)
        self.faults[name] += 1
        getattr(self, f"_{name}")()

    def _add_server(self):
        self._servers += 1
        name, software = f"s{self._servers}", f"v{self._version}"
        self.world.worker(name, "quotes", VersionedStream(software), Version=software)

    def _release(self):
        """Add servers of a newer version, and remove most or all of the older ones."""
        self._version += 1
        older = self._listed()
        for _ in range(self._rng.randrange(2, 5)):
            self._add_server()
        keep = self._rng.choice([0, 0, 1, 2])
        for name in older[keep:]:
            worker = self.world.workers[name]
            entry = self.world.store.value("servers", name)
            self.world.store.put("servers", name, {**entry, "State": "draining", "Sequence": 2})
            worker.default_answer.breaks = self._rng.choice([0, 0, 3])
            if self._rng.random() < 0.6:
                self.world.store.put("servers", name, None)

    def _listed(self):
        return [
            name
            for name in self.world.workers
            if self.world.store.value("servers", name) is not None
        ]

    def _break_off(self):
        for name in self._listed():
            answer = self.world.workers[name].default_answer
            answer.breaks = self._rng.randrange(6)
            answer.break_after = self._rng.randrange(1, EVENTS)
            answer.breaks_resumed = self._rng.random() < 0.5
            answer.silent_s = None

    def _silence(self):
        name = self._rng.choice(self._listed())
        answer = self.world.workers[name].default_answer
        answer.breaks, answer.silent_s = 2, self._rng.uniform(0.5, 2.0)

    def _kill_relay(self):
        self._restart([self._rng.randrange(RELAYS)])

    def _kill_all(self):
        self._restart(range(RELAYS))

    def _restart(self, numbers):
        numbers = list(numbers)
        for number in numbers:
            relay = self._relays[number]
            if relay is not None:
                relay.process.kill()
                relay.process.wait()
        for number in numbers:
            self._relays[number] = self.world.launch_relay(f"relay-{number}")

    def _cut(self):
        self._rng.choice(self._links).cut(self._rng.choice(FORMS))

    def _heal(self):
        for each in self._links:
            each.heal()

    def _call(self, number, rng):
        """Begin streams one after the other, and take each up wherever it breaks off."""
        count = 0
        while not self._is_over.is_set():
            count += 1
            stream = Stream(f"c{number}-{count}", deadline_ms=DEADLINE_MS)
            began_at = time.monotonic()
            while stream.tries < TRIES and time.monotonic() - began_at < DEADLINE_MS / 1000:
                had_events = bool(stream.events)
                relay = rng.choice([each for each in self._relays if each is not None])
                with contextlib.suppress(OSError, http.client.HTTPException):
                    stream.ask(relay)
                if had_events:
                    self.outcomes["taken up" if stream.status == 200 else stream.status] += 1
                if stream.is_complete:
                    break
                time.sleep(rng.uniform(0.0, MAX_RETURN_S))
            self._check(stream)

    def _check(self, stream):
        self.outcomes["complete" if stream.is_complete else "incomplete"] += 1
        numbers = [event for event, _ in stream.events]
        if len(stream.versions) > 1:
            self.findings.append(Finding("versions", stream.request_id, tuple(stream.events)))
        if numbers != list(range(1, len(numbers) + 1)):
            self.findings.append(Finding("order", stream.request_id, tuple(stream.events)))
        if stream.is_complete and len(numbers) != EVENTS:
            self.findings.append(Finding("short", stream.request_id, tuple(stream.events)))


def run_seed(seed, seconds, keep=None):
    """Run one seed and return the soak; logs are kept in `keep` if there are findings."""
    with tempfile.TemporaryDirectory() as folder:
        soak = VersionsSoak(seed, seconds, folder)
        soak.run()
        if keep and soak.findings:
            shutil.copytree(folder, f"{keep}/seed-{seed}", dirs_exist_ok=True)
    return soak


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keep", help="directory for the host logs of seeds with findings")
    options = parser.parse_args()
    failed, outcomes = 0, Counter()
    for seed in range(options.first, options.first + options.seeds):
        soak = run_seed(seed, options.seconds, options.keep)
        failed += bool(soak.findings)
        outcomes.update(soak.outcomes)
        print(seed, dict(soak.outcomes), dict(soak.faults), *soak.findings, flush=True)
    print(f"{options.seeds} seeds, {failed} with findings: {dict(outcomes)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
