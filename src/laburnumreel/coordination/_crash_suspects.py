"""Finds the parts of prompts that crash the backend servers that answer them.

A crash speaks against every part of the requests that the backend server had not begun to answer.
An answer that has begun clears the parts of its prompt of all crashes before it.
"""

from bisect import insort
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import islice

from laburnumreel.coordination._crash_records import (
    HOLD_S,
    BrokenRequest,
    Crash,
    CrashReport,
    HeldPart,
    Hold,
)
from laburnumreel.coordination._crash_rules import (
    CLEAR_EVIDENCE,
    FIRST_TRIAL_S,
    MIN_EVIDENCE,
    MIN_SERVERS,
    RELAPSE_RULE,
    SOUND_S,
    Rule,
    evidence_against,
    least_crashes,
    matching_rule,
    requests_with,
    weight_against,
)

# Reports of a crash of the same backend server within this time are about the same crash: it takes
# longer to start again.
SAME_CRASH_S = 3.5
# Answers within this time of one another count once, because peers may tell of the same one with
# slightly different ages, and how many of these times are kept.
ANSWER_STEP_S = 0.05
MAX_ANSWER_STEPS = 1000
STRIKE_WINDOW_S = 600.0
# How long reports of other requests and hosts about the same crash are awaited before it counts.
SETTLE_S = 0.3
# A held part is tried with single requests, by one host, in case it is held wrongly. These are the
# times between two trials that crash a server; the last one is repeated. The first trial comes after
# the time of the rule. A host that heard of the hold from a peer waits for the first of the times if it
# knows of the crashes, otherwise for `ADOPTED_TRIAL_DELAY_S`.
TRIAL_DELAYS_S = (FIRST_TRIAL_S, 600.0, 3600.0)
ADOPTED_TRIAL_DELAY_S = 600.0
# A trial that neither began an answer nor crashed a server is repeated after this time.
OPEN_TRIAL_S = 30.0
# After a hold has ended, one crash is enough for as long as this.
RELAPSE_S = 600.0
MIN_PEER_REMAINING_S = 2.0
# A request with a held part that crashes a peer's server is a trial if the part has been held for this
# long: those that were sent before the hold have begun or ended by then.
PEER_TRIAL_AFTER_S = 10.0
# Peers are told of a crash for this long.
REPORT_S = 4.0
# Peers are told that a part was let go, and their older holds of it are ignored, for this long.
RELEASE_S = 30.0
# Bounds of what an update tells, the newest first: the bytes of names in reports, and parts.
MAX_REPORT_BYTES = 12_000
MAX_ANSWERED_SUSPECTS = 200
MAX_CRASHES = 256
MAX_PARTS_PER_REQUEST = 32
# How many of the last answers are kept; up to twice as many are until the oldest are dropped.
MAX_ANSWERED_PARTS = 10_000


