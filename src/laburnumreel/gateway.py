"""The gateway process, which serves callers. It never sends orders."""

import contextlib
import gc
import math
import random
import secrets
import signal
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from laburnumreel.coordination import (
    ClaimState,
    ConfigSync,
    HeldPartStatus,
    NodeStatus,
    NodeUpdate,
    PeerExchange,
    UsageFlusher,
    format_address,
    parse_address,
)
from laburnumreel.core import (
    AnswerMemory,
    Log,
    RequestMemory,
    SignalQueue,
    SystemClock,
    Task,
    define_event,
    limit_heap,
)
from laburnumreel.serving import (
    STORED_ANSWER_BYTES,
    AdmissionSlots,
    Application,
    Credentials,
    Dispatcher,
    FleetPoller,
    GatewayDependencies,
    RequestRegistry,
)
from laburnumreel.state import (
    Claims,
    Configuration,
    HttpPlatform,
    PeerClaim,
    Settings,
    WithdrawnKeys,
)
from laburnumreel.transport import (
    REQUEST_BYTES,
    BackEndPool,
    HttpServer,
    PeerClient,
    PeerServer,
    create_admin_server,
)

GATEWAY_STARTED = define_event(101, "gateway_started", "the gateway is serving callers")
GATEWAY_STOPPING = define_event(102, "gateway_stopping", "the gateway received a stop signal")
GATEWAY_STOPPED = define_event(103, "gateway_stopped", "the gateway has stopped")
STOP_INCOMPLETE = define_event(
    104, "stop_incomplete", "requests are still running after the grace time of a planned stop"
)
KEYS_UNVERIFIABLE = define_event(
    105,
    "keys_unverifiable",
    "withdrawals of keys cannot be received; requests with a key are refused until they can",
)
KEYS_VERIFIABLE = define_event(
    106, "keys_verifiable", "withdrawals of keys can be received; requests with a key are admitted"
)

BACKGROUND_THREADS = 4
TASK_THREADS = 16
STOP_POLL_INTERVAL_S = 0.05
# Minimum time to send the last answers, also to requests that are aborted at the end of the grace
# time.
FINAL_ANSWERS_S = 1.0
# How often expired idle connections are closed.
PRUNE_INTERVAL_S = 5.0
# Number of allocations between garbage collections of the youngest generation.
GC_THRESHOLD = 20_000
LOCAL_UPDATE_TIMEOUT_S = 1.0

_log = Log("gateway")


class _ThriftClaimPeers:
    """Queries peers about claims over thrift."""

    def __init__(self, peer_client: PeerClient) -> None:
        self._peer_client = peer_client

    def claim_state(self, address: str, claim_key: str) -> PeerClaim | None:
        parsed = parse_address(address)
        if parsed is None:
            return None
        answer = self._peer_client.claim_state(parsed, claim_key)
        return PeerClaim(*answer.ok) if answer.is_ok() else None


