"""Placement requests to the dispatcher and the assignments it returns."""

from typing import NamedTuple

from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import EngineTraits
from laburnumreel.relay._cost_model import EnginePlan
from laburnumreel.relay._requests import Prompt
from laburnumreel.relay._waiting import WaitingRequest
from laburnumreel.relay._work import Work


class PlacementRequest(NamedTuple):
    """A request that needs a backend server.

    `excluded` names the backend servers that were already tried. `can_use_reader` is False if the
    prompt may not be read by a separate engine. `copy_zone` is the availability zone of the engine
    that has already read the prompt and keeps a copy for the generating engine. `was_placed` tells
    whether the request was placed before. `engine` describes the engines of the service under the
    configuration with which the request arrived; None for a plain service. `parts` names the shared
    parts of its prompt, `token` names the request among those of all hosts. `software` is the
    version of the software that began its stream, or None if any may generate: what two versions
    generate does not fit together.
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
    parts: tuple[str, ...] = ()
    token: str = ""
    software: str | None = None

    def may_use(self, back_end: ListedBackEnd) -> bool:
        """Return whether the request may be sent to a backend server that takes work.

        An unknown version is like no other, not even like itself.
        """
        if back_end.name in self.excluded:
            return False
        if self.software is None or back_end.role is Role.PREFILL:
            return True
        return bool(self.software) and back_end.software == self.software

    def may_generate_at(self, back_end: ListedBackEnd) -> bool:
        """Return whether the request may be sent to a backend server, and not only to read."""
        is_only_reader = self.software is not None and back_end.role is Role.PREFILL
        return not is_only_reader and self.may_use(back_end)

    @property
    def is_first_run(self) -> bool:
        """Whether no backend server has been given the request yet, except to read its prompt."""
        return not self.was_placed or self.copy_zone is not None


class Assignment(NamedTuple):
    """The backend servers assigned to a request, and the work accounted for it.

    A plain request only has a `runner`. `read_work` is counted at the engine that reads
    the prompt until the prompt is read, `run_work` at the engine that runs the request.
    If a separate `reader` reads the prompt, `runner` is the engine expected to generate.
    No work is counted there yet, because the engine is chosen again after the prompt is
    read, when its free slots are known. `ahead_tokens` is the number of prompt tokens
    queued before this prompt. `is_limited` tells whether the backend server that receives
    the request first has a request limit.
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
