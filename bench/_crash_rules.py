"""Rules that find the prompt parts that crash backend servers, for `bench.crash_suspects`."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from laburnumreel.coordination import CrashSuspects, _crash_suspects


class NoParts(CrashSuspects):
    """Holds no part, as before issue 41: only whole requests are held, by their digest."""

    def hold_guilty(self, now: float) -> list[Any]:
        return []


class AnswersBeside(CrashSuspects):
    """Holds a part only if requests without it were answered after its second crash."""

    def _case_against(self, part: str, now: float) -> list[Any]:
        crashes = super()._case_against(part, now)
        last_answer = next(reversed(self._answered_at.values()), float("-inf"))
        return crashes if len(crashes) > 1 and last_answer > crashes[1].at else []


class Elimination(AnswersBeside):
    """Counts a crash twice in which answers have cleared all parts that came without the part."""

    def _case_against(self, part: str, now: float) -> list[Any]:
        crashes = super()._case_against(part, now)
        if crashes:
            return crashes
        answered_at = self._answered_at
        crashes = [
            each
            for each in self._crashes
            if part in each.by_part
            and answered_at.get(part, float("-inf")) < each.at <= now - _crash_suspects.SETTLE_S
            and not each.is_explained
        ]
        if not 2 <= len(crashes) <= 3 or len({each.back_end for each in crashes}) < 2:
            return []
        if crashes[-1].at - crashes[0].at < _crash_suspects.MIN_STRIKE_GAP_S:
            return []
        sure = sum(
            all(
                evidence.requests <= each.by_part[part].requests
                or answered_at.get(other, float("-inf")) >= each.at
                for other, evidence in each.by_part.items()
            )
            for each in crashes
        )
        last_answer = next(reversed(answered_at.values()), float("-inf"))
        return crashes if len(crashes) + sure >= 4 and last_answer > crashes[1].at else []


class Rule(NamedTuple):
    """A rule: the class, its constants that differ, and the servers that suspects are kept to."""

    name: str
    suspects: type[CrashSuspects] = CrashSuspects
    constants: tuple[tuple[str, Any], ...] = ()
    # Requests with a part of this many uncleared crashes go to one server; 0 for none.
    kept_to_one_from: int = 0
    # Requests that a server has not begun to answer are ended when a part of theirs is held.
    ends_waiting: bool = False

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Set the constants for the time of a run."""
        before = {name: getattr(_crash_suspects, name) for name, _ in self.constants}
        for name, value in self.constants:
            setattr(_crash_suspects, name, value)
        try:
            yield
        finally:
            for name, value in before.items():
                setattr(_crash_suspects, name, value)


def _strikes(*pairs: tuple[int, float]) -> tuple[tuple[str, Any], ...]:
    return (("STRIKES_AND_SHARES", pairs),)


WHOLE_REQUESTS = Rule("whole requests only", NoParts)
RULES = (
    Rule("present"),
    WHOLE_REQUESTS,
    Rule("3 strikes", constants=_strikes((3, 0.75), (8, 0.3))),
    Rule("2 strikes", constants=_strikes((2, 0.75), (8, 0.3))),
    Rule("no share", constants=_strikes((4, 0.0))),
    Rule("no settling", constants=(("SETTLE_S", 0.0),)),
    Rule("no gap", constants=(("MIN_STRIKE_GAP_S", 0.0),)),
    Rule("3 in every crash", constants=_strikes((3, 1.0), (4, 0.75), (8, 0.3))),
    Rule("answers beside", AnswersBeside),
    Rule("elimination", Elimination),
    Rule("one server from 2", kept_to_one_from=2),
    Rule("ends waiting", ends_waiting=True),
    Rule("3, beside, ends", AnswersBeside, _strikes((3, 0.75), (8, 0.3)), ends_waiting=True),
)
