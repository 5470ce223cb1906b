"""What a host believes of the backend servers: listed, at work, kept prompts, conduct, crashes."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from laburnumreel.coordination import Quarantine
from laburnumreel.core import Log
from laburnumreel.relay._assignments import Assignment, Order
from laburnumreel.relay._back_ends import BackEndList, ListedBackEnd, Role
from laburnumreel.relay._conduct import Conduct
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._events import (
    BACK_END_AVOIDED,
    BACK_END_GONE,
    BACK_END_LISTED,
    REQUEST_HELD_BACK,
)
from laburnumreel.relay._feeds import Link
from laburnumreel.relay._fleet_limits import FleetLimits, LimitRoom
from laburnumreel.relay._news import News
from laburnumreel.relay._ports import Listing
from laburnumreel.relay._prompts import PromptMemory
from laburnumreel.relay._requests import Prompt, Word
from laburnumreel.relay._self_reports import SelfReports
from laburnumreel.relay._server_limits import LimitNews
from laburnumreel.relay._standings import Standings
from laburnumreel.relay._weighing import Candidate, Place, place_of
from laburnumreel.relay._work import Work, WorkLedger

# The share of a reading engine's memory that keeps starts of prompts; the rest holds what is read.
START_MEMORY_SHARE = 0.6
# A crash counts against a request for this long, and is told to peers as long.
CRASH_S = 30.0
# Peers that have not looked at the list yet are told for this long of an entry that has gone, and
# send its backend server nothing for as long: it may come back.
GONE_S = 3.0

# The names in log lines are those of the dispatcher, whose thread this runs on.
_log = Log("relay.dispatcher")


class OwnBeliefs(NamedTuple):
    """The part of a host's news that the dispatcher knows."""

    work: Mapping[str, Work]
    avoided: Mapping[str, float]
    held_back: Mapping[str, float]
    crashes: Mapping[str, float]
    leaving: Mapping[str, int]
    kept: Mapping[str, tuple[str, ...]]
    gone: tuple[str, ...]
    limits: Mapping[str, LimitNews]
    asked: Mapping[str, float]
    limited_sends: Mapping[str, int]


class FleetView(NamedTuple):
    """The backend servers and the work at each, for planning.

    `pressed` tells when a request last found no place of a service at once, `busy` names the services
    with any work, `limited` the backend servers with a limit.
    """

    back_ends: tuple[ListedBackEnd, ...]
    work: Mapping[str, Work]
    pressed: Mapping[str, float]
    busy: frozenset[str]
    limited: frozenset[str] = frozenset()


