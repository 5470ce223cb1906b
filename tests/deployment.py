"""Old place of the test bed in laburnumreel_standins, until all branches have landed."""

from laburnumreel_standins.caller import *  # noqa: F403
from laburnumreel_standins.deployment import *  # noqa: F403
from laburnumreel_standins.recording import *  # noqa: F403
