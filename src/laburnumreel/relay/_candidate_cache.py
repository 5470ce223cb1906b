"""Cache of placement candidates.

When dozens of requests wait for dozens of backend servers, each attempt to place one needs all
candidates, of which few have changed since the last attempt.
"""

from collections.abc import Callable, Collection

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._cost_model import Candidate
from laburnumreel.relay._placement import preferred_engine
from laburnumreel.relay._work import WorkLedger

# Changes by time alone, as backoffs that end and failures that decay, are seen at most this late.
MAX_AGE_S = 0.05
# Maximum number of cached preferred engines.
MAX_PREFERRED_ENGINES = 8192


class CandidateCache:
    """Candidates of each service, without the fields that depend on a request.

    They are rebuilt after `MAX_AGE_S` seconds and after any change except of outstanding work,
    which is updated from the ledger. `build` returns the candidates of a service by name.
    """

    def __init__(
        self,
        build: Callable[[str, float], dict[str, Candidate]],
        ledger: WorkLedger,
    ) -> None:
        self._build = build
        self._ledger = ledger
        self._cached: dict[str, tuple[float, dict[str, Candidate]]] = {}
        # The preferred engine of a prefix among the engines of a role, valid until these change.
        self._preferred_engines: dict[tuple[str, Role | None, str], str | None] = {}
        self._names_by_role: dict[str, dict[Role | None, list[str]]] = {}

    def candidates(self, service: str, now: float) -> dict[str, Candidate]:
        """Return the candidates of a service by name. The caller must not modify them."""
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
        """Return the engine of each role that is preferred for a prompt prefix."""
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
        """Drop all candidates, after any change except of outstanding work."""
        self._cached.clear()