class CrashSuspects:
    """Decides which parts of prompts may not be sent because they crash backend servers.

    A part is held once enough crashes in a row speak against it that no answer has cleared. The
    part that explains most crashes is held first, and the later one in the prompt if two explain as
    many. Crashes that a held part explains speak against no other part. Not thread-safe.

    A wrong hold would never end by itself, because nothing with the part is answered. One host
    therefore tries a held part from time to time, with one request.

    >>> suspects = CrashSuspects()
    >>> for now in (1.0, 2.0, 3.0, 4.0):
    ...     broken = BrokenRequest(f"request-{now}", ("common", "deadly"))
    ...     suspects.record_crash(f"server-{now}", broken, now)
    ...     _ = suspects.record_answer(("common",), now + 0.1)
    >>> [(held.part, held.requests) for held in suspects.hold_guilty(4.5)]
    [('deadly', 4)]
    >>> suspects.held_part(("common", "deadly", "other"), 5.0)
    ('deadly', 599.5)
    """

    def __init__(self) -> None:
        # In the order of their times.
        self._crashes: list[Crash] = []
        # When an answer with each part last began, the oldest first.
        self._answered_at: dict[str, float] = {}
        self._last_answer_at = float("-inf")
        # When answers began anywhere, in steps of `ANSWER_STEP_S`, the first known first.
        self._answer_steps: dict[int, None] = {}
        self._holds: dict[str, Hold] = {}
        # Parts that were let go, which peers are told.
        self._released_at: dict[str, float] = {}
        # Until when a single crash is enough to hold a part again.
        self._relapses: dict[str, float] = {}
        # Parts of recently broken requests, and when they can be judged.
        self._unsettled: deque[tuple[float, set[str]]] = deque()
        # Parts that broke a rule, but beside too few answers, and whether an answer has come since.
        self._undecided: set[str] = set()
        self._has_new_answers = False

    @property
    def has_holds(self) -> bool:
        return bool(self._holds)

    def record_crash(self, back_end: str, request: BrokenRequest, now: float) -> None:
        """Record a request that a crash broke off here."""
        for part in request.parts:
            hold = self._holds.get(part)
            if hold is not None and hold.trial_request == request.request:
                hold.on_trial_crashed(now)
        self._record(back_end, now, (request,), now, is_own=True)

    def on_peer_answers(self, ages_s: Mapping[str, float], now: float) -> list[str]:
        """Record how long ago peers saw answers with each part begin; return the parts let go."""
        return self.record_answers({part: now - max(0.0, age_s) for part, age_s in ages_s.items()})

    def on_peer_report(self, report: CrashReport, now: float) -> None:
        """Record a crash that a peer reports."""
        at = now - max(0.0, report.age_s)
        if now - at < STRIKE_WINDOW_S:
            touched = self._record(report.back_end, at, report.requests, now, is_own=False)
            for part in touched & self._holds.keys():
                hold = self._holds[part]
                if at >= hold.since + PEER_TRIAL_AFTER_S and at > hold.tried_at + SAME_CRASH_S:
                    hold.on_trial_crashed(at)

    def hold_guilty(self, now: float) -> list[HeldPart]:
        """Hold the parts that settled crashes speak against enough, and return them."""
        due: set[str] = set()
        while self._unsettled and self._unsettled[0][0] <= now:
            due |= self._unsettled.popleft()[1]
        held = []
        due = self._often_crashed(due) if due else due
        undecided = set()
        if due or self._has_new_answers:
            undecided, self._undecided, self._has_new_answers = self._undecided, set(), False
        while due or undecided:
            unexplained = [
                crash
                for crash in self._crashes
                if crash.at + SETTLE_S <= now and not crash.by_part.keys() & self._holds.keys()
            ]
            guilty = {}
            for part in due | undecided:
                crashes = self._crashes_against(part, unexplained)
                least = MIN_EVIDENCE if part in due else CLEAR_EVIDENCE
                rule = self._broken_rule(part, crashes, unexplained, least)
                if rule is not None:
                    guilty[part] = crashes, rule
            if not guilty:
                break
            part = max(guilty, key=lambda each: weight_against(each, guilty[each][0]))
            crashes, rule = guilty[part]
            back_ends = tuple(crash.back_end for crash in crashes)
            held.append(HeldPart(part, back_ends, len(requests_with(part, crashes))))
            delays_s = [each for each in TRIAL_DELAYS_S if each > rule.trial_delay_s]
            self._holds[part] = Hold(now, crashes[-1].at, now + rule.trial_delay_s, delays_s)
            due.discard(part)
            undecided.discard(part)
        return held

    def neighbours(self, part: str) -> set[str]:
        """Return the digests of requests without a part that were lost in crashes it was in."""
        return {
            request.digest
            for crash in self._crashes
            if part in crash.by_part
            for request in crash.requests.values()
            if part not in request.parts
        }

    def record_answer(self, parts: Iterable[str], at: float) -> list[str]:
        """Record that an answer to a prompt with these parts has begun; return those let go."""
        return self.record_answers(dict.fromkeys(parts, at))

    def record_answers(self, answered_at: Mapping[str, float]) -> list[str]:
        """Record when answers to prompts with these parts began; return the parts let go."""
        released = []
        for part, at in answered_at.items():
            if at <= self._answered_at.get(part, float("-inf")):
                continue
            self._last_answer_at = max(self._last_answer_at, at)
            self._answer_steps[int(at / ANSWER_STEP_S)] = None
            self._has_new_answers = True
            self._answered_at.pop(part, None)
            self._answered_at[part] = at
            self._relapses.pop(part, None)
            hold = self._holds.get(part)
            if hold is not None and at > hold.evidence_at:
                self._release(part)
                self._released_at[part] = at
                released.append(part)
        while len(self._answer_steps) > MAX_ANSWER_STEPS:
            del self._answer_steps[next(iter(self._answer_steps))]
        if len(self._answered_at) > 2 * MAX_ANSWERED_PARTS:
            self._drop_oldest_answers()
        return released

    def held_part(self, parts: Iterable[str], now: float) -> tuple[str, float] | None:
        """Return a held part of a prompt and its remaining seconds, or None."""
        if not self._holds:
            return None
        for part in parts:
            hold = self._holds.get(part)
            if hold is not None and hold.until > now:
                return part, hold.until - now
        return None

    def renew(self, part: str, now: float) -> None:
        """Hold a part for as long as requests with it come."""
        hold = self._holds.get(part)
        if hold is not None:
            hold.until = now + HOLD_S

    def held_for_s(self, now: float) -> dict[str, float]:
        """Return for how many seconds each held part has been held here."""
        return {part: now - hold.since for part, hold in self._holds.items()}

    def may_try(
        self,
        parts: Iterable[str],
        request: str,
        now: float,
        is_trial_host: Callable[[str], bool],
    ) -> bool:
        """Return whether a request may be sent although parts of its prompt are held.

        `is_trial_host` returns whether this is the host that tries a part.
        """
        if not request:
            return False
        holds = [(part, self._holds[part]) for part in parts if part in self._holds]
        return all(
            hold.trial_request == request or (now >= hold.trial_at and is_trial_host(part))
            for part, hold in holds
        )

    def start_trial(self, parts: Iterable[str], request: str, now: float) -> list[str]:
        """Record that a request with held parts is sent as a trial, and return these parts."""
        tried = [
            part
            for part in parts
            if part in self._holds and self._holds[part].trial_request != request
        ]
        for part in tried:
            hold = self._holds[part]
            hold.trial_request, hold.trial_at = request, now + OPEN_TRIAL_S
        return tried

    def release(self, part: str, now: float) -> bool:
        """Let a part go as if it had been answered, and return whether it was held."""
        return bool(self.record_answers({part: now}))

    def holds(self, now: float) -> dict[str, float]:
        """Return the held parts with the remaining seconds of each."""
        return {part: hold.until - now for part, hold in self._holds.items() if hold.until > now}

    def on_peer_holds(self, holds: Mapping[str, float], now: float) -> list[str]:
        """Adopt the holds of a peer that are unknown here, and return their parts.

        A part that was answered within `RELEASE_S` is not held: the peer has not heard of it yet.
        """
        adopted = []
        for part, remaining_s in holds.items():
            recently_answered = now - self._answered_at.get(part, float("-inf")) < RELEASE_S
            if remaining_s < MIN_PEER_REMAINING_S or recently_answered or part in self._holds:
                continue
            hold = self._adopted_hold(part, now)
            hold.until = now + min(remaining_s, HOLD_S)
            self._holds[part] = hold
            adopted.append(part)
        return adopted

    def _adopted_hold(self, part: str, now: float) -> Hold:
        """Return the hold of a part that a peer judged, with trials as if judged here if it knows why.

        A host that has just started knows no crashes, and must not try the part each time.
        """
        crashes = {crash.back_end for crash in self._crashes if part in crash.by_part}
        if len(crashes) < MIN_SERVERS:
            return Hold(now, now, now + ADOPTED_TRIAL_DELAY_S, TRIAL_DELAYS_S[-1:])
        return Hold(now, now, now + TRIAL_DELAYS_S[0], TRIAL_DELAYS_S[1:])

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return what this host saw of recent crashes, for its peers, the newest first."""
        reports, room = [], MAX_REPORT_BYTES
        for crash in reversed(self._crashes):
            if not crash.own_requests or now - crash.at >= REPORT_S:
                continue
            told = []
            for request in crash.own_requests.values():
                room -= sum(map(len, (request.request, request.digest, *request.parts)))
                if room >= 0:
                    told.append(request)
            reports.append(CrashReport(crash.back_end, now - crash.at, tuple(told)))
            if room < 0:
                break
        return tuple(reports)

    def is_explained(self, back_end: str, at: float) -> bool:
        """Return whether a part that is held explains the crash of a backend server at a time."""
        return any(
            _is_same_crash(crash, back_end, at) and crash.by_part.keys() & self._holds.keys()
            for crash in self._crashes
        )

    def answered_suspects(self, now: float) -> dict[str, float]:
        """Return how long ago parts that recent crashes speak against were last answered.

        Parts that were let go lately are among them, however old the crashes are.
        """
        ages = {part: now - at for part, at in self._released_at.items()}
        counts: Counter[str] = Counter()
        for crash in reversed(self._crashes):
            if now - crash.at >= 2 * REPORT_S or len(ages) >= MAX_ANSWERED_SUSPECTS:
                break
            counts.update(crash.by_part.keys())
            for part in crash.by_part:
                age_s = now - self._answered_at.get(part, float("-inf"))
                # A single crash holds no part.
                if age_s < SOUND_S and counts[part] > 1:
                    ages[part] = age_s
        return dict(islice(ages.items(), MAX_ANSWERED_SUSPECTS))

    def forget_old(self, now: float) -> list[str]:
        """Drop what has expired, and return the parts whose hold has ended."""
        self._crashes = [each for each in self._crashes if now - each.at < STRIKE_WINDOW_S]
        ended = [part for part, hold in self._holds.items() if hold.until <= now]
        for part in ended:
            self._release(part)
            self._relapses[part] = now + RELAPSE_S
        self._released_at = {
            part: at for part, at in self._released_at.items() if now - at < RELEASE_S
        }
        self._relapses = {part: until for part, until in self._relapses.items() if until > now}
        return ended

    def _drop_oldest_answers(self) -> None:
        """Forget the oldest answers; those to parts that crashes would speak against again last."""
        suspected = set().union(*(crash.by_part for crash in self._crashes))
        oldest = sorted(self._answered_at, key=suspected.__contains__)
        for part in oldest[: len(oldest) - MAX_ANSWERED_PARTS]:
            del self._answered_at[part]

    def _record(
        self,
        back_end: str,
        at: float,
        requests: Sequence[BrokenRequest],
        now: float,
        is_own: bool,
    ) -> set[str]:
        """Record requests that a crash broke off; return the parts of those that were unknown."""
        crash = self._find_or_add(back_end, at)
        touched: set[str] = set()
        for request in requests:
            request = request._replace(parts=request.parts[:MAX_PARTS_PER_REQUEST])
            if not crash.add(request):
                continue
            touched.update(request.parts)
            if is_own:
                crash.own_requests[request.request] = request
        if touched:
            self._unsettled.append((max(now, crash.at + SETTLE_S), touched))
        return touched

    def _find_or_add(self, back_end: str, at: float) -> Crash:
        for crash in reversed(self._crashes):
            if _is_same_crash(crash, back_end, at):
                return crash
        crash = Crash(back_end, at)
        insort(self._crashes, crash, key=lambda each: each.at)
        del self._crashes[:-MAX_CRASHES]
        return crash

    def _often_crashed(self, parts: Iterable[str]) -> set[str]:
        """Return those of the parts that may be held: in enough crashes, or held before."""
        counts: Counter[str] = Counter()
        for crash in self._crashes:
            counts.update(crash.by_part.keys())
        least = least_crashes()
        return {part for part in parts if counts[part] >= least or part in self._relapses}

    def _crashes_against(self, part: str, unexplained: Sequence[Crash]) -> list[Crash]:
        answered_at = self._answered_at.get(part, float("-inf"))
        return [each for each in unexplained if each.at > answered_at and part in each.by_part]

    def _broken_rule(
        self,
        part: str,
        crashes: Sequence[Crash],
        unexplained: Sequence[Crash],
        least_evidence: float,
    ) -> Rule | None:
        """Return the rule by which a part is held, or None if too little speaks against it."""
        if part in self._relapses and crashes:
            return RELAPSE_RULE
        answered_at = self._answered_at.get(part, float("-inf"))
        rule = matching_rule(part, crashes, unexplained, answered_at)
        if rule is None:
            return None
        since = crashes[0].at
        answers = sum(1 for step in self._answer_steps if step * ANSWER_STEP_S > since)
        evidence = evidence_against(part, crashes, unexplained, answers)
        # Without an answer to any prompt, the servers may be what is broken.
        if evidence < least_evidence or self._last_answer_at <= crashes[1].at:
            self._undecided.add(part)
            return None
        return rule if evidence >= CLEAR_EVIDENCE else rule._replace(trial_delay_s=0.0)

    def _release(self, part: str) -> None:
        """Let a part go, and judge the others again by the crashes that it no longer explains."""
        released_at = self._holds.pop(part).since
        touched = {
            name for crash in self._crashes if part in crash.by_part for name in crash.by_part
        }
        if touched:
            self._unsettled.appendleft((released_at, touched - {part}))


def _is_same_crash(crash: Crash, back_end: str, at: float) -> bool:
    return crash.back_end == back_end and abs(crash.at - at) < SAME_CRASH_S
