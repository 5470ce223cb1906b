"""The gateway process: serves callers and never gives orders."""

import contextlib
import gc
import math
import random
import secrets
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from laburnumreel.coordination import (
    ClaimState,
    ConfigSync,
    NodeStatus,
    NodeUpdate,
    PeerExchange,
    UsageFlusher,
    format_address,
    parse_address,
)
from laburnumreel.core import Log, SystemClock, Task, define_event
from laburnumreel.serving import (
    Application,
    Credentials,
    Dispatcher,
    FleetWatch,
    Parts,
    RequestRegistry,
    Slots,
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
    BackEndPool,
    HttpServer,
    PeerClient,
    PeerServer,
    create_admin_server,
)

GATEWAY_STARTED = define_event(101, "gateway_started", "the gateway serves callers")
GATEWAY_STOPPING = define_event(102, "gateway_stopping", "the gateway was told to stop")
GATEWAY_STOPPED = define_event(103, "gateway_stopped", "the gateway has stopped")
STOP_INCOMPLETE = define_event(
    104, "stop_incomplete", "requests still run after the grace time of a planned stop"
)
KEYS_UNVERIFIABLE = define_event(
    105,
    "keys_unverifiable",
    "withdrawals cannot be heard of; no keyed request is admitted until they can",
)
KEYS_VERIFIABLE = define_event(
    106, "keys_verifiable", "withdrawals can be heard of; keyed requests are admitted"
)

BACKGROUND_THREADS = 4
TASK_THREADS = 16
STOP_CHECK_S = 0.05
# For the answers to requests that end when the time to stop is over.
LAST_ANSWERS_S = 1.0
# How often idle connections are looked through for those that nobody will use again.
PRUNE_EVERY_S = 5.0
# New objects between collections of the youngest generation.
GC_THRESHOLD = 20_000
NEWS_TIMEOUT_S = 1.0

_log = Log("gateway")


class _ClaimPeers:
    """Asks peers about claims over thrift."""

    def __init__(self, link: PeerClient) -> None:
        self._link = link

    def claim_state(self, address: str, claim_key: str) -> PeerClaim | None:
        parsed = parse_address(address)
        if parsed is None:
            return None
        answer = self._link.claim_state(parsed, claim_key)
        return PeerClaim(*answer.ok) if answer.is_ok() else None


