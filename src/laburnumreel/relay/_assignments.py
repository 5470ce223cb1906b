"""What a request asks of the dispatcher, and what it gets."""

from typing import NamedTuple

from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import EnginePlan
from laburnumreel.relay._requests import Prompt
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.relay._work import Work


class PlacementRequest(NamedTuple):
    """A request that asks for a place.

    `excluded` are backend servers that it met already. `can_use_reader` is False where its prompt
    can't be read by an engine of its own. `copy_zone` is the availability zone of the engine that has
    read it already and keeps a copy for the one that will generate. `was_placed` is a request that was
    placed before. `engine` is what the service's engines can do by the configuration under which the
    request came, None for a plain service.
    """

    waiting: WaitingRequest
    service: str
    prompt: Prompt | None
    body_bytes: int
    excluded: frozenset[str] = frozenset()
    can_use_reader: bool = True
    copy_zone: str | None = None
    was_placed: bool = False
    engine: EngineTraits | None = None


class Assignment(NamedTuple):
    """The backend servers that a request got, and the work that is counted for it.

    A plain request has a `runner` only. `read_work` is counted at the engine that reads the prompt
    until it has, `run_work` at the one that runs the request. Where a `reader` reads the prompt, the
    `runner` is the one expected to generate, at which nothing is counted yet: it is chosen once the
    prompt is read, when its places are known. `ahead_tokens` were to be read before this prompt.
    `is_limited` is whether the backend server that gets the request first has a limit.
    """

    runner: ListedBackEnd
    run_work: Work
    reader: ListedBackEnd | None = None
    read_work: Work = Work()
    plan: EnginePlan | None = None
    ahead_tokens: int = 0
    candidates: int = 1
    update_age_s: float = 0.0
    is_limited: bool = False
