"""Records of crashes and holds, as `CrashSuspects` keeps them."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

# How long a part is held after the last request with it.
HOLD_S = 600.0
MAX_REQUESTS_PER_CRASH = 256


class BrokenRequest(NamedTuple):
    """A request that a backend server had not begun to answer when it crashed.

    `parts` are the parts of its prompt that other prompts may share, in order. `digest` identifies
    the request when it is sent again.
    """

    request: str
    parts: tuple[str, ...]
    digest: str = ""


class CrashReport(NamedTuple):
    """What one host saw of the crash of a backend server `age_s` seconds ago."""

    back_end: str
    age_s: float
    requests: tuple[BrokenRequest, ...]


class HeldPart(NamedTuple):
    """A part that was found to crash backend servers, and the crashes that showed it."""

    part: str
    back_ends: tuple[str, ...]
    requests: int


class Hold:
    """A part whose requests are refused.

    `evidence_at` is the time of the last crash against it. `delays_s` are the times to wait after
    the trials that crash a server.
    """

    def __init__(
        self, since: float, evidence_at: float, trial_at: float, delays_s: Sequence[float]
    ) -> None:
        self.since = since
        self.until = since + HOLD_S
        self.evidence_at = evidence_at
        self.trial_at = trial_at
        self.trial_request = ""
        # When a trial last crashed a server, here or at a peer.
        self.tried_at = float("-inf")
        self._delays_s = deque(delays_s)

    def on_trial_crashed(self, now: float) -> None:
        """Delay the next trial, as one has crashed a server."""
        delay_s = self._delays_s.popleft() if len(self._delays_s) > 1 else self._delays_s[0]
        self.trial_at = now + delay_s
        self.tried_at = now


class Evidence:
    """What one crash says against one part."""

    def __init__(self) -> None:
        self.depth = 0
        self.requests: set[str] = set()


class Crash:
    """A crash, with the requests of all hosts that it broke off."""

    def __init__(self, back_end: str, at: float) -> None:
        self.back_end = back_end
        self.at = at
        self.requests: dict[str, BrokenRequest] = {}
        self.by_part: dict[str, Evidence] = {}
        # The requests that this host has lost, which it reports to its peers.
        self.own_requests: dict[str, BrokenRequest] = {}

    def add(self, request: BrokenRequest) -> bool:
        """Add a request, and return whether it was unknown."""
        is_full = len(self.requests) >= MAX_REQUESTS_PER_CRASH
        if is_full or request.request in self.requests:
            return False
        self.requests[request.request] = request
        for depth, part in enumerate(request.parts):
            evidence = self.by_part.setdefault(part, Evidence())
            evidence.depth = max(evidence.depth, depth)
            evidence.requests.add(request.request)
        return True
