"""Old place of laburnumreel_standins.deployment, until all branches have landed."""

from laburnumreel_standins.deployment import *  # noqa: F403
