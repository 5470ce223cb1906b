"""The retry budgets of all services, with the limits that the configuration gives them."""

from laburnumreel.coordination import RetryBudget
from laburnumreel.state import Configuration

# For a service that the configuration in force does not name.
DEFAULT_RETRY_RATIO, DEFAULT_RETRY_MINIMUM = 0.1, 3


class ServiceRetryBudgets:
    """A retry budget for each service. What was spent stays when the limits change."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._configuration = Configuration()

    def for_service(self, service: str) -> RetryBudget:
        """Return a service's budget."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = RetryBudget(*self._limits(service))
        return retry_budget

    def configure(self, configuration: Configuration) -> None:
        """Take up the limits of a newer configuration."""
        self._configuration = configuration
        for name, retry_budget in self._budgets.items():
            retry_budget.ratio, retry_budget.minimum = self._limits(name)

    def _limits(self, service: str) -> tuple[float, float]:
        """Return the share of successes and the minimum that a service's retries may have."""
        entry = self._configuration.services.get(service)
        profile = entry and self._configuration.profiles.get(entry.profile)
        if not profile:
            return DEFAULT_RETRY_RATIO, DEFAULT_RETRY_MINIMUM
        return profile.retry_ratio, profile.retry_minimum
