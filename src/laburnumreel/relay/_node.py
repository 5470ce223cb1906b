"""The relay process of a host: creates its tasks, and runs them from start to stop."""

import contextlib
import gc
import random
import secrets
import signal
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from laburnumreel.coordination import (
    AuthorityRegistry,
    AuthorizedSender,
    JsonResponse,
    LeaseManager,
    format_address,
)
from laburnumreel.core import (
    AnswerMemory,
    Log,
    RequestMemory,
    SignalQueue,
    SystemClock,
    Task,
    limit_heap,
)
from laburnumreel.relay._application import FORWARDED_KEY, STOPPING, RelayApplication
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._capacity import CapacityPlanner
from laburnumreel.relay._cleaning import RowCleaner
from laburnumreel.relay._config import RelayConfig, RelayService
from laburnumreel.relay._cost_model import Location
from laburnumreel.relay._dispatcher import Dispatcher
from laburnumreel.relay._duties import DUTY_LEASE, Duties, NoProcessTimer
from laburnumreel.relay._events import (
    CUSTOMERS_UNREADABLE,
    DIRECTORY_RANKED,
    LISTEN_FAILED,
    RELAY_CONFIGURED,
    RELAY_READY,
    RELAY_STARTED,
    RELAY_STOP_INCOMPLETE,
    RELAY_STOPPED,
    RELAY_STOPPING,
)
from laburnumreel.relay._feed_follower import FeedFollower, LinkState
from laburnumreel.relay._forwarding import Forwarder
from laburnumreel.relay._job import Dependencies
from laburnumreel.relay._list_read import ListReader
from laburnumreel.relay._members import Member, Members
from laburnumreel.relay._membership import Membership
from laburnumreel.relay._metrics import RELAY_ANSWER_BYTES
from laburnumreel.relay._peer_gossip import PeerGossip, rank_hosts
from laburnumreel.relay._peer_update_handler import PeerUpdateHandler
from laburnumreel.relay._poll_schedule import READERS_PER_REGION, listing_interval_s
from laburnumreel.relay._ports import Adapter, Listing
from laburnumreel.relay._roles import RolePlanner
from laburnumreel.relay._settings import RelaySettings
from laburnumreel.relay._settings_watch import LoadSettings, SettingsWatch
from laburnumreel.relay._software_history import MIN_STREAM_LIFE_S, stream_life_s
from laburnumreel.relay._software_rows import SoftwareRows
from laburnumreel.relay._stop_schedule import StopSchedule
from laburnumreel.relay._stream_directory import StreamDirectory
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.relay._unknown_headers import UnknownHeaders
from laburnumreel.relay._usage_counters import Process, UsageCounters
from laburnumreel.relay._usage_store import UsageStore
from laburnumreel.relay._work import Work
from laburnumreel.serving import RequestRegistry
from laburnumreel.state import Lease, LeaseSettings
from laburnumreel.transport import (
    REQUEST_BYTES,
    BackEndPool,
    HttpOrderLink,
    HttpServer,
    create_admin_server,
    create_internal_server,
)

