"""How much must speak against a part of prompts before `CrashSuspects` holds it."""

from collections.abc import Sequence
from math import log
from typing import NamedTuple

from laburnumreel.coordination._crash_records import Crash

# Servers that are lost within this time are one strike, because they are likely to have a common
# cause.
MIN_STRIKE_GAP_S = 0.2
# A part is held if no answer meanwhile had a part as frequent as it, by chance, with a probability
# of at most e to the minus the first; it is tried at once unless also e to the minus the second.
MIN_EVIDENCE = 1.0
CLEAR_EVIDENCE = 4.0
MIN_SERVERS = 2
MIN_REQUESTS = 2
# When a part is first tried, unless it is at once.
FIRST_TRIAL_S = 30.0


class Rule(NamedTuple):
    """How much must speak against a part that no answer has cleared since.

    It must have been at `share` of all servers that crashed meanwhile. The part is tried
    `trial_delay_s` after it was held.
    """

    strikes: int
    crashes: int
    share: float
    requests: int
    trial_delay_s: float


RULES = (
    Rule(4, 4, 0.75, MIN_REQUESTS, FIRST_TRIAL_S),
    # Several such parts may come at the same time.
    Rule(8, 8, 0.3, MIN_REQUESTS, FIRST_TRIAL_S),
    # Crashes may come so fast that they are few strikes.
    Rule(3, 5, 0.9, 4, 0.0),
    Rule(2, 5, 0.9, 5, 0.0),
    Rule(2, 6, 0.9, 3, 0.0),
)
# For parts that were answered shortly before the crashes began.
RULES_FOR_SOUND = (Rule(8, 8, 0.75, 8, 0.0),)
SOUND_S = 60.0
# A single crash is enough against a part that was held before.
RELAPSE_RULE = RULES[0]


def least_crashes() -> int:
    """Return the least number of crashes that a rule asks for."""
    return min(rule.crashes for rule in RULES)


def requests_with(part: str, crashes: Sequence[Crash]) -> set[str]:
    """Return the requests with a part that crashes which it was in broke off."""
    return set().union(*(crash.by_part[part].requests for crash in crashes))


def matching_rule(
    part: str, crashes: Sequence[Crash], unexplained: Sequence[Crash], answered_at: float
) -> Rule | None:
    """Return the rule by which the crashes alone would be enough to hold a part, or None.

    `crashes` are those that speak against the part, of the `unexplained` ones. `answered_at` is when
    an answer with the part last began.
    """
    if len({crash.back_end for crash in crashes}) < MIN_SERVERS:
        return None
    strikes, last_at = 0, float("-inf")
    for crash in crashes:
        if crash.at >= last_at + MIN_STRIKE_GAP_S:
            strikes, last_at = strikes + 1, crash.at
    first_at = crashes[0].at
    since_first = sum(1 for each in unexplained if each.at >= first_at)
    requests = len(requests_with(part, crashes))
    was_sound = first_at - answered_at < SOUND_S
    for rule in RULES_FOR_SOUND if was_sound else RULES:
        if (
            strikes >= rule.strikes
            and len(crashes) >= max(rule.crashes, rule.share * since_first)
            and requests >= rule.requests
        ):
            return rule
    return None


def evidence_against(
    part: str, crashes: Sequence[Crash], unexplained: Sequence[Crash], answers: int
) -> float:
    """Return how unlikely it is that none of the `answers` since the first crash had a part.

    The result is the negative natural logarithm of the probability, for a sound part that is as
    frequent in answers as in the requests that were broken off.
    """
    since = crashes[0].at
    broken = set().union(*(crash.requests for crash in unexplained if crash.at >= since))
    return -answers * log(1 - len(requests_with(part, crashes)) / (len(broken) + 1))


def weight_against(part: str, crashes: Sequence[Crash]) -> tuple[int, int]:
    """Return how much speaks against a part: its crashes, and how far back it stands in prompts."""
    return len(crashes), max(crash.by_part[part].depth for crash in crashes)
