"""The gateway process: serves callers and never gives orders."""

import contextlib
import random
import secrets
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

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
from laburnumreel.serving._stopgap import ConfigSync, UsageFlush
from laburnumreel.state import Configuration, HttpPlatform, Settings, WithdrawnKeys
from laburnumreel.transport import BackEndPool, HttpServer, admin_server

GATEWAY_STARTED = define_event(101, "gateway_started", "the gateway serves callers")
GATEWAY_STOPPING = define_event(102, "gateway_stopping", "the gateway was told to stop")
GATEWAY_STOPPED = define_event(103, "gateway_stopped", "the gateway has stopped")

BACKGROUND_THREADS = 4
TASK_THREADS = 16
STOP_CHECK_S = 0.05

_log = Log("gateway")


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
        self._config = ConfigSync(platform, self._clock)
        self._dispatcher = Dispatcher(
            self._clock,
            node.zone,
            node.region,
            self._rng,
            gateways=max(1, len(settings.peers.gateways)),
        )
        self._registry = RequestRegistry(self._clock, self._keys_lost)
        self._usage = UsageFlush(platform, node.name, self._boot, self._clock)
        self._watch = FleetWatch(platform, self._dispatcher)
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
                pool=self._pool,
                slots=self._slots,
                credentials=self._credentials,
                pepper=settings.pepper,
                verifiable=self._verifiable,
                background=self._background,
                rng=self._rng,
            )
        )
        threads = settings.threads.callers + settings.threads.reserve
        self._callers = HttpServer(self._application, settings.listen.callers, threads)
        self._admin = admin_server(settings.listen.admin, self._readiness)
        self._config.subscribe(self._configured)

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
            ]
            for task in tasks:
                task.start(executor)
            self._admin.start(executor)
            self._callers.start(executor)
            _log.info(GATEWAY_STARTED, node=self._settings.node.name, boot=self._boot)
            self._stop.wait()
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
        while self._clock.now() < give_up_at:
            if not self._slots.taken and self._callers.flushed():
                break
            time.sleep(STOP_CHECK_S)
        self._usage.flush_all(stop.grace_s)
        self._callers.stop()
        for task in reversed(tasks):
            with contextlib.suppress(TimeoutError):
                task.stop()
        self._background.shutdown(wait=False, cancel_futures=True)
        self._pool.close()
        self._admin.stop()
        _log.info(GATEWAY_STOPPED)

    def _configured(self, configuration: Configuration, withdrawn: WithdrawnKeys) -> None:
        self._registry.withdrawn(withdrawn)
        self._credentials.load(configuration)
        self._dispatcher.configure(configuration)
        sizes = [profile.max_body_bytes for profile in configuration.profiles.values()]
        if sizes:
            self._callers.set_max_body_bytes(max(sizes))

    def _verifiable(self, now: float) -> bool:
        return now - self._config.store_read_at() <= self._settings.peers.cut_off_s

    def _keys_lost(self, now: float) -> bool:
        return now - self._config.store_read_at() > 2 * self._settings.peers.cut_off_s

    def _readiness(self) -> tuple[bool, dict[str, Any]]:
        ready = (
            self._config.ready
            and self._watch.ready
            and not self._stopping
            and self._verifiable(self._clock.now())
        )
        return ready, {
            "stopping": self._stopping,
            "running": self._slots.taken,
            "configuration": self._config.configuration.version,
        }


def run(settings: Settings) -> int:
    """Run a gateway until it is told to stop, and return the exit code."""
    return Gateway(settings).run()
