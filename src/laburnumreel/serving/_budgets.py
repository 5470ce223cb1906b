"""The retry budgets of all services, with the limits from the configuration."""

from laburnumreel.coordination import RetryBudget
from laburnumreel.state import Configuration

# Limits of a service that the current configuration does not contain.
DEFAULT_RETRY_RATIO, DEFAULT_RETRY_MINIMUM = 0.1, 3


class ServiceRetryBudgets:
    """A retry budget for each service. Changed limits do not reset the permits already taken."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._configuration = Configuration()

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = RetryBudget(*self._limits(service))
        return retry_budget

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a newer configuration."""
        self._configuration = configuration
        for name, retry_budget in self._budgets.items():
            retry_budget.ratio, retry_budget.minimum = self._limits(name)

    def _limits(self, service: str) -> tuple[float, float]:
        """Return the retry limits of a service: its share of successes and its minimum count."""
        entry = self._configuration.services.get(service)
        profile = entry and self._configuration.profiles.get(entry.profile)
        if not profile:
            return DEFAULT_RETRY_RATIO, DEFAULT_RETRY_MINIMUM
        return profile.retry_ratio, profile.retry_minimum