class Gateway:
    """Wires a gateway's tasks together and runs them until it is told to stop."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._boot = secrets.token_hex(8)
        self._clock = SystemClock()
        self._rng = random.Random()
        self._stop = threading.Event()
        self._stopping = False
        node = settings.node
        platform = HttpPlatform(
            settings.platform.address, settings.platform.timeout_s, settings.platform.token
        )
        self._link = PeerClient()
        self._config = ConfigSync.from_settings(settings, platform, self._link, self._clock)
        self._dispatcher = Dispatcher(
            self._clock,
            node.zone,
            node.region,
            self._rng,
            gateways=max(1, len(settings.peers.gateways)),
        )
        self._registry = RequestRegistry(self._clock, self._keys_lost)
        self._usage = UsageFlusher.from_settings(settings, platform, self._boot, self._clock)
        self._watch = FleetWatch(platform, self._dispatcher)
        self._exchange = PeerExchange(
            settings, self._config, self._link, self, boot=self._boot, clock=self._clock
        )
        self._peers = PeerServer(settings.listen.peers, self._exchange, self._config, self)
        self._claims = Claims(
            platform,
            node.name,
            self._boot,
            format_address(settings.listen.peers),
            _ClaimPeers(self._link),
        )
        self._credentials = Credentials()
        self._background = ThreadPoolExecutor(BACKGROUND_THREADS, "background")
        self._pool = BackEndPool()
        self._slots = Slots(settings.threads.callers)
        self._application = Application(
            Parts(
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
                verifiable=self._exchange.keys_verifiable,
                background=self._background,
                rng=self._rng,
            )
        )
        threads = settings.threads.callers + settings.threads.reserve
        self._callers = HttpServer(self._application, settings.listen.callers, threads)
        self._admin = create_admin_server(settings.listen.admin, self._readiness)
        self._keys_heard_at = self._clock.now()
        self._keys_verifiable = False
        self._config.subscribe(self._configured)
        self._dispatcher.on_news(self._exchange.exchange_now)

    @property
    def stopping(self) -> bool:
        """Whether this gateway takes no new work, for its peers."""
        return self._stopping

    def local_update(self, now: float) -> NodeUpdate:
        """Return this gateway's news for its peers."""
        return self._dispatcher.news().result(NEWS_TIMEOUT_S)

    def on_peer_update(self, peer: str, news: NodeUpdate, now: float) -> None:
        """Take up a peer's news."""
        self._dispatcher.peer_news(peer, news)

    def status(self) -> NodeStatus:
        """Return this gateway's state for operators."""
        configuration, node = self._config.configuration, self._settings.node
        return NodeStatus(
            name=node.name,
            role="gateway",
            zone=node.zone,
            boot=self._boot,
            ready=self._readiness()[0],
            stopping=self._stopping,
            config_version=configuration.version,
            config_digest=configuration.digest,
            running=self._slots.taken,
            store_reachable=self._config.store_reachable,
        )

    def claim_state(self, claim_key: str) -> ClaimState:
        """Tell a peer whether a claim's request runs here."""
        return ClaimState(self._boot, self._claims.is_running(claim_key))

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop.set())
        with ThreadPoolExecutor(TASK_THREADS, "task") as executor:
            tasks: list[Task] = [
                self._dispatcher,
                self._registry,
                self._config,
                self._usage,
                self._watch,
                self._exchange,
            ]
            for task in tasks:
                task.start(executor)
            self._peers.start(executor)
            self._admin.start(executor)
            self._callers.start(executor)
            _keep_pauses_short()
            _log.info(GATEWAY_STARTED, node=self._settings.node.name, boot=self._boot)
            while not self._stop.wait(PRUNE_EVERY_S):
                self._pool.prune()
            self._shut_down(tasks)
        return 0

    def _shut_down(self, tasks: list[Task]) -> None:
        stop = self._settings.stop
        _log.info(GATEWAY_STOPPING, running=self._slots.taken)
        self._stopping = True
        self._callers.close_after_answers()
        time.sleep(stop.notice_s)
        self._application.stop_admitting()
        give_up_at = self._clock.now() + stop.grace_s
        while not self._idle():
            if self._clock.now() >= give_up_at:
                _log.error(
                    STOP_INCOMPLETE, running=self._slots.taken, claims=self._claims.running_count
                )
                self._registry.end_all()
                self._callers.wait_until_idle(LAST_ANSWERS_S)
                break
            time.sleep(STOP_CHECK_S)
        self._usage.flush_all(stop.grace_s)
        self._callers.stop()
        self._peers.stop()
        for task in reversed(tasks):
            with contextlib.suppress(TimeoutError):
                task.stop()
        self._background.shutdown(wait=False, cancel_futures=True)
        self._pool.close()
        self._link.close()
        self._admin.stop()
        _log.info(GATEWAY_STOPPED)

    def _idle(self) -> bool:
        """Return whether no request runs, no answer waits for its caller or for the store."""
        return not self._slots.taken and not self._claims.running_count and self._callers.flushed()

    def _configured(self, configuration: Configuration, withdrawn: WithdrawnKeys) -> None:
        self._registry.withdrawn(withdrawn)
        self._credentials.load(configuration)
        self._dispatcher.configure(configuration)
        sizes = [profile.max_body_bytes for profile in configuration.profiles.values()]
        if sizes:
            self._callers.set_max_body_bytes(max(sizes))

    def _keys_lost(self, now: float) -> bool:
        """Return whether withdrawals could not be heard of for twice the cut-off time."""
        verifiable = self._exchange.keys_verifiable(now)
        if verifiable:
            self._keys_heard_at = now
        if verifiable != self._keys_verifiable:
            self._keys_verifiable = verifiable
            self._log_verifiable(now)
        # `keys_verifiable` turns false after one cut-off time.
        return now - self._keys_heard_at > self._settings.peers.cut_off_s

    def _log_verifiable(self, now: float) -> None:
        read_at = self._config.store_read_at()
        known = {
            "store_read_s_ago": round(now - read_at, 2) if math.isfinite(read_at) else None,
            "gateways_heard": self._exchange.count_recent_gateways(now),
            "gateways": len(self._settings.peers.gateways),
        }
        if self._keys_verifiable:
            _log.info(KEYS_VERIFIABLE, **known)
        else:
            _log.warning(KEYS_UNVERIFIABLE, **known)

    def _readiness(self) -> tuple[bool, dict[str, Any]]:
        ready = (
            self._config.ready
            and self._watch.ready
            and not self._stopping
            and not self._usage.has_format_mismatch
            and self._exchange.keys_verifiable(self._clock.now())
        )
        return ready, {
            "stopping": self._stopping,
            "running": self._slots.taken,
            "usage_format_differs": self._usage.has_format_mismatch,
            "configuration": self._config.configuration.version,
        }


def _keep_pauses_short() -> None:
    """Leave the objects that live as long as the process out of garbage collections.

    A full collection of them would hold up all streams.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


def run(settings: Settings) -> int:
    """Run a gateway until it is told to stop, and return the exit code."""
    return Gateway(settings).run()
