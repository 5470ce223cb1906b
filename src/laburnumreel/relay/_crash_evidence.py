"""What this host and its peers know of crashes of backend servers, and what is held for them."""

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from laburnumreel.coordination import (
    BrokenRequest,
    CrashReport,
    CrashSuspects,
    HeldPart,
    Quarantine,
)
from laburnumreel.core import Log
from laburnumreel.relay._events import (
    PART_HELD,
    PART_HELD_BY_PEER,
    PART_RELEASED,
    PART_TRIED,
    REQUEST_HELD_BACK,
    REQUEST_RELEASED,
    SERVER_CRASHED,
)
from laburnumreel.relay._metrics import RELAY_CRASHES, RELAY_HELD_PARTS
from laburnumreel.relay._peer_update import PeerUpdate

# A crash counts against a request, and is reported to peers, for this long.
CRASH_S = 30.0
# A server that has not noticed that a request was ended may crash because of it for this long. Such
# a crash may be seen up to `ENDED_MARGIN_S` before, as hosts see it at different times.
ENDED_S = 5.0
ENDED_MARGIN_S = 1.0
MAX_LOGGED_NAMES = 8

# Log lines use the name of the dispatcher, because this code runs on its thread.
_log = Log("relay.dispatcher")


class LostRequest(NamedTuple):
    """A request that was broken off by a crash.

    `token` names it among all requests of all hosts, as callers may use an id twice. `digest`
    identifies it when it is sent again. `parts` are the shared parts of its prompt, none
    if its answer had already begun.
    """

    request_id: str
    token: str
    digest: str
    parts: tuple[str, ...]

    def as_broken(self) -> BrokenRequest:
        return BrokenRequest(self.token, self.parts, self.digest)


class HeldReason(NamedTuple):
    """Why a request is refused, and for how many more seconds."""

    detail: str
    remaining_s: float


class HeldPartView(NamedTuple):
    """A held part as operators see it.

    `found_by` is the host that judged it. `back_ends` crashed because of it, as far as this host
    knows; `refused` requests were refused here. `held_s` and `remaining_s` are seconds.
    """

    part: str
    found_by: str
    back_ends: tuple[str, ...]
    held_s: float
    remaining_s: float
    refused: int


class CrashUpdate(NamedTuple):
    """The part of a host's peer update about crashes; the fields are those of `PeerUpdate`."""

    held_back: Mapping[str, float]
    crashes: Mapping[str, float]
    crash_reports: tuple[CrashReport, ...]
    answered: Mapping[str, float]
    held_parts: Mapping[str, float]


