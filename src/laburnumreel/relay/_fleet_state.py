"""The state of the backend servers as known to this host.

It covers the list, outstanding work, cached prompts, health, limits and crashes.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from itertools import islice
from typing import NamedTuple

from laburnumreel.coordination import CrashReport
from laburnumreel.core import Log
from laburnumreel.relay._assignments import Assignment, PlacementRequest
from laburnumreel.relay._back_ends import (
    DEFAULT_HEARTBEAT_S,
    BackEndList,
    ListedBackEnd,
    Role,
)
from laburnumreel.relay._candidate_cache import CandidateCache
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import Candidate, Location, location_of
from laburnumreel.relay._crash_evidence import CrashEvidence, LostRequest
from laburnumreel.relay._events import (
    BACK_END_AVOIDED,
    BACK_END_AVOIDED_BY_PEER,
    BACK_END_GONE,
    BACK_END_IGNORED,
    BACK_END_LISTED,
    SERVERS_OUT_OF_REACH,
    SERVERS_REACHED,
)
from laburnumreel.relay._feed_follower import LinkState
from laburnumreel.relay._fleet_limits import FleetLimits, LimitHeadroom
from laburnumreel.relay._health import HealthTracker
from laburnumreel.relay._peer_update import EndedBeat, PeerUpdate
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._prefix_cache import PrefixCacheIndex
from laburnumreel.relay._requests import Prompt, SelfReport
from laburnumreel.relay._self_reports import SelfReports
from laburnumreel.relay._server_limits import LimitReport
from laburnumreel.relay._server_reach import ServerReach
from laburnumreel.relay._software_history import listed_software
from laburnumreel.relay._work import Work, WorkLedger
from laburnumreel.state import era_of_version

# The share of a prefill engine's memory that caches prompt prefixes. The rest holds the prompts
# that are being read.
PREFIX_MEMORY_SHARE = 0.6
# A removed entry is reported to peers for this long, as they may not have read the list yet. Peers
# send its backend server nothing for this long, and no longer, because the entry may come back.
REMOVED_ENTRY_S = 3.0
# A backend server whose process has ended may start again under its name with other software, and
# is listed with it within this time. Until then, no stream that has begun goes on there.
RESTART_LISTED_S = 4.0

# Ended starts in one update to a peer.
MAX_ENDED_STARTS_TOLD = 256
# Crashes that are remembered while it is not known whether this host has lost its links.
MAX_DOUBTFUL_CRASHES = 256
# A peer that avoids more than this share of all listed backend servers is not believed, unless these
# are as few as `MIN_WIDE_BACKOFFS`.
MAX_CREDIBLE_SHARE = 0.5
MIN_WIDE_BACKOFFS = 2

# Log lines use the name of the dispatcher, because this code runs on its thread.
_log = Log("relay.dispatcher")


class LocalFleetState(NamedTuple):
    """The part of a host's peer update that the dispatcher provides.

    Of backend servers, `avoided` holds the remaining backoff in seconds, `kept` the newly cached
    parts of prompts, `gone` those whose entries were removed, and `ended_starts` those whose entries
    were written late. `asked` is the requests per second by service. `held_back` and `crashes` map
    the digest of a request to the remaining seconds of its quarantine, or until its crash is
    forgotten. The last three are those of `PeerUpdate`.
    """

    work: Mapping[str, Work]
    avoided: Mapping[str, float]
    leaving: Mapping[str, int]
    kept: Mapping[str, tuple[str, ...]]
    gone: tuple[str, ...]
    ended_starts: Mapping[str, EndedBeat]
    limits: Mapping[str, LimitReport]
    asked: Mapping[str, float]
    limited_sends: Mapping[str, int]
    held_back: Mapping[str, float]
    crashes: Mapping[str, float]
    crash_reports: tuple[CrashReport, ...]
    answered: Mapping[str, float]
    held_parts: Mapping[str, float]


class _DoubtfulCrash(NamedTuple):
    back_end: str
    started_at_ms: int
    lost: LostRequest


class FleetView(NamedTuple):
    """The backend servers and the work at each, for planning.

    `last_short_at` is the time at which a request last had to wait for a slot, by
    service. `busy_services` names the services with any work, `limited_back_ends` the backend
    servers with a request limit.
    """

    back_ends: tuple[ListedBackEnd, ...]
    work: Mapping[str, Work]
    last_short_at: Mapping[str, float]
    busy_services: frozenset[str]
    limited_back_ends: frozenset[str] = frozenset()


class FleetState:
    """What a host knows about the backend servers, from their list, its requests and its peers.

    `asked_per_s` returns the requests per second for a service that arrive at this host. Not
    thread-safe; owned by the dispatcher.
    """

    def __init__(
        self,
        own_location: Location,
        regions: Mapping[str, str],
        return_grace_s: float,
        host: str = "",
        asked_per_s: Callable[[str, float], float] = lambda service, now: 0.0,
        rng: random.Random | None = None,
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
    ) -> None:
        self._own_location = own_location
        self._regions = dict(regions)
        self._back_ends = BackEndList(return_grace_s, heartbeat_s)
        # The store's era at the last listing.
        self._era = 0
        # The store's version up to which the table was read.
        self._listed_version = 0
        self._health = HealthTracker()
        self._prefix_cache = PrefixCacheIndex()
        self._self_reports = SelfReports()
        # Backend servers whose entries were removed from this host's list, and from a peer's.
        self._removed_until: dict[str, float] = {}
        self._peer_removed_until: dict[str, float] = {}
        # Until when the listed software of a backend server is uncertain, and the start it is of.
        self._uncertain_software: dict[tuple[str, int], float] = {}
        self.reach = ServerReach(rng or random.Random())
        # Crashes that may have been losses of this host's own links.
        self._doubtful_crashes: list[_DoubtfulCrash] = []
        self.ledger = WorkLedger()
        self.crash_evidence = CrashEvidence(host)
        self.limits = FleetLimits(
            host,
            own_location.region,
            lambda zone: self.location(zone).region,
            self._back_ends,
            asked_per_s,
        )
        self._candidate_cache = CandidateCache(self._build_candidates, self.ledger)

    def candidates(self, request: PlacementRequest, now: float) -> list[Candidate]:
        """Return the backend servers that a request may be sent to, as placement candidates."""
        available = self._candidate_cache.candidates(request.service, now)
        excluded = request.excluded | self.limits.servers_without_headroom(request.service, now)
        usable = dict(available)
        for name in excluded:
            usable.pop(name, None)
        if request.software is not None:
            usable = self._with_software(usable, request, now)
            excluded |= available.keys() - usable.keys()
        if request.prompt is None or request.copy_zone:
            return list(usable.values())
        if not any(each.can_generate for each in usable.values()):
            # The request has to wait, so cached prefixes need not be looked up.
            return list(usable.values())
        for name, tokens in self._prefix_cache.cached_prefixes(usable, request.prompt, now):
            usable[name] = usable[name]._replace(cached_tokens=tokens)
        if request.prompt.shared:
            prefix = request.prompt.shared[-1].name
            for engine_name in self._candidate_cache.preferred_engines(
                request.service, prefix, excluded
            ):
                usable[engine_name] = usable[engine_name]._replace(is_preferred=True)
        return list(usable.values())

    def listed_software(self) -> dict[str, frozenset[str]]:
        """Return the versions of the listed backend servers' software by service."""
        return listed_software(self._back_ends)

    def location(self, zone: str) -> Location:
        """Return the location of an availability zone."""
        return location_of(zone, self._regions.get(zone, zone))

    def has_usable(self, request: PlacementRequest, now: float) -> bool:
        """Return whether a request can be sent anywhere, now or once a limit has room."""
        available = self._candidate_cache.candidates(request.service, now)
        return any(
            request.may_generate_at(each.back_end)
            and not self._is_software_uncertain(each.back_end, request, now)
            for each in available.values()
        )

    def has_listed(self, request: PlacementRequest, now: float) -> bool:
        """Return whether an untried backend server is listed, even if it is not usable now."""
        listed = self._back_ends.usable(request.service, now)
        return any(request.may_generate_at(each) for each in listed)

    def limit_room(self, request: PlacementRequest, now: float) -> LimitHeadroom | None:
        """Return the headroom of the limits for a request.

        Returns None if no server has a limit, or if one that the request may use has none.
        """
        if not self.limits.limited:
            return None
        available = self._candidate_cache.candidates(request.service, now)
        usable = (each.back_end for each in available.values() if request.may_use(each.back_end))
        return self.limits.headroom(request.service, usable, now)

    def prefixes_fit(
        self, traits: EngineTraits, candidates: Iterable[Candidate], now: float
    ) -> bool:
        """Return whether the engines of this region can cache all prompt prefixes in use."""
        local_candidates = [each for each in candidates if each.region == self._own_location.region]
        readers = sum(1 for each in local_candidates if each.back_end.role is Role.PREFILL)
        if readers == len(local_candidates):
            return False
        prefix_room = readers * traits.kv_tokens * PREFIX_MEMORY_SHARE
        return prefix_room >= self._prefix_cache.working_set_tokens(now) > 0

    def record_prompt(self, back_end: str, prompt: Prompt, now: float) -> None:
        """Record that an engine receives the shared parts of a prompt."""
        self._prefix_cache.record_prompt(back_end, prompt, now)

    def record_outcome(
        self, back_end: str, failed: bool, took_ms: float | None, now: float
    ) -> None:
        """Record the outcome of an attempt.

        `took_ms` is the duration of a plain request that was answered.
        """
        self._health.record_result(back_end, failed, now)
        if not failed:
            self.reach.on_answer(back_end)
        if took_ms is not None:
            self._health.record_plain_time(back_end, took_ms, now)
        if failed:
            self._candidate_cache.invalidate()

    def avoid(self, back_end: str, seconds: float, now: float) -> None:
        """Avoid a backend server for some seconds."""
        self._health.back_off(back_end, now + seconds, now)
        self._candidate_cache.invalidate()

    def on_self_report(
        self, back_end: ListedBackEnd, self_report: SelfReport, rng: random.Random, now: float
    ) -> None:
        """Record what a backend server reported about itself in an answer to this host."""
        if self_report.limit_per_s is not None:
            self.limits.record_limit(back_end, self_report.limit_per_s, now)
        if self_report.leaving or self_report.full_s is not None:
            self._self_reports.record_report(back_end, self_report, rng.random(), now)
            self._candidate_cache.invalidate()

    def seconds_until_accepting(self, service: str, now: float) -> float | None:
        """Return in how many seconds a service's first full backend server takes work again.

        Return None if its backend servers are unavailable for any other reason.
        """
        return self._self_reports.seconds_until_accepting(self._back_ends.usable(service, now), now)

    def on_address_reused(self, back_end: str, now: float) -> None:
        """Remove a backend server whose address is now used by another one."""
        self._back_ends.forget(back_end, now)
        self._candidate_cache.invalidate()
        _log.info(BACK_END_GONE, back_end=back_end, reason="another server has its address")

    def on_directory_link(self, link: LinkState, now: float) -> None:
        """Record that the directory was lost, is doubted by peers, or is back."""
        self._candidate_cache.invalidate()
        match link:
            case "lost":
                self._back_ends.on_directory_lost(now)
            case "doubted":
                self._back_ends.on_directory_doubted(now)
            case "back":
                self._back_ends.on_directory_back(now)

    def forget_old(self, now: float) -> None:
        """Drop all state that has expired."""
        self._self_reports.renew_listed(self._back_ends, now)
        self.crash_evidence.forget_old(now)
        self._self_reports.forget_old(now)
        self._removed_until = _unexpired(self._removed_until, now)
        self._peer_removed_until = _unexpired(self._peer_removed_until, now)
        self._uncertain_software = _unexpired(self._uncertain_software, now)
        self.limits.forget_old(now)

    def forget_peer(self, name: str) -> None:
        """Forget a peer that is no longer heard from."""
        self.ledger.forget_peer(name)
        self.limits.forget_peer(name)
        self.crash_evidence.forget_peer(name)

    def on_prompt_read(
        self, assignment: Assignment, prompt: Prompt, took_ms: float, now: float
    ) -> None:
        """Record that an engine has read a prompt in `took_ms` milliseconds."""
        reader, work = assignment.reader, assignment.read_work
        self.ledger.remove(reader.name, work)
        self._health.record_result(reader.name, False, now)
        tokens = assignment.ahead_tokens + work.reading_tokens
        self._health.record_read_time(reader.name, tokens, took_ms, now)
        self._prefix_cache.record_prompt(reader.name, prompt, now)

    def record_unreachable(self, back_end: str, now: float) -> None:
        """Record that a connection to a backend server failed or became silent."""
        if self._health.record_unreachable(back_end, now):
            self.reach.on_failure(back_end, now)
        self._candidate_cache.invalidate()
        backoff_s = self._health.backoffs(now).get(back_end, 0.0)
        _log.warning(BACK_END_AVOIDED, back_end=back_end, rest_s=round(backoff_s, 2))

    def record_crash(self, back_end: str, lost: LostRequest, now: float) -> None:
        """Record a request that was lost because a backend server stopped serving.

        It counts as a crash unless the backend server had announced that it leaves.
        """
        self._prefix_cache.on_restart(back_end)
        entry = self._back_ends.get(back_end)
        if entry is not None:
            self._uncertain_software[back_end, entry.started_at_ms] = now + RESTART_LISTED_S
        is_leaving = back_end in self._self_reports.leaving(self._back_ends)
        if entry is None or entry.draining or is_leaving:
            return
        if not self.reach.is_doubtful:
            self.crash_evidence.record_crash(back_end, lost, now)
        elif len(self._doubtful_crashes) < MAX_DOUBTFUL_CRASHES:
            crash = _DoubtfulCrash(back_end, entry.started_at_ms, lost)
            self._doubtful_crashes.append(crash)

    def next_probes(self, now: float) -> list[ListedBackEnd]:
        """Return the backend servers to connect to, to tell lost servers from lost links."""
        if not self.reach.is_doubtful:
            return []
        servers = [each for each in self._back_ends if not each.draining]
        probes = self.reach.next_probes(servers, now)
        if not self.reach.is_doubtful:
            self._settle_crashes(was_cut_off=False, now=now)
        return probes

    def on_probed(self, back_end: str, is_reached: bool, began_at: float, now: float) -> bool:
        """Record the outcome of such a connection, and return whether crashes were recorded."""
        was_cut_off = self.reach.is_cut_off
        change = self.reach.on_probed(back_end, is_reached, began_at)
        if change is None:
            return False
        lasted_ms = round(1000 * (now - change.since))
        if change.is_cut_off:
            _log.warning(SERVERS_OUT_OF_REACH, doubtful_ms=lasted_ms)
            return False
        if was_cut_off:
            _log.warning(SERVERS_REACHED, back_end=back_end, cut_off_ms=lasted_ms)
            self._health.end_backoffs_since(change.since)
            self._candidate_cache.invalidate()
        return self._settle_crashes(was_cut_off, now)

    def _settle_crashes(self, was_cut_off: bool, now: float) -> bool:
        """Record the crashes that were in doubt, and return whether there are any.

        After a loss of the links, only servers that have ended or started again have crashed.
        """
        doubtful, self._doubtful_crashes = self._doubtful_crashes, []
        has_crashed = False
        for crash in doubtful:
            entry = self._back_ends.get(crash.back_end)
            if was_cut_off and entry is not None and entry.started_at_ms == crash.started_at_ms:
                continue
            self.crash_evidence.record_crash(crash.back_end, crash.lost, now)
            has_crashed = True
        return has_crashed

    def on_listing(self, listing: Listing[ListedBackEnd], now: float) -> bool:
        """Apply a directory listing, and forget the state of backend servers that were removed.

        A listing that was read before the last one but is applied after it brings nothing new.
        Returns whether backend servers may have come and gone since the last one unseen.
        """
        if not listing.complete and listing.version < self._listed_version:
            return False
        self._candidate_cache.invalidate()
        is_gap = listing.complete and self._listed_version > 0
        self._listed_version = max(self._listed_version, listing.version)
        before = {entry.name: entry for entry in self._back_ends}
        present = {name: entry for name, entry in listing.entries.items() if entry is not None}
        era = era_of_version(listing.version)
        if era > self._era:
            self._era = era
            self._back_ends.begin_era(listing.version)
        if listing.complete:
            self._back_ends.replace(
                present.values(), now, listing.versions, listing.unreadable, listing.version
            )
        else:
            for name, entry in listing.entries.items():
                if entry is None:
                    is_unreadable = name in listing.unreadable
                    is_gap |= not is_unreadable and self._back_ends.is_first_seen(name)
                    self._back_ends.drop(name, now, is_unreadable)
                else:
                    self._back_ends.put(entry, now, listing.versions.get(name, 0))
        for name, read in present.items():
            entry, old = self._back_ends.get(name), before.get(name)
            if entry != read:
                self._log_ignored(read, entry, listing)
            if entry is None:
                continue
            self._removed_until.pop(name, None)
            if old is not None and old.started_at_ms != entry.started_at_ms:
                self._prefix_cache.on_restart(name)
                self._health.on_restart(name)
                self.reach.on_answer(name)
            if old is None or old._replace(beat=0) != entry._replace(beat=0):
                _log.info(
                    BACK_END_LISTED,
                    back_end=name,
                    service=entry.service,
                    zone=entry.zone,
                    role=entry.role,
                    draining=entry.draining,
                    cheap=entry.cheap,
                    software=entry.software,
                    version=listing.version,
                )
        for name in before:
            if self._back_ends.get(name) is None:
                self._removed_until[name] = now + REMOVED_ENTRY_S
                _log.info(BACK_END_GONE, back_end=name, version=listing.version)
        self._forget_unlisted()
        return is_gap

    def _forget_unlisted(self) -> None:
        """Forget the state of backend servers that are no longer listed."""
        for beliefs in (self._health, self.reach, self._prefix_cache):
            beliefs.keep_only(lambda name: self._back_ends.get(name) is not None)

    def _log_ignored(
        self, read: ListedBackEnd, listed: ListedBackEnd | None, listing: Listing[ListedBackEnd]
    ) -> None:
        """Log an entry that was read and not listed."""
        _log.info(
            BACK_END_IGNORED,
            back_end=read.name,
            started_at_ms=read.started_at_ms,
            beat=read.beat,
            row_version=listing.versions.get(read.name, 0),
            listed_started_at_ms=listed.started_at_ms if listed is not None else None,
            listed_beat=listed.beat if listed is not None else None,
            version=listing.version,
        )

    def on_peer_update(self, update: PeerUpdate, now: float) -> bool:
        """Apply an update from a peer, and return whether it holds further parts of prompts."""
        if update.only_listing:
            return False
        if update.only_crashes:
            return self.crash_evidence.on_peer_update(update, now)
        if update.avoided or update.leaving or update.gone:
            self._candidate_cache.invalidate()
        if update.stopping:
            self.ledger.forget_peer(update.sender)
        else:
            self.ledger.set_peer_work(update.sender, update.work, now)
        self.limits.on_update(update, now)
        for back_end, remaining_s in self._credible_backoffs(update).items():
            if not self._health.is_in_backoff(back_end, now):
                _log.info(
                    BACK_END_AVOIDED_BY_PEER,
                    back_end=back_end,
                    peer=update.sender,
                    rest_s=round(remaining_s, 2),
                )
            self._health.on_peer_backoff(back_end, now + remaining_s)
        for back_end, started_at_ms in update.leaving.items():
            self._self_reports.record_peer_leaving(back_end, started_at_ms, now)
        self._peer_removed_until.update(dict.fromkeys(update.gone, now + REMOVED_ENTRY_S))
        for name, ended in update.ended_starts.items():
            self._on_peer_ended(name, ended, update.sender, now)
        self._prefix_cache.add_peer_prefixes(update.kept, now)
        return self.crash_evidence.on_peer_update(update, now)

    def local_state(self, cross_region: bool, now: float) -> LocalFleetState:
        """Return the state to send to peers.

        Takes out the newly cached parts: each is returned once for peers nearby and once for peers
        in other regions.
        """
        return LocalFleetState(
            work=dict(self.ledger.own),
            avoided=self._health.backoffs(now, self.reach.confirmed_at),
            leaving=self._self_reports.leaving(self._back_ends),
            kept=self._prefix_cache.take_unsent(cross_region),
            gone=tuple(self._removed_until),
            ended_starts=self._refused_starts(),
            **self.limits.build_update(cross_region, now)._asdict(),
            **self.crash_evidence.update(now)._asdict(),
        )

    def view(self, last_short_at: Mapping[str, float], now: float) -> FleetView:
        """Return a snapshot of the backend servers and their work.

        `last_short_at` is the time at which a request last had to wait for a slot, by service.
        """
        back_ends: Iterable[ListedBackEnd] = self._back_ends
        listed = tuple(back_ends)
        work = {entry.name: self.ledger.total(entry.name, now) for entry in listed}
        busy_services = frozenset(entry.service for entry in listed if any(work[entry.name]))
        return FleetView(listed, work, dict(last_short_at), busy_services, self.limits.limited)

    def _refused_starts(self) -> dict[str, EndedBeat]:
        """Return the ended starts that a peer may take for servers that live."""
        refused = islice(self._back_ends.refused_starts.items(), MAX_ENDED_STARTS_TOLD)
        return {
            name: EndedBeat(ended.last.started_at_ms, ended.last.beat) for name, ended in refused
        }

    def _on_peer_ended(self, name: str, ended: EndedBeat, peer: str, now: float) -> None:
        if self._back_ends.on_peer_ended(name, *ended, now):
            self._candidate_cache.invalidate()
            self._forget_unlisted()
            _log.info(BACK_END_GONE, back_end=name, peer=peer, beat=ended.beat)

    def _credible_backoffs(self, update: PeerUpdate) -> Mapping[str, float]:
        """Return the backoffs of a peer, none if it avoids most backend servers that are listed.

        That says more of the peer's links than of the servers; each host sees such a loss by itself.
        """
        listed = len(self._back_ends)
        avoided = sum(1 for name in update.avoided if self._back_ends.get(name) is not None)
        is_wide = avoided > MAX_CREDIBLE_SHARE * listed and avoided > MIN_WIDE_BACKOFFS
        return {} if is_wide else update.avoided

    def _with_software(
        self, candidates: Mapping[str, Candidate], request: PlacementRequest, now: float
    ) -> dict[str, Candidate]:
        """Return the candidates that may go on with a stream, and those that may read for them."""
        usable = {
            name: each
            for name, each in candidates.items()
            if request.may_use(each.back_end)
            and not self._is_software_uncertain(each.back_end, request, now)
        }
        if not any(request.may_generate_at(each.back_end) for each in usable.values()):
            return {}
        return usable

    def _is_software_uncertain(
        self, back_end: ListedBackEnd, request: PlacementRequest, now: float
    ) -> bool:
        if request.software is None:
            return False
        start = back_end.name, back_end.started_at_ms
        return now < self._uncertain_software.get(start, now)

    def _build_candidates(self, service: str, now: float) -> dict[str, Candidate]:
        """Return the backend servers of a service that accept work, by name."""
        available = {}
        for back_end in self._back_ends.usable(service, now):
            name = back_end.name
            if (
                name in self._peer_removed_until
                or not self._self_reports.accepts_work(back_end, now)
                or self._health.is_in_backoff(name, now)
            ):
                continue
            failure_share, read_ms, plain_ms = self._health.estimates(name, now)
            available[name] = Candidate(
                back_end,
                self._regions.get(back_end.zone, back_end.zone),
                self.ledger.total(name, now),
                failure_share,
                0,
                read_ms,
                plain_ms,
            )
        return available


def _unexpired(beliefs: dict, now: float) -> dict:
    """Return the items that have not expired, from a mapping to expiry times."""
    return {subject: until for subject, until in beliefs.items() if until > now}
