"""The coordinator process, which holds leases, sends orders, and seals and reports usage."""

import contextlib
import random
import secrets
import signal
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from laburnumreel.coordination import (
    ORDERS_LEASE,
    SNAPSHOT_LEASE,
    USAGE_LEASE,
    AlarmTimer,
    AuthorityRegistry,
    ClaimState,
    ConfigSync,
    HeldPartStatus,
    LeaseholderTask,
    LeaseManager,
    NodeStatus,
    NullGossipDelegate,
    OrderLink,
    OrderPlanner,
    OrderReceivers,
    OrderSender,
    PeerExchange,
    ProcessTimer,
    SnapshotWriter,
    UsageSealer,
)
from laburnumreel.core import Log, SignalQueue, SystemClock, Task, define_event
from laburnumreel.state import Configuration, HttpPlatform, Lease, Settings
from laburnumreel.transport import (
    HttpLoadReader,
    HttpOrderLink,
    PeerClient,
    PeerServer,
    create_admin_server,
)

COORDINATOR_STARTED = define_event(130, "coordinator_started", "the coordinator is running")
COORDINATOR_STOPPING = define_event(
    131, "coordinator_stopping", "the coordinator received a stop signal"
)
COORDINATOR_STOPPED = define_event(132, "coordinator_stopped", "the coordinator has stopped")

TASK_THREADS = 16
LOAD_READER_THREADS = 8
STOP_TIMEOUT_S = 30.0

_log = Log("coordinator")


