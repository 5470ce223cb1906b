"""Simulated gateways that count usage and coordinators that seal it, on a simulated clock."""

from contextlib import suppress

from simulated_cluster import (
    TICK_S,
    ProcessEndedError,
    SimulatedCluster,
    SimulatedCoordinator,
    SimulatedLink,
    SimulatedPlatform,
)

from laburnumreel.coordination import UsageFlusher, UsageSealer
from laburnumreel.coordination._usage_flush import CountMessage
from laburnumreel.state import UsageCount, UsageFigures, UsageSettings

USAGE_SETTINGS = UsageSettings(window_s=5, flush_s=0.5, shards=2, grace_s=1.0)
RETENTION_S = 10.0
# Time that a planned stop has to flush, longer than all pauses and lost answers together: each
# window that passes in a pause needs one more flush.
STOP_GRACE_S = 60.0
CUSTOMERS = ("hall-a", "hall-b", "hall-c")


class SealingCoordinator(SimulatedCoordinator):
    """A coordinator that also seals usage."""

    sealer_type = UsageSealer

    def __init__(self, cluster, number, boot):
        super().__init__(cluster, number, boot)
        self.sealer = self.sealer_type(
            self.platform,
            self.authorities,
            SimulatedLink(self),
            "platform",
            cluster.clock,
            USAGE_SETTINGS,
            RETENTION_S,
        )

    def step(self):
        self.timer.check()
        self.lease_manager.step()
        self.sealer.tick()

    def stop(self):
        """Release the leases, as a planned stop does."""
        self.lease_manager.close()


class ObservedFlush(UsageFlusher):
    """A flush that records for the oracle which counts it drops that may not be stored."""

    def _drop_batch(self, batch):
        super()._drop_batch(batch)
        for figures in batch.deltas.values():
            for customer, item in figures.items():
                self._platform._process.cluster.lost["low"][customer] += item.requests


class SimulatedGateway:
    """A gateway's usage flush, without threads."""

    flush_type = ObservedFlush

    retention_s = RETENTION_S

    def __init__(self, cluster, number, boot):
        self.cluster, self.pause = cluster, None
        self.platform = SimulatedPlatform(self)
        name = f"gateway-{number}"
        self.flush = self.flush_type(
            self.platform, name, boot, USAGE_SETTINGS, cluster.clock, self.retention_s
        )
        self._next_flush = 0.0
        self._requests = 0

    def sleep(self, seconds):
        self.cluster.run(seconds, excluding=self)

    def maybe_pause(self, pause_point):
        if self.pause is not None and self.pause[0] == pause_point:
            _, seconds = self.pause
            self.pause = None
            if seconds is None:
                raise ProcessEndedError
            self.sleep(seconds)

    def count(self, customer, behind_s=0.0):
        self._requests += 1
        self.cluster.counted[customer] += 1
        count = UsageCount(customer, "quoting", 1, 7, 3)
        wall = self.cluster.clock.wall() - behind_s
        # Every other request is counted twice, as a retried clean-up would do.
        for _ in range(1 + self._requests % 2):
            self.flush.handle(CountMessage((f"request-{self._requests}", count, wall)))

    def step(self):
        if self.cluster.clock.now() >= self._next_flush:
            self._next_flush = self.cluster.clock.now() + USAGE_SETTINGS.flush_s
            self.flush.flush()

    def stop(self):
        """Flush until nothing is left, for a limited time, as a planned stop does."""
        give_up_at = self.cluster.clock.now() + STOP_GRACE_S
        while not self.flush.handle("flush") and self.cluster.clock.now() < give_up_at:
            self.sleep(TICK_S)
        self.flush.close()
        if not self.flush._deltas.is_empty and not any(self.platform.faults.values.values()):
            self.cluster.violations.append("usage was lost by a planned stop with a sound store")

    def on_process_ended(self):
        """Record the counts that the process lost when it died.

        Those that were waiting are lost for certain, those of the open batch may be.
        """
        deltas = self.flush._deltas
        batch = deltas.batch.deltas if deltas.batch else {}
        for held, bounds in ((deltas._pending, ("low", "high")), (batch, ("low",))):
            for figures in held.values():
                for customer, item in figures.items():
                    for bound in bounds:
                        self.cluster.lost[bound][customer] += item.requests


class UsageWorld(SimulatedCluster):
    """A world that compares the usage counted with the usage reported to the platform."""

    gateway_type = SimulatedGateway

    def __init__(self, coordinator_type=SealingCoordinator, gateway_type=SimulatedGateway):
        self.counted = dict.fromkeys(CUSTOMERS, 0)
        self.lost = {"low": dict.fromkeys(CUSTOMERS, 0), "high": dict.fromkeys(CUSTOMERS, 0)}
        self.reports, self.usage_fence = {}, 0
        super().__init__(coordinator_type, count=2)
        self._gateway_type = gateway_type
        self.other_processes = [None, None]
        for number in range(2):
            self.restart_gateway(number)

    def restart_gateway(self, number):
        if self.other_processes[number] is not None:
            self.other_processes[number].on_process_ended()
        self._boot_count += 1
        self.other_processes[number] = self._gateway_type(self, number, f"boot{self._boot_count}")

    def receive(self, path, body, process=None):
        fence = process.sealer._fence if process is not None else self.usage_fence
        key = body["customer"], body["window"]
        if fence < self.usage_fence:
            self.violations.append(f"{body} was sent after a report of a successor")
        if self.reports.setdefault(key, body["figures"]) != body["figures"]:
            self.violations.append(f"{body} differs from {self.reports[key]}")
        self.usage_fence = max(fence, self.usage_fence)
        return super().make_response(body)

    def stop_all(self, gateways, coordinators):
        """Stop processes together and start them again."""
        for number in gateways:
            if self.other_processes[number] is not None:
                with suppress(ProcessEndedError):
                    self.other_processes[number].stop()
        for number in coordinators:
            if self.coordinators[number] is not None:
                with suppress(ProcessEndedError):
                    self.coordinators[number].stop()
        for number in gateways:
            self.restart_gateway(number)
        for number in coordinators:
            self.restart(number)

    def heal(self):
        """End all faults and wait until all remaining usage is reported."""
        for number, process in enumerate(self.coordinators):
            if process is None:
                self.restart(number)
                continue
            process.pause, process.is_cut_off = None, False
            process.lost_requests, process.lost_answers, process.delivery_delay_s = 0, 0, 0.0
        for process in [*self.coordinators, *self.other_processes]:
            if process is not None:
                process.pause = None
                process.platform.faults.change(
                    {
                        "down": False,
                        "delay_s": 0.0,
                        "delay_after_s": 0.0,
                        "lose_answers": 0,
                        "lose_requests": 0,
                    }
                )
        self.run(45.0)

    def check_totals(self):
        """Check that the reported usage of each customer matches the counted usage."""
        for customer in CUSTOMERS:
            reported = sum(
                UsageFigures.from_value(figures).requests
                for (name, _), figures in self.reports.items()
                if name == customer
            )
            low = self.counted[customer] - self.lost["low"][customer]
            high = self.counted[customer] - self.lost["high"][customer]
            assert low <= reported <= high, f"{customer}: {reported} is not in {low}..{high}"
