"""Hypothesis profiles (fixed examples in CI, fresh ones by `make fuzz`) and shared fixtures."""

import os

import pytest
from hypothesis import HealthCheck, settings
from platform_world import World

from laburnumreel_standins.deployment import Deployment

settings.register_profile(
    "ci", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.register_profile(
    "fuzz", max_examples=2000, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def deployment():
    """Real processes that end with the test."""
    running = Deployment()
    yield running
    running.end()


@pytest.fixture
def world(tmp_path):
    """The users' platform in miniature, with relay processes that end with the test."""
    running = World(tmp_path)
    yield running
    running.end()
