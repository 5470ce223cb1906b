"""Checks that a state machine's invariants fail when a mechanism is disabled."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def assert_oracle_fails(machine: type, examples: int = 500, steps: int = 40) -> None:
    """Run a state machine with an injected fault, and fail unless its invariants detect it."""
    run_settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        report_multiple_bugs=False,
        phases=[Phase.generate],
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=run_settings)