# Minimum time to stop each task, and to answer the last requests.
MIN_TASK_STOP_S = 0.05
MIN_FINAL_ANSWERS_S = 0.2
STOP_POLL_S = 0.05
STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}
# How often connections to backend servers that have been idle for too long are closed.
PRUNE_INTERVAL_S = 1.0
# How often running requests are checked for callers that have disconnected, whose work is stopped.
CALLER_GONE_CHECK_S = 0.1
# An entry of a backend server that expired during a store outage comes back within about two
# seconds.
RETURN_GRACE_S = 2.2
# The longest network latency to a backend server is some tens of milliseconds, and TCP retransmits
# a lost SYN only after a second.
CONNECT_TIMEOUT_S = 0.4
# All hosts together keep idle at most this share of the connections that a backend server accepts,
# because running requests need the others. A host seldom has more than a few requests at one
# backend server (upper bound), and without an idle connection each request opens a new one (lower
# bound).
IDLE_SHARE = 0.5
MAX_IDLE, MIN_IDLE = 6, 1
TASK_THREADS = 20
READINESS_THREADS = 1
# Threads for requests that other hosts pass on, as a share of those for callers.
FORWARDED_SHARE = 0.75
# Threads that refuse requests while all other threads are busy.
REFUSAL_THREADS = 4
# While a peer has claimed the duties within this time, the lease need not be checked.
DUTY_CLAIM_MAX_AGE_S = 1.5
ORDER_TIMEOUT_S = 1.5
# Exit code if the process cannot listen on one of its addresses.
LISTEN_FAILED_EXIT_CODE = 3
# Malformed customers or keys of a configuration that are described in the log.
MAX_LOGGED_PROBLEMS = 5
# Number of new objects between garbage collections of the youngest generation.
GC_THRESHOLD = 20_000

_log = Log("relay.node")


