"""Decides whether a request may be sent once more, within a budget that all hosts share.

Load patterns that this answers: a failure that many requests meet at once, so that every host wants
to send again, more than once for each.
"""

from typing import NamedTuple

from laburnumreel.coordination import RetryBudget
from laburnumreel.relay._settings import RetrySettings

# The share of the deployment's budget that the hosts plan with. The rest covers that each host's
# window slides by itself.
PLANNED_SHARE = 0.8


class RepeatDecision(NamedTuple):
    """Whether a request may be sent once more, and the figures of the window that decided it.

    `hosts` share the fixed part of the budget.
    """

    allowed: bool
    spent: int
    limit: float
    requests: int
    hosts: int


class Repeats:
    """This host's part of the budget for sends beyond the first of each request, by service.

    Each request earns its share at the host that it came to.

    >>> repeats = Repeats(RetrySettings(ratio=0.2, slack=10.0, window_s=10.0))
    >>> repeats.share_with(4)
    >>> repeats.reserve("s", now=2.0).allowed, repeats.reserve("s", now=2.0).allowed
    (True, True)
    """

    def __init__(self, retry: RetrySettings) -> None:
        self._retry = retry
        self._budgets: dict[str, RetryBudget] = {}
        self._hosts = 1

    def share_with(self, hosts: int) -> None:
        """Take how many hosts share the budget, this one included."""
        self._hosts = max(1, hosts)

    def requested(self, service: str, now: float) -> None:
        """Count a request of a caller, once."""
        self._budget(service).earn(now)

    def reserve(self, service: str, now: float) -> RepeatDecision:
        """Decide whether a request may be sent once more, and keep room for that send."""
        budget = self._budget(service)
        allowed = budget.reserve(now)
        return RepeatDecision(allowed, budget.spent, budget.limit, budget.earned, self._hosts)

    def sent(self, service: str, now: float) -> None:
        """Count a reserved send that is made now."""
        self._budget(service).use(now)

    def unused(self, service: str, now: float) -> None:
        """Give back the room for a send that will not be made."""
        self._budget(service).release()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._retry.ratio * PLANNED_SHARE
            budget = self._budgets[service] = RetryBudget(ratio, 0, self._retry.window_s)
        budget.minimum = self._retry.slack * PLANNED_SHARE / self._hosts
        return budget
