"""Crashes of back ends and the requests that were running there at the time."""

import socket
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from laburnumreel.coordination import STRIKE_WINDOW_S, BrokenRequest, Quarantine, RoutingRequest
from laburnumreel.core import Log
from laburnumreel.protocol import PART_DIGEST_BYTES
from laburnumreel.serving._events import BACK_END_CRASHED, STRIKES_TAKEN_BACK
from laburnumreel.serving._held_parts import HeldParts

MAX_CRASHES = 256
# The first request may lose its answer this long before the crash is confirmed.
LOSS_WINDOW_S = 1.0
CRASH_PROBE_TIMEOUT_S = 0.5
CLOSE_PROBE_TIMEOUT_S = 0.05

_log = Log("serving.crashes")


class RunningWork(NamedTuple):
    """A request at a back end, its quarantine digest and whether its answer has begun there."""

    digest: str
    work: RoutingRequest
    has_begun: bool = False

    def as_broken(self) -> BrokenRequest:
        return BrokenRequest(self.digest[: 2 * PART_DIGEST_BYTES], self.work.parts)


class _Crash(NamedTuple):
    """A crash whose affected requests have strikes."""

    back_end: str
    at: float
    affected: tuple[RunningWork, ...]


class CrashTracker:
    """Counts each crash once against the requests that were running on the back end.

    It speaks against the parts of the prompts that the back end had not begun to answer. If a held
    part explains it, only requests with that part are blamed.

    `sees_all_requests` is true if no other gateway sends requests to the same back ends.
    """

    def __init__(
        self, quarantine: Quarantine, held_parts: HeldParts, sees_all_requests: bool
    ) -> None:
        self._quarantine = quarantine
        self._held_parts = held_parts
        self._sees_all_requests = sees_all_requests
        # By back end and request id: recently lost answers, and the requests running at the crash.
        self._lost_answers: dict[str, dict[str, tuple[float, RunningWork]]] = {}
        self._affected_requests: dict[str, dict[str, RunningWork]] = {}
        # Recent crashes that no held part explains so far, the oldest first.
        self._unexplained: deque[_Crash] = deque(maxlen=MAX_CRASHES)

    def record_lost_answer(
        self, back_end: str, request_id: str, running: RunningWork, now: float
    ) -> None:
        """Record a request that lost its answer, before it is known whether the back end crashed."""
        self._lost_answers.setdefault(back_end, {})[request_id] = (now, running)

    def record_crash(
        self,
        back_end: str,
        request_id: str,
        has_progressed: bool,
        running: Mapping[str, RunningWork],
        now: float,
    ) -> set[str]:
        """Record a crash that a request observed and return the newly quarantined digests."""
        if request_id in self._affected_requests.get(back_end, {}):
            return set()
        lost_answers = self._lost_answers.pop(back_end, {})
        affected = {
            name: lost for name, (at, lost) in lost_answers.items() if now - at < LOSS_WINDOW_S
        }
        affected |= running
        self._affected_requests[back_end] = affected
        alone = self._sees_all_requests and not has_progressed
        broken = [
            each.as_broken() for each in affected.values() if each.work.model and not each.has_begun
        ]
        self._held_parts.record_crash(back_end, broken, now)
        digests = {each.digest for each in affected.values()}
        quarantined = self._quarantine.record_crash(digests, alone, now)
        self._unexplained.append(_Crash(back_end, now, tuple(affected.values())))
        quarantined -= self.take_back_strikes(now)
        _log.warning(
            BACK_END_CRASHED,
            back_end=back_end,
            requests=len(affected),
            unanswered=len(broken),
            quarantined=len(quarantined),
        )
        return quarantined

    def take_back_strikes(self, now: float) -> set[str]:
        """Take back the strikes of requests that were lost beside one with a held part.

        Return the digests that are no longer quarantined.
        """
        released = set()
        for crash in list(self._unexplained):
            if not self._held_parts.is_explained(crash.back_end, crash.at):
                continue
            self._unexplained.remove(crash)
            neighbours = {
                each.digest
                for each in crash.affected
                if self._held_parts.refusal(each.work.parts, now) is None
            }
            let_go = self._quarantine.take_back(neighbours, crash.at, now)
            if neighbours:
                _log.info(
                    STRIKES_TAKEN_BACK,
                    back_end=crash.back_end,
                    requests=len(neighbours),
                    released=len(let_go),
                )
            released |= let_go
        return released

    def is_quarantined(self, back_end: str, request_id: str, now: float) -> bool:
        """Return whether a request that was running at a crash is quarantined."""
        affected = self._affected_requests.get(back_end, {}).get(request_id)
        if affected is None:
            return False
        return self._quarantine.remaining_quarantine_s(affected.digest, now) is not None

    def forget_old_losses(self, now: float) -> None:
        """Remove lost answers that are too old to be part of a later crash, and old crashes."""
        while self._unexplained and now - self._unexplained[0].at >= STRIKE_WINDOW_S:
            self._unexplained.popleft()
        self._lost_answers = {
            name: lost_answers
            for name, lost_answers in self._lost_answers.items()
            if any(now - at < LOSS_WINDOW_S for at, _ in lost_answers.values())
        }


def has_crashed(address: tuple[str, int]) -> bool:
    """Return whether no process serves the address: a crashed back end, not a network failure.

    A process that is exiting may still accept the connection, but closes it immediately.
    """
    try:
        with socket.create_connection(address, CRASH_PROBE_TIMEOUT_S) as probe:
            probe.settimeout(CLOSE_PROBE_TIMEOUT_S)
            probe.recv(1)
            return True
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        return False
