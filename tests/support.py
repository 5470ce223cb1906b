"""Old place of laburnumreel_standins.processes, until all branches have landed."""

from laburnumreel_standins.processes import *  # noqa: F403
