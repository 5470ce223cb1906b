"""Simulated coordinators, engines and platform on one manual clock, with pauses inside calls."""

import random
from contextlib import suppress

from expression import Error, Ok

from laburnumreel.coordination import (
    AuthorityRegistry,
    JsonResponse,
    LeaseManager,
    OrderPlan,
    OrderReceivers,
    OrderSender,
)
from laburnumreel.core import ManualClock
from laburnumreel.state import ORDER_TABLE, Lease, LeaseSettings
from laburnumreel_standins import MemoryPlatform, PlatformState

LEASE = LeaseSettings(term_s=4.0, margin_s=0.5)
TICK_S = 0.1
LEASES = ("orders", "usage")


class ProcessEndedError(Exception):
    """The simulated process was killed or ended by its timer."""


class SimulatedTimer:
    """A process timer: the simulated process runs nothing after the armed time."""

    def __init__(self, clock, enabled):
        self._clock, self._enabled, self.end = clock, enabled, None

    def arm(self, end):
        self.end = end

    def disarm(self):
        self.end = None

    def check(self):
        if self._enabled and self.end is not None and self._clock.now() >= self.end:
            raise ProcessEndedError


class SimulatedPlatform(MemoryPlatform):
    """A platform client in whose calls the simulated process may be paused, cut off or killed."""

    def __init__(self, process):
        super().__init__(process.cluster.state, process.cluster.clock, process.sleep, timeout_s=0.5)
        self._process = process

    def _call(self, method, path, effect):
        self._process.maybe_pause("call")
        answer = super()._call(method, path, effect)
        self._process.maybe_pause("answer")
        return answer


class SimulatedLink:
    """A simulated process's connections to receivers, which ignore fencing numbers."""

    def __init__(self, process):
        self._process = process

    def connect(self, address):
        self._process.maybe_pause("connect")
        return (
            Error("cut off") if self._process.is_cut_off else Ok(SimulatedConnection(self._process))
        )

    def read(self, address, path):
        self._process.maybe_pause("call")
        if self._process.is_cut_off:
            return Error("cut off")
        return Ok(JsonResponse(200, self._process.cluster.order_lists(path, address)))


class SimulatedConnection:
    def __init__(self, process):
        self._process, self._answer = process, Error("no answer")
        self.abort = self.close = lambda: None

    def write(self, path, body, headers=None):
        process = self._process
        process.maybe_pause("write")
        if process.lost_requests > 0:
            process.lost_requests -= 1
            return Ok(None)
        if process.delivery_delay_s > 0:
            process.cluster.delayed.append(
                (process.cluster.clock.now() + process.delivery_delay_s, path, body)
            )
            return Ok(None)
        self._answer = process.cluster.receive(path, body, process)
        return Ok(None)

    def answer(self):
        self._process.maybe_pause("answer")
        if self._process.lost_answers > 0:
            self._process.lost_answers -= 1
            return Error("lost")
        return self._answer


class SimulatedCoordinator:
    """A coordinator process with lease task and order sender, without threads."""

    sender_type = OrderSender
    timer_enabled = True

    def __init__(self, cluster, number, boot):
        self.cluster, self.number = cluster, number
        self.is_cut_off, self.lost_requests, self.lost_answers, self.delivery_delay_s = (
            False,
            0,
            0,
            0.0,
        )
        self.pause = None
        self.timer = SimulatedTimer(cluster.clock, self.timer_enabled)
        self.authorities = AuthorityRegistry(cluster.clock)
        self.platform = SimulatedPlatform(self)
        name = f"node-{number}"
        leases = [Lease(lease, name, boot, *LEASE) for lease in LEASES]
        rng = random.Random(number)
        self.lease_manager = LeaseManager(
            self.platform, self.authorities, self.timer, cluster.clock, leases, LEASE, rng
        )
        link = SimulatedLink(self)
        self.sender = self.sender_type(
            self.platform,
            self.authorities,
            OrderReceivers(link, link, "platform"),
            cluster.clock,
            LEASE.margin_s,
            boot,
        )

    def sleep(self, seconds):
        self.cluster.run(seconds, excluding=self)
        self.timer.check()

    def maybe_pause(self, place):
        """Pause or kill the process here if a test requested it."""
        if self.pause is not None and self.pause[0] == place:
            _, seconds = self.pause
            self.pause = None
            if seconds is None:
                raise ProcessEndedError
            self.sleep(seconds)
        self.timer.check()

    def on_process_ended(self):
        """Handle the end of the process within a step."""

    def step(self):
        self.timer.check()
        self.lease_manager.step()
        for _ in range(5):
            if not self.sender.step():
                return


