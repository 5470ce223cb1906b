"""Two of four machines are killed, those that read the workers' table; then a worker drains."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRunError,
    Client,
    Duties,
    Relay,
    Store,
    Worker,
    config,
    play,
    route,
)

HEARTBEAT_S = 1.2
CONTACT_S = 3.0
DRAIN_S = 2.5
# A worker serves on for DrainMs "and a little longer".
SERVES_ON_S = DRAIN_S + 0.2
# The longest outage of a killed machine on the site.
DOWN_S = 3.5
ROUNDS = 9
CLIENTS = 8
# Two of four machines, below the share of .6 that `herd_kill` takes.
RELAYS, KILLED = 4, 2
WORK_S = 0.1


class Fleet:
    """The workers, their heartbeats, and their leaving."""

    def __init__(self, store, record):
        self._store, self._record = store, record
        self.workers, self._states = [], {}
        self._lock = threading.Lock()
        threading.Thread(target=self._beat_on, daemon=True).start()

    def add(self, name):
        worker = Worker(name, "orders", self._record, WORK_S)
        with self._lock:
            self.workers.append(worker)
            self._states[worker] = "ready"
            self._write(worker)
        return worker

    def drain(self, worker):
        with self._lock:
            self._states[worker] = "draining"
            self._write(worker)
        self._record.add(f"{worker.name} reports draining; the store has acknowledged it")
        return time.monotonic()

    def leave(self, worker):
        self._record.add(f"{worker.name} exits, as it has said")
        worker.exit()
        with self._lock:
            del self._states[worker]
            self._store.put("servers", worker.name, None)

    def _write(self, worker):
        self._store.put("servers", worker.name, worker.entry(State=self._states[worker]))

    def _beat_on(self):
        while True:
            time.sleep(HEARTBEAT_S)
            with self._lock:
                for worker in self._states:
                    self._write(worker)


def find_others(store, relays):
    """Return the relays that do not follow the workers' table by long polls."""
    since = time.monotonic() - 3.0
    readers = {
        name
        for at, name, table, wait_ms in store.polls
        if at >= since and table == "servers" and wait_ms
    }
    return [relay for relay in relays if relay.name not in readers]


def case(record, folder, ends, trouble):
    store, duties = Store(), Duties(record)
    ends.callback(store.stop)
    ends.callback(duties.stop)
    routes = [route("book", "/book/", "orders", "non_idempotent")]
    tenant = {"Name": "hall", "ApiKeys": ["key-a"], "Priority": 1}
    store.put("op", "config", config(1, routes, ["orders"], [tenant]))
    fleet = Fleet(store, record)
    for number in range(3):
        fleet.add(f"w{number}")
    relays = []
    for number in range(RELAYS):
        name = f"relay-{number}"
        address = store.open_address(name).address
        relays.append(Relay(name, folder, store, duties, record, store_address=address))
        ends.callback(relays[-1].end)
    for relay in relays:
        relay.start()
    for relay in relays:
        relay.wait_ready()
    time.sleep(2 * CONTACT_S)
    calm = find_others(store, relays)
    if len(calm) != RELAYS - KILLED:
        raise CannotRunError("which relays read the table is not clear")
    names = " and ".join(relay.name for relay in calm)
    record.add(f"{names} are never disturbed; their clients are all there are")

    stopped = threading.Event()

    def send_on(client, name):
        number = 0
        while not stopped.is_set():
            number += 1
            client.send(f"{name}-{number}", "POST", f"/book/{name}-{number}")
            time.sleep(0.05)

    threads = [
        threading.Thread(
            target=send_on, args=(Client(calm[number % len(calm)], record), f"c{number}")
        )
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    late, cut = [], []
    for number in range(ROUNDS):
        leaving = fleet.workers[number]
        fleet.add(f"w{number + 3}")
        time.sleep(CONTACT_S)
        killed = [relay for relay in relays if relay not in calm] if trouble else []
        for relay in killed:
            relay.signal(signal.SIGKILL)
        time.sleep(0.1)
        told_at = fleet.drain(leaving)
        time.sleep(SERVES_ON_S)
        fleet.leave(leaving)
        time.sleep(max(0.0, told_at + DOWN_S - time.monotonic()))
        for relay in killed:
            relay.process.wait()
            relay.start()
        for relay in killed:
            relay.wait_ready()
        late += [run.request_id for run in leaving.runs if run.at > told_at + DRAIN_S]
        cut += [run.request_id for run in leaving.runs if run.request_id not in leaving.answered]
    stopped.set()
    for thread in threads:
        thread.join()
    record.add(f"requests that reached a worker later than DrainMs after its report: {late}")
    record.add(f"requests that a worker's exit cut off: {cut}")
    return BROKEN if late else HELD


play(__file__, case)