class Gateway:
    """Creates the tasks of a gateway and runs them until a stop signal."""

    def __init__(self, settings: Settings) -> None:
        self._stop_signals = SignalQueue.install(signal.SIGTERM, signal.SIGINT)
        self._settings = settings
        self._boot = secrets.token_hex(8)
        self._clock = SystemClock()
        self._rng = random.Random()
        self._stopping = False
        node = settings.node
        platform = HttpPlatform(
            settings.platform.address, settings.platform.timeout_s, settings.platform.token
        )
        self._peer_client = PeerClient()
        self._config = ConfigSync.from_settings(settings, platform, self._peer_client, self._clock)
        self._dispatcher = Dispatcher(
            self._clock,
            node.zone,
            node.region,
            self._rng,
            gateways=max(1, len(settings.peers.gateways)),
        )
        self._registry = RequestRegistry(self._clock, self._should_cut_streams)
        self._usage = UsageFlusher.from_settings(settings, platform, self._boot, self._clock)
        self._fleet_poller = FleetPoller(platform, self._dispatcher)
        self._peer_exchange = PeerExchange(
            settings, self._config, self._peer_client, self, boot=self._boot, clock=self._clock
        )
        self._peer_server = PeerServer(
            settings.listen.peers, self._peer_exchange, self._config, self
        )
        self._claims = Claims(
            platform,
            node.name,
            self._boot,
            format_address(settings.listen.peers),
            _ThriftClaimPeers(self._peer_client),
        )
        self._credentials = Credentials()
        self._background = ThreadPoolExecutor(BACKGROUND_THREADS, "background")
        self._pool = BackEndPool()
        self._slots = AdmissionSlots(settings.threads.callers)
        answer_memory = AnswerMemory.from_host(
            settings.memory.host_mb, settings.threads.callers, STORED_ANSWER_BYTES
        )
        self._application = Application(
            GatewayDependencies(
                clock=self._clock,
                config=self._config,
                dispatcher=self._dispatcher,
                registry=self._registry,
                usage=self._usage,
                claims=self._claims,
                pool=self._pool,
                slots=self._slots,
                credentials=self._credentials,
                pepper=settings.pepper,
                are_keys_verifiable=self._peer_exchange.keys_verifiable,
                background=self._background,
                rng=self._rng,
                answer_memory=answer_memory,
            )
        )
        threads = settings.threads.callers + settings.threads.reserve
        request_memory = RequestMemory.from_host(
            settings.memory.host_mb, self._clock, REQUEST_BYTES
        )
        self._caller_server = HttpServer(
            self._application,
            settings.listen.callers,
            threads,
            request_memory=request_memory,
            count_refused_answers=lambda: answer_memory.refused_count,
        )
        self._admin_server = create_admin_server(
            settings.listen.admin, self._check_readiness, request_memory=request_memory
        )
        self._keys_verified_at = self._clock.now()
        self._were_keys_verifiable = False
        self._config.subscribe(self._on_configuration)
        self._dispatcher.set_update_listener(self._peer_exchange.exchange_now)

    @property
    def stopping(self) -> bool:
        """Whether this gateway refuses new work. Part of its updates to peers."""
        return self._stopping

    def local_update(self, now: float) -> NodeUpdate:
        """Return this gateway's update for its peers."""
        return self._dispatcher.local_update().result(LOCAL_UPDATE_TIMEOUT_S)

    def on_peer_update(self, peer: str, update: NodeUpdate, now: float) -> None:
        """Apply the update of a peer."""
        self._dispatcher.on_peer_update(peer, update)

    def on_peer_holds(self, held_parts: Mapping[str, float]) -> None:
        """Apply the held parts of prompts in a peer's answer."""
        self._dispatcher.on_peer_holds(held_parts)

    def status(self) -> NodeStatus:
        """Return the state of this gateway for operators."""
        configuration, node = self._config.configuration, self._settings.node
        return NodeStatus(
            name=node.name,
            role="gateway",
            zone=node.zone,
            boot=self._boot,
            ready=self._check_readiness()[0],
            stopping=self._stopping,
            config_version=configuration.version,
            config_digest=configuration.digest,
            running=self._slots.in_use,
            store_reachable=self._config.store_reachable,
        )

    def claim_state(self, claim_key: str) -> ClaimState:
        """Return whether the request of a claim runs here, for a peer."""
        return ClaimState(self._boot, self._claims.is_running(claim_key))

    def held_parts(self) -> list[HeldPartStatus]:
        """Return the held parts of prompts, for operators."""
        return self._dispatcher.list_held_parts()

    def release_part(self, part: str) -> bool:
        """Let a held part of prompts go, and return whether it was held."""
        return self._dispatcher.release_part(part)

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""
        with ThreadPoolExecutor(TASK_THREADS, "task") as executor:
            tasks: list[Task] = [
                self._dispatcher,
                self._registry,
                self._config,
                self._usage,
                self._fleet_poller,
                self._peer_exchange,
            ]
            for task in tasks:
                task.start(executor)
            self._peer_server.start(executor)
            self._admin_server.start(executor)
            self._caller_server.start(executor)
            _configure_garbage_collector()
            _log.info(GATEWAY_STARTED, node=self._settings.node.name, boot=self._boot)
            while not self._stop_signals.wait(PRUNE_INTERVAL_S):
                self._pool.prune()
            self._shut_down(tasks)
        return 0

    def _shut_down(self, tasks: list[Task]) -> None:
        stop = self._settings.stop
        _log.info(GATEWAY_STOPPING, running=self._slots.in_use)
        self._stopping = True
        self._caller_server.close_after_answers()
        time.sleep(stop.notice_s)
        self._application.stop_admitting()
        give_up_at = self._clock.now() + stop.grace_s
        while not self._is_idle():
            if self._clock.now() >= give_up_at:
                _log.error(
                    STOP_INCOMPLETE, running=self._slots.in_use, claims=self._claims.running_count
                )
                self._registry.abort_all()
                self._caller_server.wait_until_idle(FINAL_ANSWERS_S)
                break
            time.sleep(STOP_POLL_INTERVAL_S)
        store_until = self._clock.now() + stop.grace_s
        self._usage.flush_all(stop.grace_s)
        # Requests that were refused meanwhile may still be unanswered.
        self._caller_server.stop(max(FINAL_ANSWERS_S, give_up_at - self._clock.now()))
        self._peer_server.stop()
        # Peers can confirm no further withdrawals here.
        self._config.store_withdrawals(max(0.0, store_until - self._clock.now()))
        for task in reversed(tasks):
            with contextlib.suppress(TimeoutError):
                task.stop()
        self._background.shutdown(wait=False, cancel_futures=True)
        self._pool.close()
        self._peer_client.close()
        self._admin_server.stop()
        _log.info(GATEWAY_STOPPED)

    def _is_idle(self) -> bool:
        """Return whether no request runs and no answer waits for its caller or the store."""
        return (
            not self._slots.in_use
            and not self._claims.running_count
            and self._caller_server.is_idle()
        )

    def _on_configuration(self, configuration: Configuration, withdrawn: WithdrawnKeys) -> None:
        self._registry.on_keys_withdrawn(withdrawn)
        self._credentials.load(configuration)
        self._dispatcher.configure(configuration)
        sizes = [profile.max_body_bytes for profile in configuration.profiles.values()]
        if sizes:
            self._caller_server.set_max_body_bytes(max(sizes))

    def _should_cut_streams(self, now: float) -> bool:
        """Return whether withdrawals could not be received for twice the cut-off time."""
        are_keys_verifiable = self._peer_exchange.keys_verifiable(now)
        if are_keys_verifiable:
            self._keys_verified_at = now
        if are_keys_verifiable != self._were_keys_verifiable:
            self._were_keys_verifiable = are_keys_verifiable
            self._log_key_state(now)
        # `keys_verifiable` becomes false after one cut-off time; this waits for another one.
        return now - self._keys_verified_at > self._settings.peers.cut_off_s

    def _log_key_state(self, now: float) -> None:
        read_at = self._config.store_read_at()
        state = {
            "store_read_s_ago": round(now - read_at, 2) if math.isfinite(read_at) else None,
            "gateways_heard": self._peer_exchange.count_recent_gateways(now),
            "gateways": len(self._settings.peers.gateways),
        }
        if self._were_keys_verifiable:
            _log.info(KEYS_VERIFIABLE, **state)
        else:
            _log.warning(KEYS_UNVERIFIABLE, **state)

    def _check_readiness(self) -> tuple[bool, dict[str, Any]]:
        ready = (
            self._config.ready
            and self._fleet_poller.is_ready
            and not self._stopping
            and not self._usage.has_format_mismatch
            and self._peer_exchange.keys_verifiable(self._clock.now())
        )
        return ready, {
            "stopping": self._stopping,
            "running": self._slots.in_use,
            "usage_format_differs": self._usage.has_format_mismatch,
            "configuration": self._config.configuration.version,
        }


def _configure_garbage_collector() -> None:
    """Exclude the objects that live as long as the process from garbage collection.

    A full collection that includes them would pause all streams.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


def run(settings: Settings) -> int:
    """Run a gateway until a stop signal and return the exit code."""
    limit_heap()
    return Gateway(settings).run()