class SimulatedCluster:
    """All simulated processes and receivers, with an oracle that checks the received orders."""

    def __init__(self, coordinator_type, count=3):
        self.clock = ManualClock()
        self.state = PlatformState(fence_check=False)
        self.other_processes = []
        self.delayed, self.received, self.violations = [], [], []
        self._coordinator_type, self._boot_count, self._busy = coordinator_type, 0, set()
        self.engines = {}
        self.coordinators = [None] * count
        for number in range(count):
            self.restart(number)

    def restart(self, number):
        self._boot_count += 1
        self.coordinators[number] = self._coordinator_type(self, number, f"boot{self._boot_count}")

    def plan(self, number, wanted):
        engines = {name: name for name in ("e1", "e2")}
        self.coordinators[number].sender.handle(OrderPlan(tuple(wanted), engines))

    def run(self, seconds, excluding=None):
        if excluding is not None:
            self._busy.add(excluding)
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self._deliver_delayed()
            for group in (self.coordinators, self.other_processes):
                for number, process in enumerate(group):
                    if process not in self._busy and process is not None:
                        self._step(group, number, process)
        self._busy.discard(excluding)

    def _step(self, group, number, process):
        try:
            process.step()
        except ProcessEndedError:
            group[number] = None
            process.on_process_ended()
        finally:
            self._busy.discard(process)

    def receive(self, path, body, process=None):
        """Receive an order and record every rule that its arrival violates."""
        key = (
            f"engine:{body['arguments']['at']}" if path == "/orders" else self._zone_key(path, body)
        )
        row = self.state.read(ORDER_TABLE, key)
        if row is None or row.value["order_id"] != body["order_id"]:
            self.violations.append(f"{body} is not the newest order for {key}: {row}")
        elif row.value["state"] not in ("written", "sent"):
            self.violations.append(f"{body} arrived after it was settled: {row}")
        if self.received and body["fence"] < max(fence for _, fence, _ in self.received):
            self.violations.append(f"{body} arrived after an order of a successor")
        if any(order_id == body["order_id"] for _, _, order_id in self.received):
            self.violations.append(f"{body} arrived twice")
        self.received.append((key, body["fence"], body["order_id"]))
        return self.make_response({"order_id": body["order_id"], "state": "done"})

    def make_response(self, body):
        return Ok(JsonResponse(200, body))

    def order_lists(self, path, address):
        prefix = f"engine:{address}" if path == "/orders" else f"zone:{path.split('/')[2]}:"
        received_ids = [item for key, _, item in self.received if key.startswith(prefix)]
        items = [{"order_id": item, "state": "done"} for item in received_ids]
        return {"orders": items, "history": items, "last": None}

    def _zone_key(self, path, body):
        return f"zone:{path.split('/')[2]}:{body['service']}:{body['kind']}"

    def _deliver_delayed(self):
        due = [delayed for delayed in self.delayed if delayed[0] <= self.clock.now()]
        self.delayed = [delayed for delayed in self.delayed if delayed[0] > self.clock.now()]
        for _, path, body in due:
            with suppress(ProcessEndedError):
                self.receive(path, body)
