"""Coordinators, engines and the platform on one manual clock, with pauses inside calls."""

import random
from contextlib import suppress

from expression import Error, Ok

from laburnumreel.coordination import (
    Answer,
    AuthorityBoard,
    LeaseKeeper,
    OrderSender,
    Plan,
    Receivers,
)
from laburnumreel.core import ManualClock
from laburnumreel.state import ORDER_TABLE, Lease, LeaseSettings
from laburnumreel_standins import MemoryPlatform, PlatformState

LEASE = LeaseSettings(term_s=4.0, margin_s=0.5)
TICK_S = 0.1
LEASES = ("orders", "usage")


class DiedError(Exception):
    """The process was killed or ended by its timer."""


class SimulatedTimer:
    """The kernel's timer: the process runs nothing more once the armed time has passed."""

    def __init__(self, clock, works):
        self._clock, self._works, self.end = clock, works, None

    def arm(self, end):
        self.end = end

    def disarm(self):
        self.end = None

    def check(self):
        if self._works and self.end is not None and self._clock.now() >= self.end:
            raise DiedError


class SimulatedPlatform(MemoryPlatform):
    """A process's way to the platform, on which the process may be paused, cut off or killed."""

    def __init__(self, process):
        super().__init__(process.world.state, process.world.clock, process.sleep, timeout_s=0.5)
        self._process = process

    def _call(self, method, path, effect):
        self._process.reach("call")
        answer = super()._call(method, path, effect)
        self._process.reach("answer")
        return answer


class SimulatedLink:
    """A process's connections to receivers that ignore fencing numbers."""

    def __init__(self, process):
        self._process = process

    def connect(self, address):
        self._process.reach("connect")
        return Error("cut off") if self._process.cut else Ok(SimulatedConnection(self._process))

    def read(self, address, path):
        self._process.reach("call")
        if self._process.cut:
            return Error("cut off")
        return Ok(Answer(200, self._process.world.lists(path, address)))


class SimulatedConnection:
    def __init__(self, process):
        self._process, self._answer = process, Error("no answer")
        self.abort = self.close = lambda: None

    def write(self, path, body, headers=None):
        process = self._process
        process.reach("write")
        if process.lost_requests > 0:
            process.lost_requests -= 1
            return Ok(None)
        if process.late_s > 0:
            process.world.late.append((process.world.clock.now() + process.late_s, path, body))
            return Ok(None)
        self._answer = process.world.receive(path, body, process)
        return Ok(None)

    def answer(self):
        self._process.reach("answer")
        if self._process.lost_answers > 0:
            self._process.lost_answers -= 1
            return Error("lost")
        return self._answer


class SimulatedCoordinator:
    """One process: its lease keeper and order sender, without threads."""

    sender_type = OrderSender
    timer_works = True

    def __init__(self, world, number, boot):
        self.world, self.number = world, number
        self.cut, self.lost_requests, self.lost_answers, self.late_s = False, 0, 0, 0.0
        self.pause = None
        self.timer = SimulatedTimer(world.clock, self.timer_works)
        self.board = AuthorityBoard(world.clock)
        self.platform = SimulatedPlatform(self)
        name = f"node-{number}"
        leases = [Lease(lease, name, boot, *LEASE) for lease in LEASES]
        rng = random.Random(number)
        self.keeper = LeaseKeeper(
            self.platform, self.board, self.timer, world.clock, leases, LEASE, rng
        )
        link = SimulatedLink(self)
        self.sender = self.sender_type(
            self.platform,
            self.board,
            Receivers(link, link, "platform"),
            world.clock,
            LEASE.margin_s,
            boot,
        )

    def sleep(self, seconds):
        self.world.run(seconds, without=self)
        self.timer.check()

    def reach(self, place):
        """Pause or kill the process here if that was asked for."""
        if self.pause is not None and self.pause[0] == place:
            _, seconds = self.pause
            self.pause = None
            if seconds is None:
                raise DiedError
            self.sleep(seconds)
        self.timer.check()

    def died(self):
        """Called when the process has ended within a step."""

    def step(self):
        self.timer.check()
        self.keeper.step()
        for _ in range(5):
            if not self.sender.step():
                return


class World:
    """All processes and receivers, and the oracle of what the receivers get."""

    def __init__(self, coordinator_type, count=3):
        self.clock = ManualClock()
        self.state = PlatformState(fence_check=False)
        self.others = []
        self.late, self.received, self.violations = [], [], []
        self._type, self._boots, self._busy = coordinator_type, 0, set()
        self.engines = {}
        self.coordinators = [None] * count
        for number in range(count):
            self.restart(number)

    def restart(self, number):
        self._boots += 1
        self.coordinators[number] = self._type(self, number, f"boot{self._boots}")

    def plan(self, number, wanted):
        engines = {name: name for name in ("e1", "e2")}
        self.coordinators[number].sender.handle(Plan(tuple(wanted), engines))

    def run(self, seconds, without=None):
        if without is not None:
            self._busy.add(without)
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self._deliver_late()
            for group in (self.coordinators, self.others):
                for number, process in enumerate(group):
                    if process not in self._busy and process is not None:
                        self._step(group, number, process)
        self._busy.discard(without)

    def _step(self, group, number, process):
        try:
            process.step()
        except DiedError:
            group[number] = None
            process.died()
        finally:
            self._busy.discard(process)

    def receive(self, path, body, process=None):
        """Take an order, and note what is wrong with its coming now."""
        key = (
            f"engine:{body['arguments']['at']}" if path == "/orders" else self._zone_key(path, body)
        )
        row = self.state.read(ORDER_TABLE, key)
        if row is None or row.value["order_id"] != body["order_id"]:
            self.violations.append(f"{body} is not the newest order to {key}: {row}")
        elif row.value["state"] not in ("written", "sent"):
            self.violations.append(f"{body} comes after it was settled: {row}")
        if self.received and body["fence"] < max(fence for _, fence, _ in self.received):
            self.violations.append(f"{body} comes after an order of a successor")
        if any(order_id == body["order_id"] for _, _, order_id in self.received):
            self.violations.append(f"{body} comes twice")
        self.received.append((key, body["fence"], body["order_id"]))
        return self.answered({"order_id": body["order_id"], "state": "done"})

    def answered(self, body):
        return Ok(Answer(200, body))

    def lists(self, path, address):
        prefix = f"engine:{address}" if path == "/orders" else f"zone:{path.split('/')[2]}:"
        seen = [item for key, _, item in self.received if key.startswith(prefix)]
        items = [{"order_id": item, "state": "done"} for item in seen]
        return {"orders": items, "history": items, "last": None}

    def _zone_key(self, path, body):
        return f"zone:{path.split('/')[2]}:{body['service']}:{body['kind']}"

    def _deliver_late(self):
        due = [late for late in self.late if late[0] <= self.clock.now()]
        self.late = [late for late in self.late if late[0] > self.clock.now()]
        for _, path, body in due:
            with suppress(DiedError):
                self.receive(path, body)