class Coordinator:
    """Creates the tasks of a coordinator and runs them until a stop signal.

    Tests pass `wrap_link` and `timer` to intercept the order sender's connections and its timer.
    """

    def __init__(
        self,
        settings: Settings,
        timer: ProcessTimer | None = None,
        wrap_link: Callable[[OrderLink], OrderLink] = lambda link: link,
    ) -> None:
        # Threads inherit the blocked signal, so it must be blocked before the first one starts.
        AlarmTimer.prepare()
        self._stop_signals = SignalQueue.install(signal.SIGTERM, signal.SIGINT)
        self._settings = settings
        self._boot = secrets.token_hex(8)
        self._clock = SystemClock()
        self._stopping = False
        platform_settings, margin_s = settings.platform, settings.lease.margin_s
        self._platform = HttpPlatform(
            platform_settings.address, platform_settings.timeout_s, platform_settings.token
        )
        self._authorities = AuthorityRegistry(self._clock)
        self._lease_manager = self._make_lease_manager(timer or AlarmTimer(self._clock))
        engine_link = HttpOrderLink(platform_settings.timeout_s, margin_s)
        platform_link = wrap_link(
            HttpOrderLink(platform_settings.timeout_s, margin_s, platform_settings.token)
        )
        receivers = OrderReceivers(wrap_link(engine_link), platform_link, platform_settings.address)
        self._order_sender = OrderSender(
            self._platform, self._authorities, receivers, self._clock, margin_s, self._boot
        )
        self._usage_sealer = UsageSealer(
            self._platform,
            self._authorities,
            platform_link,
            platform_settings.address,
            self._clock,
            settings.usage,
        )
        self._leaseholder_task = LeaseholderTask(
            [self._order_sender.tick, self._usage_sealer.tick], self._order_sender.handle
        )
        self._load_executor = ThreadPoolExecutor(LOAD_READER_THREADS, "loads")
        peer_client = PeerClient()
        self._config = ConfigSync.from_settings(settings, self._platform, peer_client, self._clock)
        self._peer_exchange = PeerExchange(
            settings,
            self._config,
            peer_client,
            NullGossipDelegate(),
            "coordinator",
            self._boot,
            self._clock,
        )
        self._peer_server = PeerServer(
            settings.listen.coordinator_peers, self._peer_exchange, self._config, self
        )
        self._planner = OrderPlanner(
            self._platform,
            self._authorities,
            HttpLoadReader(engine_link),
            self._load_executor,
            self._current_configuration,
            self._leaseholder_task.tell,
        )
        self._snapshot_writer = SnapshotWriter(
            self._platform, self._authorities, self._current_configuration
        )
        self._admin_server = create_admin_server(
            settings.listen.coordinator_admin, self._check_readiness
        )

    @property
    def leases(self) -> tuple[str, ...]:
        """The names of the leases held now."""
        return self._authorities.names

    def run(self) -> int:
        """Run until SIGTERM and return the exit code."""
        leaseholder_executor = ThreadPoolExecutor(
            1, "acting", initializer=AlarmTimer.unblock_in_this_thread
        )
        with (
            leaseholder_executor,
            self._load_executor,
            ThreadPoolExecutor(TASK_THREADS, "task") as executor,
        ):
            self._leaseholder_task.start(leaseholder_executor)
            tasks: list[Task] = [
                self._lease_manager,
                self._config,
                self._peer_exchange,
                self._planner,
                self._snapshot_writer,
            ]
            for task in tasks:
                task.start(executor)
            self._admin_server.start(executor)
            self._peer_server.start(executor)
            _log.info(COORDINATOR_STARTED, node=self._settings.node.name, boot=self._boot)
            self._stop_signals.wait()
            self._shut_down(tasks)
        return 0

    def _shut_down(self, tasks: list[Task]) -> None:
        _log.info(COORDINATOR_STOPPING, leases=list(self.leases))
        self._stopping = True
        self._peer_server.stop()
        for task in (*reversed(tasks[1:]), self._leaseholder_task):
            with contextlib.suppress(TimeoutError):
                task.stop(STOP_TIMEOUT_S)
        if self._order_sender.has_uncertain_orders:
            # A copy of the last order may still arrive, so a successor must wait until the term ends.
            self._lease_manager.tell(("lapse", ORDERS_LEASE))
        self._lease_manager.stop(STOP_TIMEOUT_S)
        self._admin_server.stop()
        _log.info(COORDINATOR_STOPPED)

    def _make_lease_manager(self, timer: ProcessTimer) -> LeaseManager:
        settings = self._settings
        term_s, margin_s = settings.lease
        leases = [
            Lease(name, settings.node.name, self._boot, term_s, margin_s)
            for name in (ORDERS_LEASE, USAGE_LEASE, SNAPSHOT_LEASE)
        ]
        timeout_s = LeaseManager.call_timeout_s(settings.lease)
        platform = HttpPlatform(settings.platform.address, timeout_s, settings.platform.token)
        return LeaseManager(
            platform, self._authorities, timer, self._clock, leases, settings.lease, random.Random()
        )

    def status(self) -> NodeStatus:
        """Return the state of this coordinator for operators."""
        node, configuration = self._settings.node, self._config.configuration
        return NodeStatus(
            name=node.name,
            role="coordinator",
            zone=node.zone,
            boot=self._boot,
            ready=self._is_ready,
            stopping=self._stopping,
            config_version=configuration.version,
            config_digest=configuration.digest,
            running=0,
            store_reachable=self._lease_manager.store_reachable,
            leases=self.leases,
        )

    def claim_state(self, claim_key: str) -> ClaimState:
        """Return that the request does not run here, as coordinators run no requests."""
        return ClaimState(self._boot, False)

    def held_parts(self) -> list[HeldPartStatus]:
        """Return no parts, as coordinators run no requests."""
        return []

    def release_part(self, part: str) -> bool:
        """Return that the part was not held here."""
        return False

    @property
    def _is_ready(self) -> bool:
        return (
            self._config.ready
            and self._lease_manager.store_reachable
            and not self._stopping
            and not self._usage_sealer.has_format_mismatch
        )

    def _current_configuration(self) -> Configuration | None:
        return self._config.configuration if self._config.ready else None

    def _check_readiness(self) -> tuple[bool, dict[str, Any]]:
        return self._is_ready, {
            "stopping": self._stopping,
            "leases": list(self.leases),
            "usage_format_differs": self._usage_sealer.has_format_mismatch,
            "configuration": self._config.configuration.version,
        }


def run(settings: Settings) -> int:
    """Run a coordinator until a stop signal and return the exit code."""
    return Coordinator(settings).run()
