"""Retry budgets: whether a request may be sent again, within a budget that all hosts share.

This protects against two load patterns. First, a failure may hit many requests at once, so that
every host wants to retry, some requests more than once. Second, hosts that start or are partitioned
meanwhile know of no other hosts, and would use the whole budget alone.
"""

from typing import NamedTuple

from laburnumreel.coordination import RetryBudget
from laburnumreel.relay._settings import RetrySettings

# The share of the deployment's budget that the hosts plan with. The rest is a margin, because the
# hosts' sliding windows are not aligned.
PLANNED_BUDGET_SHARE = 0.8


class RetryDecision(NamedTuple):
    """Whether a request may be sent again, and the figures of the window that decided it.

    `hosts` is the number of hosts that share the fixed part of the budget, or None if unknown.
    """

    allowed: bool
    spent: int
    limit: float
    requests: int
    hosts: int | None


class FleetRetryBudgets:
    """This host's share of the retry budget of each service.

    Each request adds to the budget of the host that received it, in proportion to `ratio`. The
    fixed part, `slack`, is divided by the maximum number of hosts in the window. A process that
    replaces a killed one has no fixed part for the length of a window, because the killed process
    may have spent it.

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
        # Pairs of the time of a change and the number of hosts from then on, the newest last.
        self._host_counts: list[tuple[float, int]] = []

    def set_retry(self, retry: RetrySettings) -> None:
        """Apply changed settings; sends made before the change still count."""
        self._retry = retry
        for budget in self._budgets.values():
            budget.ratio = retry.ratio * PLANNED_BUDGET_SHARE
            budget.set_window(retry.window_s)

    def set_host_count(self, hosts: int, replaces_killed: bool, now: float) -> None:
        """Set how many hosts share the budget, including this one.

        `replaces_killed` is whether the previous process of this host was killed.
        """
        self._replaces_killed = replaces_killed
        self._host_counts.append((now, max(1, hosts)))
        # Called only to forget the counts that are older than the window.
        self._max_hosts(now)

    def record_request(self, service: str, now: float) -> None:
        """Count a new request of a caller; not to be called again when it is retried."""
        self._budget(service, now).deposit(now)

    def requests_per_s(self, service: str, now: float) -> float:
        """Return the callers' requests per second, on average over the window."""
        budget = self._budgets.get(service)
        return budget.count_deposits(now) / self._retry.window_s if budget is not None else 0.0

    def reserve(self, service: str, now: float) -> RetryDecision:
        """Decide whether a request may be sent again, and if so reserve a permit for that send."""
        budget = self._budget(service, now)
        allowed = budget.reserve(now)
        hosts = self._max_hosts(now)
        return RetryDecision(allowed, budget.permits_taken, budget.limit, budget.deposits, hosts)

    def record_retry(self, service: str, now: float) -> None:
        """Count a send that is made now with a reserved permit."""
        self._budget(service, now).commit(now)

    def release_unused(self, service: str, now: float) -> None:
        """Release the permit of a send that will not be made."""
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
        """Return the maximum number of hosts in the window, or None if it is not known.

        Forgets the counts that are older than the window.
        """
        while len(self._host_counts) > 1 and self._host_counts[1][0] <= now - self._retry.window_s:
            del self._host_counts[0]
        return max((count for _, count in self._host_counts), default=None)