class FleetBeliefs:
    """All that a host knows of the backend servers, from their list, its requests and its peers.

    `asked_per_s` gives the requests a second for a service that come to this host. Not safe for use
    by several threads; the dispatcher owns it.
    """

    def __init__(
        self,
        here: Place,
        regions: Mapping[str, str],
        return_grace_s: float,
        host: str = "",
        asked_per_s: Callable[[str, float], float] = lambda service, now: 0.0,
    ) -> None:
        self._here = here
        self._regions = dict(regions)
        self._back_ends = BackEndList(return_grace_s)
        self._conduct = Conduct()
        self._prompts = PromptMemory()
        self._quarantine = Quarantine()
        self._crashes: dict[str, float] = {}
        # Crashes that peers told of, so that each counts once, and when they are forgotten.
        self._crashes_heard: dict[tuple[str, str, str], float] = {}
        self._self_reports = SelfReports()
        # Backend servers whose entries went from this host's list, and from a peer's.
        self._gone: dict[str, float] = {}
        self._gone_heard: dict[str, float] = {}
        self.ledger = WorkLedger()
        self.limits = FleetLimits(
            host, here.region, lambda zone: self.place(zone).region, self._back_ends, asked_per_s
        )
        self._standings = Standings(self._standing, self.ledger)

    def candidates(self, order: Order, now: float) -> list[Candidate]:
        """Return the backend servers that a request may be sent to, as placement sees them."""
        standing = self._standings.of(order.service, now)
        excluded = order.excluded | self.limits.closed(order.service, now)
        usable = dict(standing)
        for name in excluded:
            usable.pop(name, None)
        if order.prompt is None or order.copied_in:
            return list(usable.values())
        if not any(each.can_generate for each in usable.values()):
            # The request waits, whatever any of them keeps.
            return list(usable.values())
        for name, tokens in self._prompts.kept(usable, order.prompt, now):
            usable[name] = usable[name]._replace(kept_tokens=tokens)
        if order.prompt.shared:
            start = order.prompt.shared[-1].name
            for home in self._standings.homes(order.service, start, excluded):
                usable[home] = usable[home]._replace(home=True)
        return list(usable.values())

    def place(self, zone: str) -> Place:
        """Return an availability zone with its region."""
        return place_of(zone, self._regions.get(zone, zone))

    def any_usable(self, order: Order, now: float) -> bool:
        """Return whether a request could be sent anywhere, now or when a limit has room for it."""
        standing = self._standings.of(order.service, now)
        return any(name not in order.excluded for name in standing)

    def any_listed(self, order: Order, now: float) -> bool:
        """Return whether another backend server is listed, though it may not be usable now."""
        listed = self._back_ends.usable(order.service, now)
        return any(each.name not in order.excluded for each in listed)

    def room_in_limits(self, order: Order, now: float) -> LimitRoom | None:
        """Return the room that limits have for a request, or None where one server has no limit."""
        if not self.limits.limited:
            return None
        standing = self._standings.of(order.service, now)
        usable = (each.back_end for name, each in standing.items() if name not in order.excluded)
        return self.limits.room(order.service, usable, now)

    def settled(self, traits: EngineTraits, candidates: Iterable[Candidate], now: float) -> bool:
        """Return whether the engines of this region can keep all starts that are asked for."""
        near = [each for each in candidates if each.region == self._here.region]
        readers = sum(1 for each in near if each.back_end.role is Role.PREFILL)
        if readers == len(near):
            return False
        room = readers * traits.kv_tokens * START_MEMORY_SHARE
        return room >= self._prompts.working_set(now) > 0

    def used(self, back_end: str, prompt: Prompt, now: float) -> None:
        """Count that an engine gets a prompt's shared parts."""
        self._prompts.used(back_end, prompt, now)

    def judged(self, back_end: str, failed: bool, took_ms: float | None, now: float) -> None:
        """Count how an attempt ended; `took_ms` is that of a plain request that was answered."""
        self._conduct.ended(back_end, failed, now)
        if took_ms is not None:
            self._conduct.worked(back_end, took_ms, now)
        if failed:
            self._standings.changed()

    def avoid(self, back_end: str, seconds: float, now: float) -> None:
        """Let a backend server rest."""
        self._conduct.rest(back_end, now + seconds, now)
        self._standings.changed()

    def said(self, back_end: ListedBackEnd, word: Word, rng: random.Random, now: float) -> None:
        """Take what a backend server said of itself in an answer to this host."""
        if word.limit_per_s is not None:
            self.limits.heard(back_end, word.limit_per_s, now)
        if word.leaving or word.full_s is not None:
            self._self_reports.heard(back_end, word, rng.random(), now)
            self._standings.changed()

    def full_for(self, service: str, now: float) -> float | None:
        """Return in how many seconds a service's first full backend server takes work again.

        None where another reason than that keeps its backend servers from work.
        """
        return self._self_reports.full_for(self._back_ends.usable(service, now), now)

    def moved(self, back_end: str) -> None:
        """Take in that another backend server has this one's address."""
        self._back_ends.forget(back_end)
        self._standings.changed()
        _log.info(BACK_END_GONE, back_end=back_end, reason="another has its address")

    def directory(self, link: Link, now: float) -> None:
        """Take in what became of the directory."""
        self._standings.changed()
        match link:
            case "lost":
                self._back_ends.directory_lost(now)
            case "doubted":
                self._back_ends.directory_doubted(now)
            case "back":
                self._back_ends.directory_back(now)

    def held_for(self, digest: str, now: float) -> float | None:
        """Return for how many seconds a request is held back, or None."""
        return self._quarantine.held_for(digest, now)

    def forget_old(self, now: float) -> None:
        """Drop the beliefs whose time is over."""
        self._self_reports.listed(self._back_ends, now)
        self._crashes = _lasting(self._crashes, now)
        self._crashes_heard = _lasting(self._crashes_heard, now)
        self._self_reports.forget_old(now)
        self._gone = _lasting(self._gone, now)
        self._gone_heard = _lasting(self._gone_heard, now)
        self.limits.forget_old(now)

    def forget_peer(self, name: str) -> None:
        """Take in that a peer is not heard any more."""
        self.ledger.forget_peer(name)
        self.limits.forget_peer(name)

    def read(self, assignment: Assignment, prompt: Prompt, took_ms: float, now: float) -> None:
        """Take in that an engine has read a prompt in some milliseconds."""
        reader, work = assignment.reader, assignment.read_work
        self.ledger.remove(reader.name, work)
        self._conduct.ended(reader.name, False, now)
        tokens = assignment.ahead_tokens + work.reading_tokens
        self._conduct.read(reader.name, tokens, took_ms, now)
        self._prompts.used(reader.name, prompt, now)

    def unreachable(self, back_end: str, now: float) -> None:
        """Take in that a backend server could not be connected to, or went silent."""
        self._conduct.unreachable(back_end, now)
        self._standings.changed()
        rest_s = self._conduct.rests(now).get(back_end, 0.0)
        _log.warning(BACK_END_AVOIDED, back_end=back_end, rest_s=round(rest_s, 2))

    def crashed(self, back_end: str, digest: str, now: float) -> None:
        """Take in that a backend server crashed while it ran a request."""
        self._prompts.restarted(back_end)
        self._crashes[digest] = now + CRASH_S
        self._strike(digest, now)

    def _strike(self, digest: str, now: float) -> None:
        if self._quarantine.crashed({digest}, alone=False, now=now):
            _log.warning(REQUEST_HELD_BACK, digest=digest[:16])

    def listed(self, listing: Listing[ListedBackEnd], now: float) -> None:
        """Take what the directory says, and forget what is known of those that are gone."""
        self._standings.changed()
        before = {entry.name: entry for entry in self._back_ends}
        present = {name: entry for name, entry in listing.entries.items() if entry is not None}
        if listing.complete:
            self._back_ends.replace(present.values(), now)
        else:
            for name, entry in listing.entries.items():
                if entry is None:
                    self._back_ends.drop(name, now)
                else:
                    self._back_ends.put(entry)
        for name, entry in present.items():
            self._gone.pop(name, None)
            old = before.get(name)
            if old is not None and old.started_at_ms != entry.started_at_ms:
                self._prompts.restarted(name)
            if old is None or old._replace(beat=0) != entry._replace(beat=0):
                _log.info(
                    BACK_END_LISTED,
                    back_end=name,
                    service=entry.service,
                    zone=entry.zone,
                    role=entry.role,
                    draining=entry.draining,
                    cheap=entry.cheap,
                    version=listing.version,
                )
        for name in before:
            if self._back_ends.get(name) is None:
                self._gone[name] = now + GONE_S
                _log.info(BACK_END_GONE, back_end=name, version=listing.version)
        self._conduct.keep_only(lambda name: self._back_ends.get(name) is not None)
        self._prompts.keep_only(lambda name: self._back_ends.get(name) is not None)

    def peer(self, news: News, now: float) -> None:
        """Take a peer's news."""
        if news.avoided or news.leaving or news.gone:
            self._standings.changed()
        if news.stopping:
            self.ledger.forget_peer(news.sender)
        else:
            self.ledger.peer(news.sender, news.work, now)
        self.limits.peer(news, now)
        for back_end, left_s in news.avoided.items():
            self._conduct.told(back_end, now + left_s)
        for back_end, started_at_ms in news.leaving.items():
            self._self_reports.told_leaving(back_end, started_at_ms, now)
        self._gone_heard.update(dict.fromkeys(news.gone, now + GONE_S))
        self._prompts.peer(news.kept, now)
        self._quarantine.on_peer(news.held_back, now)
        for digest in news.crashes:
            heard = (news.sender, news.boot, digest)
            if heard not in self._crashes_heard:
                self._strike(digest, now)
            self._crashes_heard[heard] = now + CRASH_S

    def own(self, far: bool, now: float) -> OwnBeliefs:
        """Return what this host tells its peers; kept parts only once to those near and far."""
        return OwnBeliefs(
            work=dict(self.ledger.own),
            avoided=self._conduct.rests(now),
            held_back=self._quarantine.entries(now),
            crashes={digest: until - now for digest, until in self._crashes.items()},
            leaving=self._self_reports.leaving(self._back_ends),
            kept=self._prompts.take_news(far),
            gone=tuple(self._gone),
            **self.limits.news(far, now)._asdict(),
        )

    def view(self, pressed: Mapping[str, float], now: float) -> FleetView:
        """Return the backend servers and the work at each, with when places were last short."""
        back_ends: Iterable[ListedBackEnd] = self._back_ends
        listed = tuple(back_ends)
        work = {entry.name: self.ledger.total(entry.name, now) for entry in listed}
        busy = frozenset(entry.service for entry in listed if any(work[entry.name]))
        return FleetView(listed, work, dict(pressed), busy, self.limits.limited)

    def _standing(self, service: str, now: float) -> dict[str, Candidate]:
        """Return the backend servers of a service that take work, by name."""
        standing = {}
        for back_end in self._back_ends.usable(service, now):
            name = back_end.name
            if (
                name in self._gone_heard
                or not self._self_reports.takes_work(back_end, now)
                or self._conduct.resting(name, now)
            ):
                continue
            failure_share, read_ms, plain_ms = self._conduct.figures(name, now)
            standing[name] = Candidate(
                back_end,
                self._regions.get(back_end.zone, back_end.zone),
                self.ledger.total(name, now),
                failure_share,
                0,
                read_ms,
                plain_ms,
            )
        return standing


def _lasting(beliefs: dict, now: float) -> dict:
    """Return the beliefs that have not ended, given with the time at which each does."""
    return {subject: until for subject, until in beliefs.items() if until > now}
