"""What placement sees of backend servers, kept from one request to the next.

Load pattern that this answers: dozens of requests that wait for dozens of backend servers. Each try
to place one asks for all of them, and little has changed since the last try.
"""

from collections.abc import Callable, Collection

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._cost_model import Candidate
from laburnumreel.relay._placement import preferred_engine
from laburnumreel.relay._work import WorkLedger

# What changes by time alone, as rests that end and failures that fade, is seen this much later.
MAX_AGE_S = 0.05
# Bounds the memory for the homes of starts.
MAX_PREFERRED_ENGINES = 8192


class CandidateCache:
    """Candidates of each service without what depends on a request.

    They are made anew after `MAX_AGE_S`, and at once after any change but that of some backend servers'
    work, which is taken over from the ledger. `build` returns the candidates of a service.
    """

    def __init__(
        self,
        build: Callable[[str, float], dict[str, Candidate]],
        ledger: WorkLedger,
    ) -> None:
        self._build = build
        self._ledger = ledger
        self._cached: dict[str, tuple[float, dict[str, Candidate]]] = {}
        # The home of a prompt's start among the engines of a role, while these are the same.
        self._preferred_engines: dict[tuple[str, Role | None, str], str | None] = {}
        self._names_by_role: dict[str, dict[Role | None, list[str]]] = {}

    def candidates(self, service: str, now: float) -> dict[str, Candidate]:
        """Return the candidates of a service by name. The caller must not change them."""
        for each in [each for each, (at, _) in self._cached.items() if now >= at + MAX_AGE_S]:
            del self._cached[each]
        changed_work = self._ledger.take_changed(now)
        for _, candidates in self._cached.values():
            for name in changed_work & candidates.keys():
                candidates[name] = candidates[name].with_work(self._ledger.total(name, now))
        cached = self._cached.get(service)
        if cached is None or now < cached[0]:
            cached = self._cached[service] = (now, self._build(service, now))
            self._update_names(service, cached[1])
        return cached[1]

    def preferred_engines(self, service: str, part: str, excluded: Collection[str]) -> list[str]:
        """Return the engines of each role at which prompts with a start are read first."""
        engines = []
        for role, names in self._names_by_role[service].items():
            key = (service, role, part)
            if key not in self._preferred_engines:
                self._preferred_engines[key] = preferred_engine(part, names)
            engine = self._preferred_engines[key]
            if engine in excluded:
                engine = preferred_engine(part, [name for name in names if name not in excluded])
            if engine is not None:
                engines.append(engine)
        return engines

    def _update_names(self, service: str, candidates: dict[str, Candidate]) -> None:
        names_by_role: dict[Role | None, list[str]] = {}
        for name, each in candidates.items():
            names_by_role.setdefault(each.back_end.role, []).append(name)
        if (
            names_by_role != self._names_by_role.get(service)
            or len(self._preferred_engines) > MAX_PREFERRED_ENGINES
        ):
            self._names_by_role[service] = names_by_role
            self._preferred_engines.clear()

    def invalidate(self) -> None:
        """Take in that anything but the work has changed."""
        self._cached.clear()
