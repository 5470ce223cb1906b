"""The dependencies of the request threads of a gateway."""

import random
from collections.abc import Callable
from concurrent.futures import Executor
from typing import NamedTuple

from laburnumreel.coordination import ConfigSync, UsageFlusher
from laburnumreel.core import AnswerMemory, Clock
from laburnumreel.serving._dispatcher import Dispatcher
from laburnumreel.serving._registry import RequestRegistry
from laburnumreel.serving._slots import AdmissionSlots, Credentials
from laburnumreel.state import Claims
from laburnumreel.transport import BackEndPool


class GatewayDependencies(NamedTuple):
    """The tasks and shared objects of a gateway, created once at startup.

    `are_keys_verifiable` tells whether keys can be verified at a given time. `background` runs
    calls that no caller waits for. `answer_memory` is the memory for what is read and not passed on
    yet, and for answers that are to be stored.
    """

    clock: Clock
    config: ConfigSync
    dispatcher: Dispatcher
    registry: RequestRegistry
    usage: UsageFlusher
    claims: Claims
    pool: BackEndPool
    slots: AdmissionSlots
    credentials: Credentials
    pepper: bytes
    are_keys_verifiable: Callable[[float], bool]
    background: Executor
    rng: random.Random
    answer_memory: AnswerMemory
