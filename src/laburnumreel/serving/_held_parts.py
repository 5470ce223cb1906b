"""The parts of prompts that are held because they crash the engines that answer them."""

from collections.abc import Iterable, Mapping

from laburnumreel.coordination import (
    HOLD_S,
    BrokenRequest,
    CrashReport,
    CrashSuspects,
    HeldPart,
    HeldPartStatus,
    NodeUpdate,
)
from laburnumreel.core import Log
from laburnumreel.serving._events import PART_HELD, PART_RELEASED
from laburnumreel.serving._metrics import HELD_PARTS, PARTS_HELD
from laburnumreel.state import ErrorKind, Refusal

HELD_PART_DETAIL = "A part of its prompt crashed them in other requests too."
# Peers receive a crash of many requests in several reports, each of which fits into an exchange.
MAX_REQUESTS_PER_REPORT = 16

_log = Log("serving.held_parts")


class HeldParts:
    """Finds the parts of prompts that crash engines, and refuses requests with them.

    Not thread-safe except for `refusal`.
    """

    def __init__(self) -> None:
        self._suspects = CrashSuspects()
        # What was found by this gateway itself, of the parts that are held.
        self._found: dict[str, HeldPart] = {}

    def record_crash(self, back_end: str, requests: Iterable[BrokenRequest], now: float) -> None:
        """Record a crash and the requests that the back end had not begun to answer."""
        for request in requests:
            self._suspects.record_crash(back_end, request, now)

    def is_explained(self, back_end: str, at: float) -> bool:
        """Return whether a part that is held explains the crash of a back end at a time."""
        return self._suspects.is_explained(back_end, at)

    def record_answer(self, parts: Iterable[str], now: float) -> bool:
        """Record that an answer has begun, and return whether that let a held part go."""
        released = self._suspects.record_answer(parts, now)
        self._log_released(released, "answered")
        return bool(released)

    def hold_guilty(self, now: float) -> list[HeldPart]:
        """Let go what has expired, and return the parts that are held from now on."""
        self._log_released(self._suspects.forget_old(now), "expired")
        held = self._suspects.hold_guilty(now)
        holds = self._suspects.holds(now)
        self._found = {part: found for part, found in self._found.items() if part in holds}
        self._found |= {each.part: each for each in held}
        for part, back_ends, requests in held:
            PARTS_HELD.inc(source="crashes")
            _log.warning(PART_HELD, part=part, back_ends=back_ends, requests=requests)
        HELD_PARTS.set(len(holds))
        return held

    def refusal(self, parts: Iterable[str], now: float) -> Refusal | None:
        """Return the refusal of a prompt with these parts, or None. May be called on any thread."""
        held = self._suspects.held_part(parts, now)
        if held is None:
            return None
        return Refusal(ErrorKind.QUARANTINED, HELD_PART_DETAIL, retry_after_s=held[1])

    def list_held(self, now: float) -> list[HeldPartStatus]:
        """Return the held parts, for operators."""
        return [
            (
                HeldPartStatus(part, HOLD_S - remaining_s, remaining_s, *self._found[part][1:])
                if part in self._found
                else HeldPartStatus(part, HOLD_S - remaining_s, remaining_s)
            )
            for part, remaining_s in self._suspects.holds(now).items()
        ]

    def release(self, part: str, now: float) -> bool:
        """Let a part go for an operator, and return whether it was held."""
        is_released = self._suspects.release(part, now)
        if is_released:
            self._log_released((part,), "operator")
        return is_released

    def make_update(self, now: float) -> NodeUpdate:
        """Return what peers must know: held parts, crashes seen here, and suspects answered here."""
        return NodeUpdate(
            held_parts=self._suspects.holds(now),
            # The newest first: what does not fit into an exchange is left out.
            crash_reports=tuple(
                CrashReport(report.back_end, report.age_s, report.requests[start:end])
                for report in reversed(self._suspects.reports(now))
                for start in range(0, len(report.requests), MAX_REQUESTS_PER_REPORT)
                for end in (start + MAX_REQUESTS_PER_REPORT,)
            ),
            answered_parts=self._suspects.answered_suspects(now),
        )

    def on_peer_update(self, update: NodeUpdate, now: float) -> list[str]:
        """Apply the update of a peer, and return the parts that are held because of it."""
        for report in update.crash_reports:
            self._suspects.on_peer_report(report, now)
        released = self._suspects.on_peer_answers(update.answered_parts, now)
        self._log_released(released, "answered_elsewhere")
        return self.on_peer_holds(update.held_parts, now)

    def on_peer_holds(self, holds: Mapping[str, float], now: float) -> list[str]:
        """Adopt the held parts of a peer, and return those that were not held here."""
        adopted = self._suspects.on_peer_holds(holds, now)
        for part in adopted:
            PARTS_HELD.inc(source="peer")
            _log.warning(PART_HELD, part=part, source="peer")
        return adopted

    def _log_released(self, parts: Iterable[str], reason: str) -> None:
        for part in parts:
            _log.warning(PART_RELEASED, part=part, reason=reason)