class RelayNode:
    """Creates a relay's tasks and runs them until the process is told to stop."""

    def __init__(self, settings: RelaySettings, adapter: Adapter) -> None:
        self._signals = SignalQueue.install(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        self._settings = settings
        self._adapter = adapter
        self._boot = secrets.token_hex(4)
        self._clock = SystemClock()
        self._rng = random.Random()
        self._stop_schedule: StopSchedule | None = None
        # Whether the servers for callers and other hosts accept connections.
        self._has_started = False
        self._ready = False
        self._host_count = 1
        # When the calls for the backend servers' table began to fail, None while they work.
        self._link_lost_at: float | None = None
        host = settings.host
        self._true_time = TrueTime(self._clock)
        self._usage_counters = UsageCounters(settings.usage.window_s)
        self._usage_store = UsageStore(
            adapter.store,
            Process(host.name, self._boot),
            self._usage_counters,
            lambda: adapter.store_era.current,
        )
        self._dispatcher = Dispatcher(
            self._clock,
            Location(host.zone, host.region),
            host.regions,
            settings.retry,
            RETURN_GRACE_S,
            self._rng,
            host=host.name,
            heartbeat_s=settings.back_ends.heartbeat_ms / 1000,
        )
        self._stream_life_s = MIN_STREAM_LIFE_S
        self._streams = StreamDirectory(
            host.name,
            settings.listen.streams,
            self._clock,
            lambda: self._peers.live_peers,
            lambda: self._stream_life_s,
            self._is_list_current,
            self._request_list_read,
        )
        self._registry = RequestRegistry(self._clock, lambda now: False, CALLER_GONE_CHECK_S)
        self._pool = BackEndPool(MAX_IDLE, connect_timeout_s=CONNECT_TIMEOUT_S)
        answer_memory = AnswerMemory.from_host(
            settings.memory.host_mb, settings.threads, RELAY_ANSWER_BYTES
        )
        self._application = RelayApplication(
            Dependencies(
                self._clock,
                self._dispatcher,
                self._pool,
                adapter.back_ends,
                self._rng,
                self._on_request_began,
                answer_memory,
                UnknownHeaders(),
                lambda: self._back_end_feed.view_age_s,
                self._streams,
            ),
            adapter.callers,
            self._registry,
            lambda: self._update_handler.newest_config_version,
            self._rng,
            settings.threads,
            Forwarder(
                self._pool,
                adapter.callers,
                lambda: self._peers.forward_targets,
                lambda: self._dispatcher.is_cut_off,
                lambda: self._dispatcher.is_reach_doubtful,
                self._clock,
                self._rng,
            ),
            lambda: adapter.store_era.current,
        )
        directory = adapter.directory
        self._config_feed = FeedFollower(
            "configuration",
            directory.configuration,
            self._clock,
            self._rng,
            self._on_configuration,
        )
        self._back_end_feed = FeedFollower(
            "back_ends",
            directory.back_ends,
            self._clock,
            self._rng,
            self._on_back_ends,
            self._on_back_ends_link,
            on_polled=lambda: self._peers.send_listing(),
            is_same=lambda known, entry: known._replace(beat=0) == entry._replace(beat=0),
            effect_s=settings.back_ends.drain_ms / 1000,
            to_own_time=self._true_time.at_store_time,
        )
        self._list_reader = ListReader(
            directory.back_ends_on_demand,
            self._clock,
            lambda: self._back_end_feed.schedule.seen_version,
            self._dispatcher.apply_listing,
            self._streams.on_list_read,
        )
        self._update_handler = PeerUpdateHandler(
            host,
            self._boot,
            self._clock,
            self._true_time,
            self._usage_counters,
            self._dispatcher,
            self._config_feed,
            self._back_end_feed,
            lambda: self._application.table,
            lambda: self._duties.fence,
            lambda: self._stopping,
            adapter.store_era,
            self._forward_port,
        )
        self._peers = PeerGossip(
            settings.listen.peers,
            self._clock,
            settings.news_interval_s,
            self._update_handler.build_update,
            lambda: self._duties.fence,
            self._update_handler.build_usage,
            lambda zone: host.regions.get(zone, host.region) != host.region,
            self._update_handler.on_updates,
            self._update_handler.on_peer_silent,
            self._update_handler.build_crash_fields,
            self._dispatcher.is_waiting_for_holds,
            self._update_handler.build_listing_fields,
            listing_interval_s(settings.back_ends.drain_ms / 1000),
        )
        self._dispatcher.set_crash_listener(self._peers.send_crashes)
        self._dispatcher.set_holds_query(self._peers.ask_holds)
        self._dispatcher.set_address_check(self._pool.check)
        self._dispatcher.set_software_listener(self._on_software)
        members = Members(adapter.store)
        self._membership = Membership(
            Member(host.name, settings.listen.peers, self._boot),
            members,
            self._peers,
            self._true_time,
            self._clock,
            self._on_hosts,
            lambda: adapter.store_era.current,
        )
        authorities = AuthorityRegistry(self._clock)
        lease_settings = LeaseSettings(settings.lease.term_s, settings.lease.margin_s)
        lease = Lease(DUTY_LEASE, host.name, self._boot, *lease_settings)
        self._lease_keeper = LeaseManager(
            adapter.lease_store,
            authorities,
            NoProcessTimer(),
            self._clock,
            [lease],
            lease_settings,
            self._rng,
            is_held_elsewhere=lambda: self._peers.is_duty_claimed(DUTY_CLAIM_MAX_AGE_S),
            # The lease is not released at the end of a stop, so the next holder would wait a term.
            may_acquire=lambda: not self._stopping,
            release_on_close=False,
            era=lambda: adapter.store_era.current,
            known_fence=lambda: self._peers.highest_fence,
        )
        sender = AuthorizedSender(
            authorities, HttpOrderLink(ORDER_TIMEOUT_S, settings.lease.margin_s)
        )
        capacity = CapacityPlanner(
            adapter.store,
            sender,
            adapter.duties,
            lambda: self._settings.duties,
            self._services,
            lambda: self._dispatcher.view().result(),
            lambda: not (
                self._back_end_feed.schedule.is_unavailable or self._peers.any_listing_unavailable
            ),
        )
        roles = RolePlanner(
            sender,
            adapter.duties,
            self._services,
            self._fleet_view,
            self._dispatcher.avoid,
            self._on_order_answer,
            lambda: self._dispatcher.view().result().limited_back_ends,
        )
        cleaner = RowCleaner(
            adapter.store,
            members,
            self._usage_counters,
            self._true_time.now,
            lambda: {host.name, *self._peers.live_peers},
        )
        self._duties = Duties(
            adapter.store,
            authorities,
            sender,
            adapter.duties,
            lambda: self._settings.duties,
            self._clock,
            self._true_time,
            self._usage_counters,
            self._usage_store,
            settings.usage,
            lambda: self._peers.live_peers,
            (capacity, roles, cleaner),
            lambda: adapter.store_era.sighting,
        )
        self._software_rows = SoftwareRows(
            adapter.store,
            self._streams,
            lambda: self._duties.fence,
            lambda: adapter.store_era.current,
        )
        request_memory = RequestMemory.from_host(
            settings.memory.host_mb, self._clock, REQUEST_BYTES
        )
        self._callers = HttpServer(
            self._application,
            settings.listen.callers,
            settings.threads + REFUSAL_THREADS,
            request_memory=request_memory,
            count_refused_answers=lambda: answer_memory.refused_count,
        )
        self._forwarded = HttpServer(
            self._answer_forwarded,
            settings.listen.forwarded,
            round(FORWARDED_SHARE * settings.threads) + REFUSAL_THREADS,
            request_memory=request_memory,
            count_refused_answers=lambda: answer_memory.refused_count,
        )
        self._readiness = create_internal_server(
            self._answer_readiness, settings.listen.readiness, READINESS_THREADS, request_memory
        )
        self._admin = create_admin_server(
            settings.listen.admin,
            self._admin_readiness,
            {"/held": self._held_parts},
            {"/release": self._release_part},
            request_memory,
        )

    def run(self, load_settings: LoadSettings) -> int:
        """Serve until SIGTERM and return the exit code. `load_settings` reloads the settings."""
        settings_watch = SettingsWatch(self._settings, load_settings, self._on_settings)
        tasks: list[Task] = [
            self._dispatcher,
            self._registry,
            self._config_feed,
            self._back_end_feed,
            self._peers,
            self._streams,
            self._list_reader,
            self._membership,
            self._lease_keeper,
            self._duties,
            self._software_rows,
        ]
        with ThreadPoolExecutor(TASK_THREADS, "task") as executor:
            for task in tasks:
                task.start(executor)
            settings_watch.start_daemon()
            # A full garbage collection stops all threads, so it runs before the first request.
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            for server in (self._callers, self._forwarded, self._admin):
                server.start(executor)
            self._has_started = True
            host = self._settings.host
            _log.info(RELAY_STARTED, host=host.name, zone=host.zone, boot=self._boot)
            self._readiness.start(executor)
            while not STOP_SIGNALS & (received := self._signals.wait(PRUNE_INTERVAL_S)):
                if signal.SIGHUP in received:
                    settings_watch.reload()
                self._pool.prune()
            self._shut_down(tasks, self._begin_stop())
        return 0

    @property
    def _stopping(self) -> bool:
        return self._stop_schedule is not None

    def _begin_stop(self) -> StopSchedule:
        """Admit only what the stop allows from now on, and report that the host is not ready."""
        stop = StopSchedule(self._clock.now(), self._settings.stop.grace_s)
        self._stop_schedule = stop
        self._application.begin_stop(stop)
        for server in (self._callers, self._forwarded):
            server.close_after_answers()
        return stop

    def _on_settings(self, before: RelaySettings, settings: RelaySettings) -> None:
        if settings.retry != before.retry:
            self._dispatcher.retry(settings.retry)
        self._settings = settings

    def _shut_down(self, tasks: Iterable[Task], stop: StopSchedule) -> None:
        _log.info(RELAY_STOPPING, host=self._settings.host.name, grace_s=stop.grace_s)
        time.sleep(max(0.0, stop.admits_until - self._clock.now()))
        self._application.stop_admitting()
        self._registry.abort_unsent(stop.aborts_at, STOPPING)
        # Early in the stop, in case the store answers slowly later, or the process is killed.
        self._duties.store_usage()
        while not (self._callers.is_idle() and self._forwarded.is_idle()):
            if self._clock.now() >= stop.aborts_at:
                requests = self._callers.request_count + self._forwarded.request_count
                _log.error(RELAY_STOP_INCOMPLETE, requests=requests)
                self._registry.abort_all()
                self._stop_callers(stop)
                break
            time.sleep(STOP_POLL_S)
        for task in reversed(list(tasks)):
            with contextlib.suppress(TimeoutError):
                task.stop(timeout_s=max(MIN_TASK_STOP_S, stop.aborts_at - self._clock.now()))
        self._stop_callers(stop)
        for server in (self._readiness, self._admin):
            server.stop()
        self._pool.close()
        _log.info(
            RELAY_STOPPED,
            took_s=round(self._clock.now() - stop.signaled_at, 2),
            unhandled=self._callers.unhandled_requests,
        )

    def _stop_callers(self, stop: StopSchedule) -> None:
        """Close the callers' connections as soon as all requests that were read are answered."""
        for server in (self._callers, self._forwarded):
            server.stop(max(MIN_FINAL_ANSWERS_S, stop.closes_at - self._clock.now()))

    def _services(self) -> Mapping[str, RelayService]:
        table = self._application.table
        return table.config.services if table is not None else {}

    def _fleet_view(self) -> tuple[Iterable[ListedBackEnd], Mapping[str, Work]]:
        view = self._dispatcher.view().result()
        return view.back_ends, view.work

    def _on_order_answer(self, back_end: ListedBackEnd, answer: JsonResponse) -> None:
        """Pass on what a backend server reports about itself in its answer to an order."""
        self_report = self._adapter.back_ends.self_report(
            answer.status, answer.headers, back_end.name
        )
        self._dispatcher.on_self_report(back_end, self_report)

    def _on_request_began(self, customer: str) -> None:
        if customer:
            self._usage_counters.record_request(customer, self._true_time.now())

    def _on_configuration(
        self, listing: Listing[RelayConfig], sent_at: float, answered_at: float
    ) -> None:
        self._true_time.record_store_time(sent_at, answered_at, listing.store_time_s)
        for config in listing.entries.values():
            if config is None or not self._application.configure(config):
                continue
            for server in (self._callers, self._forwarded):
                server.set_limits(*config.limits)
            self._limit_idle_connections()
            self._stream_life_s = stream_life_s(config)
            _log.info(
                RELAY_CONFIGURED,
                version=config.version,
                routes=len(config.routes),
                services=len(config.services),
                needs_keys=config.customers is not None,
                customers=len(config.customers or ()),
                store_version=listing.version,
            )
            if config.customer_problems:
                _log.warning(
                    CUSTOMERS_UNREADABLE,
                    version=config.version,
                    count=len(config.customer_problems),
                    problems=config.customer_problems[:MAX_LOGGED_PROBLEMS],
                )

    def _on_hosts(self, hosts: int, readers: frozenset[str]) -> None:
        self._host_count = hosts
        if self._membership.has_listed:
            self._dispatcher.hosts(hosts, self._membership.replaces_killed)
        self._adapter.store_pace.set_hosts(hosts)
        ranked = rank_hosts({self._settings.host.name, *readers})
        rank = ranked.index(self._settings.host.name)
        _log.info(DIRECTORY_RANKED, rank=rank, hosts=hosts, first=ranked[:READERS_PER_REGION])
        for feed in (self._config_feed, self._back_end_feed):
            feed.set_rank(rank, hosts)
        self._lease_keeper.set_watcher_count(hosts)
        self._limit_idle_connections()

    def _limit_idle_connections(self) -> None:
        """Limit the idle connections of all hosts to a share of what a backend server accepts."""
        taken = [service.max_connections for service in self._services().values()]
        share = int(IDLE_SHARE * min(taken, default=0) / self._host_count)
        self._pool.set_max_idle(max(MIN_IDLE, min(MAX_IDLE, share)))

    def _on_back_ends_link(self, link: LinkState) -> None:
        """Pass on the state of the link to the backend servers' table.

        Once it works again on a new connection, a call for the configuration that was sent before
        the loss may wait on a connection that is as dead as the lost one.
        """
        self._dispatcher.on_directory_link(link)
        if link == "lost" and self._link_lost_at is None:
            self._link_lost_at = self._clock.now()
        elif link == "back" and self._link_lost_at is not None:
            self._config_feed.renew_call(self._link_lost_at)
            self._link_lost_at = None

    def _on_back_ends(
        self, listing: Listing[ListedBackEnd], sent_at: float, answered_at: float
    ) -> None:
        self._true_time.record_store_time(sent_at, answered_at, listing.store_time_s)
        self._dispatcher.on_listing(listing)

    @property
    def _can_serve(self) -> bool:
        """Whether this host may get requests: it has the data that they need, and does not stop."""
        has_data = self._application.is_current and self._back_end_feed.has_listing
        knows_hosts = self._membership.has_tried_listing and self._membership.has_heard_peers
        return not self._stopping and has_data and knows_hosts

    def _is_ready(self) -> bool:
        """Return whether this host may get requests, for the readiness checks; log a change."""
        ready = self._can_serve
        if ready != self._ready:
            self._ready = ready
            _log.info(RELAY_READY, ready=ready, stopping=self._stopping)
        return ready

    def _is_list_current(self) -> bool:
        """Return whether no peer knows a newer list of backend servers, as far as can be told."""
        if self._update_handler.is_behind_on_back_ends:
            return False
        is_young = self._back_end_feed.view_age_s < self._settings.back_ends.drain_ms / 1000
        return is_young or bool(self._peers.live_peers)

    def _request_list_read(self) -> bool:
        """Request a read of the backend servers' table; return False if it can't be read now."""
        if self._back_end_feed.schedule.is_unavailable:
            return False
        self._list_reader.request()
        return True

    def _on_software(self, listed: Mapping[str, frozenset[str]], is_gap: bool) -> None:
        if is_gap:
            self._software_rows.request_read()
        self._streams.on_listed(listed, is_gap)

    def _forward_port(self) -> int:
        """Return the port at which this host takes requests that others pass on, or 0."""
        is_taking = self._has_started and self._can_serve and not self._dispatcher.is_cut_off
        return self._settings.listen.forwarded[1] if is_taking else 0

    def _answer_forwarded(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        environ[FORWARDED_KEY] = True
        return self._application(environ, start_response)

    def _answer_readiness(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        if environ["PATH_INFO"] != self._adapter.readiness_path:
            start_response("404 Not Found", [("Content-Length", "0")])
        elif self._is_ready():
            start_response("200 OK", [("Content-Length", "0")])
        else:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
        return [b""]

    def _held_parts(self) -> dict[str, Any]:
        return {"held": [each._asdict() for each in self._dispatcher.held_parts()]}

    def _release_part(self, part: str) -> dict[str, Any]:
        return {"released": self._dispatcher.release_part(part)}

    def _admin_readiness(self) -> tuple[bool, dict[str, Any]]:
        table = self._application.table
        return self._is_ready(), {
            "stopping": self._stopping,
            "configuration": table.version if table is not None else 0,
            "peers": sorted(self._peers.live_peers),
            "duties": self._duties.fence > 0,
        }


def run_relay(path: Path, settings: RelaySettings, adapter: Adapter, load: Callable) -> int:
    """Run a relay until it is told to stop, and return the exit code."""
    limit_heap()
    try:
        node = RelayNode(settings, adapter)
    except OSError as error:
        listen = {
            name: format_address(address) for name, address in settings.listen._asdict().items()
        }
        _log.error(LISTEN_FAILED, detail=str(error), **listen)
        return LISTEN_FAILED_EXIT_CODE
    return node.run(lambda: load(path))
