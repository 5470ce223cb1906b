"""Decides whether a request may be sent once more, within a budget that all hosts share.

Load patterns that this answers: a failure that many requests meet at once, so that every host wants
to send again, more than once for each; hosts that start or are cut off meanwhile, which hear of no
others and would take what is for all.
"""

from typing import NamedTuple

from laburnumreel.coordination import RetryBudget
from laburnumreel.relay._settings import RetrySettings

# The share of the deployment's budget that the hosts plan with. The rest covers that each host's
# window slides by itself.
PLANNED_BUDGET_SHARE = 0.8


class RetryDecision(NamedTuple):
    """Whether a request may be sent once more, and the figures of the window that decided it.

    `hosts` share the fixed part of the budget; it is None while their number is not known.
    """

    allowed: bool
    spent: int
    limit: float
    requests: int
    hosts: int | None


class FleetRetryBudgets:
    """This host's part of the budget for sends beyond the first of each request, by service.

    Each request earns its share at the host that it came to. The fixed part is divided by the most
    hosts that there were in the window. A process that replaces one that was killed has none of it
    for the length of a window, as that one may have spent it.

    >>> budgets = FleetRetryBudgets(RetrySettings(ratio=0.2, slack=10.0, window_s=10.0), started_at=0.0)
    >>> budgets.set_host_count(4, replaces_killed=True, now=1.0)
    >>> budgets.reserve("s", now=2.0).allowed, budgets.reserve("s", now=11.0).allowed
    (False, True)
    """

    def __init__(self, retry: RetrySettings, started_at: float) -> None:
        self._retry = retry
        self._started_at = started_at
        self._replaces_killed = False
        self._budgets: dict[str, RetryBudget] = {}
        # Numbers of hosts and since when each held, the newest last.
        self._host_counts: list[tuple[float, int]] = []

    def set_retry(self, retry: RetrySettings) -> None:
        """Take another budget; what was spent of the last one counts."""
        self._retry = retry
        for budget in self._budgets.values():
            budget.ratio = retry.ratio * PLANNED_BUDGET_SHARE
            budget.set_window(retry.window_s)

    def set_host_count(self, hosts: int, replaces_killed: bool, now: float) -> None:
        """Take how many hosts share the budget, this one included, and whether the process before
        this one was killed."""
        self._replaces_killed = replaces_killed
        self._host_counts.append((now, max(1, hosts)))
        self._max_hosts(now)

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller, once."""
        self._budget(service, now).deposit(now)

    def requests_per_s(self, service: str, now: float) -> float:
        """Return the requests of callers that came in a second, on average over the window."""
        budget = self._budgets.get(service)
        return budget.count_deposits(now) / self._retry.window_s if budget is not None else 0.0

    def reserve(self, service: str, now: float) -> RetryDecision:
        """Decide whether a request may be sent once more, and keep room for that send."""
        budget = self._budget(service, now)
        allowed = budget.reserve(now)
        hosts = self._max_hosts(now)
        return RetryDecision(allowed, budget.permits_taken, budget.limit, budget.deposits, hosts)

    def record_retry(self, service: str, now: float) -> None:
        """Count a reserved send that is made now."""
        self._budget(service, now).commit(now)

    def release_unused(self, service: str, now: float) -> None:
        """Give back the room for a send that will not be made."""
        self._budget(service, now).release()

    def _budget(self, service: str, now: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._retry.ratio * PLANNED_BUDGET_SHARE
            budget = self._budgets[service] = RetryBudget(ratio, 0, self._retry.window_s)
        budget.minimum = self._fixed_share(now)
        return budget

    def _fixed_share(self, now: float) -> float:
        hosts = self._max_hosts(now)
        is_first_window = now - self._started_at < self._retry.window_s
        if hosts is None or (is_first_window and self._replaces_killed):
            return 0.0
        return self._retry.slack * PLANNED_BUDGET_SHARE / hosts

    def _max_hosts(self, now: float) -> int | None:
        """Return the most hosts that there were in the window, or None if that is not known."""
        while len(self._host_counts) > 1 and self._host_counts[1][0] <= now - self._retry.window_s:
            del self._host_counts[0]
        return max((count for _, count in self._host_counts), default=None)
