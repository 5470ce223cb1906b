"""Rules that find the prompt parts that crash backend servers, for `bench.crash_suspects`."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from laburnumreel.coordination import CrashSuspects, _crash_rules, _crash_suspects


class NoParts(CrashSuspects):
    """Holds no part, as before issue 41: only whole requests are held, by their digest."""

    def hold_guilty(self, now: float) -> list[Any]:
        return []


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
        before = {name: getattr(_module_of(name), name) for name, _ in self.constants}
        for name, value in self.constants:
            setattr(_module_of(name), name, value)
        try:
            yield
        finally:
            for name, value in before.items():
                setattr(_module_of(name), name, value)


def _module_of(constant: str) -> Any:
    return _crash_rules if hasattr(_crash_rules, constant) else _crash_suspects


def _strikes(*pairs: tuple[int, float]) -> tuple[tuple[str, Any], ...]:
    """Return the constants for rules that ask for strikes and their share of the crashes alone."""
    rules = tuple(
        _crash_rules.Rule(
            strikes, strikes, share, _crash_rules.MIN_REQUESTS, _crash_rules.FIRST_TRIAL_S
        )
        for strikes, share in pairs
    )
    return (("RULES", rules),)


WHOLE_REQUESTS = Rule("whole requests only", NoParts)
RULES = (
    Rule("present"),
    WHOLE_REQUESTS,
    Rule("strikes alone", constants=_strikes((4, 0.75), (8, 0.3))),
    Rule("3 strikes", constants=_strikes((3, 0.75), (8, 0.3))),
    Rule("2 strikes", constants=_strikes((2, 0.75), (8, 0.3))),
    Rule("no share", constants=_strikes((4, 0.0))),
    Rule("no settling", constants=(("SETTLE_S", 0.0),)),
    Rule("no gap", constants=(("MIN_STRIKE_GAP_S", 0.0),)),
    Rule("3 in every crash", constants=_strikes((3, 1.0), (4, 0.75), (8, 0.3))),
    Rule("one server from 2", kept_to_one_from=2),
    Rule("ends waiting", ends_waiting=True),
)