class CrashEvidence:
    """Decides which requests are held because they crash backend servers.

    Whole requests are held by digest, parts of prompts by the evidence of all hosts. Not
    thread-safe; owned by the dispatcher.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._peers: set[str] = set()
        self._held_views: dict[str, HeldPartView] = {}
        self._quarantine = Quarantine()
        self._suspects = CrashSuspects()
        self._crashes: dict[str, float] = {}
        # When each crash reported by a peer is forgotten, by sender, boot and digest: until then it
        # counts only once.
        self._peer_crashes: dict[tuple[str, str, str], float] = {}
        # Requests that were ended for a held part, and when, by the backend server that had them.
        self._ended: dict[str, list[tuple[float, BrokenRequest]]] = {}

    @property
    def has_peers(self) -> bool:
        """Whether any peer was heard lately."""
        return bool(self._peers)

    def record_crash(self, back_end: str, lost: LostRequest, now: float) -> None:
        """Record a request that the crash of a backend server broke off here."""
        RELAY_CRASHES.inc(begun=str(not lost.parts).lower())
        _log.info(
            SERVER_CRASHED,
            back_end=back_end,
            request=lost.request_id,
            digest=lost.digest[:16],
            suspects=list(lost.parts[:MAX_LOGGED_NAMES]),
        )
        self._crashes[lost.digest] = now + CRASH_S
        self._count_crash(lost.digest, now)
        if lost.parts:
            self._suspects.record_crash(back_end, lost.as_broken(), now)
        self._count_ended(back_end, now)

    def record_ended(self, back_ends: Iterable[str], lost: LostRequest, now: float) -> None:
        """Record that a request was ended for a held part while some backend servers had it.

        If one of them crashes soon after, the request counts as broken off by the crash.
        """
        for back_end in back_ends:
            self._ended.setdefault(back_end, []).append((now, lost.as_broken()))

    def record_answer(self, parts: Sequence[str], now: float) -> None:
        """Record that the answer to a prompt with these shared parts has begun here."""
        self._log_released(self._suspects.record_answer(parts, now), "an answer began here")

    def held(self, digest: str, parts: Sequence[str], token: str, now: float) -> HeldReason | None:
        """Return why a request is held, or None if it may be sent.

        `digest` is empty for a request that was already admitted.
        """
        remaining_s = self._quarantine.remaining_quarantine_s(digest, now) if digest else None
        if remaining_s is not None:
            return HeldReason("the request crashed backend servers and is held back", remaining_s)
        held = self._untried_part(parts, token, now, self._is_trial_host)
        if held is None:
            return None
        part, remaining_s = held
        self._suspects.renew(part, now)
        view = self._held_views[part]
        self._held_views[part] = view._replace(refused=view.refused + 1)
        return _part_reason(part, remaining_s)

    def held_in_flight(self, parts: Sequence[str], token: str, now: float) -> HeldReason | None:
        """Return why a request that was admitted is held; None as well if it runs as a trial."""
        held = self._untried_part(parts, token, now, lambda part: False)
        return _part_reason(*held) if held is not None else None

    def start_due_trial(
        self, parts: Sequence[str], token: str, request_id: str, now: float
    ) -> bool:
        """Let a request that was sent run as the trial of its held parts, if one is due here."""
        is_due = self._untried_part(parts, token, now, self._is_trial_host) is None
        if is_due:
            self.start_trial(parts, token, request_id, now)
        return is_due

    def has_held(self, parts: Sequence[str], now: float) -> bool:
        """Return whether a request with these parts would be a trial."""
        return self._suspects.held_part(parts, now) is not None

    def start_trial(self, parts: Sequence[str], token: str, request_id: str, now: float) -> None:
        """Record that a request is sent; it is a trial of those of its parts that are held."""
        if self._suspects.has_holds:
            for part in self._suspects.start_trial(parts, token, now):
                _log.warning(PART_TRIED, part=part, request=request_id)

    def hold_guilty(self, now: float) -> bool:
        """Hold the parts that enough crashes speak against, and return whether there are new ones."""
        held = self._suspects.hold_guilty(now)
        for each in held:
            self._log_held(each)
            self._add_view(each.part, self._host, each.back_ends, now)
            self._forgive_neighbours(each.part, now)
        return bool(held)

    def on_peer_update(self, update: PeerUpdate, now: float) -> bool:
        """Apply a peer's update, and return whether there are new holds."""
        if update.stopping:
            self._peers.discard(update.sender)
        else:
            self._peers.add(update.sender)
        self._quarantine.on_peer_entries(update.held_back, now)
        for digest in update.crashes:
            crash_key = (update.sender, update.boot, digest)
            if crash_key not in self._peer_crashes:
                self._count_crash(digest, now)
            self._peer_crashes[crash_key] = now + CRASH_S
        # Before the crashes, so that no part is judged by them that was answered since.
        released = self._suspects.on_peer_answers(update.answered, now)
        self._log_released(released, f"an answer began at {update.sender}")
        for report in update.crash_reports:
            self._suspects.on_peer_report(report, now)
            self._count_ended(report.back_end, now - max(0.0, report.age_s))
        adopted = self._suspects.on_peer_holds(update.held_parts, now)
        for part in adopted:
            _log.warning(PART_HELD_BY_PEER, part=part, peer=update.sender)
            self._add_view(part, update.sender, (), now)
            self._forgive_neighbours(part, now)
        return bool(adopted)

    def held_parts(self, now: float) -> list[HeldPartView]:
        """Return what is held, for operators."""
        remaining, held_for_s = self._suspects.holds(now), self._suspects.held_for_s(now)
        return [
            view._replace(held_s=held_for_s[part], remaining_s=remaining[part])
            for part, view in self._held_views.items()
            if part in remaining
        ]

    def release(self, part: str, now: float) -> bool:
        """Let a held part go on all hosts, as an operator asked; return whether it was held."""
        is_released = self._suspects.release(part, now)
        if is_released:
            self._log_released((part,), "an operator let it go")
        return is_released

    def update(self, now: float) -> CrashUpdate:
        """Return what peers need to know."""
        return CrashUpdate(
            held_back=self._quarantine.entries(now),
            crashes={digest: until - now for digest, until in self._crashes.items()},
            crash_reports=self._suspects.reports(now),
            answered=self._suspects.answered_suspects(now),
            held_parts=self._suspects.holds(now),
        )

    def forget_old(self, now: float) -> None:
        """Drop all that has expired."""
        self._crashes = {key: until for key, until in self._crashes.items() if until > now}
        self._peer_crashes = {
            key: until for key, until in self._peer_crashes.items() if until > now
        }
        self._ended = {
            back_end: ended
            for back_end, ended in self._ended.items()
            if now - ended[-1][0] < ENDED_S + ENDED_MARGIN_S
        }
        self._log_released(self._suspects.forget_old(now), "its time is over")
        RELAY_HELD_PARTS.set(len(self._suspects.holds(now)))

    def forget_peer(self, name: str) -> None:
        """Forget a peer that is no longer heard from."""
        self._peers.discard(name)

    def _untried_part(
        self,
        parts: Sequence[str],
        token: str,
        now: float,
        is_trial_host: Callable[[str], bool],
    ) -> tuple[str, float] | None:
        """Return a held part that a request may not try, and its remaining seconds, or None."""
        for part in parts if self._suspects.has_holds else ():
            held = self._suspects.held_part((part,), now)
            if held is not None and not self._suspects.may_try((part,), token, now, is_trial_host):
                return held
        return None

    def _is_trial_host(self, part: str) -> bool:
        """Return whether this host tries a part, of all hosts that were heard lately."""
        hosts = (self._host, *self._peers)
        return self._host == min(hosts, key=lambda host: _rank(host, part))

    def _forgive_neighbours(self, part: str, now: float) -> None:
        """Take back the crashes that a held part explains from the requests that died beside it."""
        neighbours = self._suspects.neighbours(part)
        for digest in neighbours:
            self._crashes.pop(digest, None)
        for digest in self._quarantine.take_back_all(neighbours, now):
            _log.info(REQUEST_RELEASED, digest=digest[:16], part=part)

    def _count_ended(self, back_end: str, crashed_at: float) -> None:
        """Count requests that were ended at a backend server shortly before it crashed."""
        for ended_at, broken in self._ended.get(back_end, ()):
            if -ENDED_MARGIN_S <= crashed_at - ended_at < ENDED_S:
                self._suspects.record_crash(back_end, broken, crashed_at)

    def _count_crash(self, digest: str, now: float) -> None:
        # With `alone=False`, only repeated crashes quarantine the request.
        if self._quarantine.record_crash({digest}, alone=False, now=now):
            _log.warning(REQUEST_HELD_BACK, digest=digest[:16])

    def _log_held(self, held: HeldPart) -> None:
        _log.warning(
            PART_HELD,
            part=held.part,
            back_ends=list(held.back_ends[:MAX_LOGGED_NAMES]),
            crashes=len(held.back_ends),
            requests=held.requests,
        )

    def _add_view(self, part: str, found_by: str, back_ends: tuple[str, ...], now: float) -> None:
        self._held_views[part] = HeldPartView(part, found_by, back_ends, 0.0, 0.0, 0)

    def _log_released(self, parts: Sequence[str], reason: str) -> None:
        for part in parts:
            self._held_views.pop(part, None)
            _log.warning(PART_RELEASED, part=part, reason=reason)


def _part_reason(part: str, remaining_s: float) -> HeldReason:
    detail = f"part {part} of the prompt crashed backend servers and is held back"
    return HeldReason(detail, remaining_s)


def _rank(host: str, part: str) -> bytes:
    return hashlib.blake2b(f"{part}\0{host}".encode("utf-8", "replace"), digest_size=8).digest()
