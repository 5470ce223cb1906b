"""What placement sees of backend servers, kept from one request to the next.

Load pattern that this answers: dozens of requests that wait for dozens of backend servers. Each try
to place one asks for all of them, and little has changed since the last try.
"""

from collections.abc import Callable, Collection

from laburnumreel.relay._back_ends import Role
from laburnumreel.relay._placement import home_of
from laburnumreel.relay._weighing import Candidate
from laburnumreel.relay._work import WorkLedger

# What changes by time alone, as rests that end and failures that fade, is seen this much later.
KEPT_S = 0.05
# Bounds the memory for the homes of starts.
MOST_HOMES = 8192


class Standings:
    """Candidates of each service without what depends on a request.

    They are made anew after `KEPT_S`, and at once after any change but that of some backend servers'
    work, which is taken over from the ledger. `build` returns the candidates of a service.
    """

    def __init__(
        self,
        build: Callable[[str, float], dict[str, Candidate]],
        ledger: WorkLedger,
    ) -> None:
        self._build = build
        self._ledger = ledger
        self._kept: dict[str, tuple[float, dict[str, Candidate]]] = {}
        # The home of a prompt's start among the engines of a role, while these are the same.
        self._homes: dict[tuple[str, Role | None, str], str | None] = {}
        self._named: dict[str, dict[Role | None, list[str]]] = {}

    def of(self, service: str, now: float) -> dict[str, Candidate]:
        """Return the candidates of a service by name. The caller must not change them."""
        for each in [each for each, (at, _) in self._kept.items() if now >= at + KEPT_S]:
            del self._kept[each]
        worked = self._ledger.take_changed(now)
        for _, candidates in self._kept.values():
            for name in worked & candidates.keys():
                candidates[name] = candidates[name].with_work(self._ledger.total(name, now))
        kept = self._kept.get(service)
        if kept is None or now < kept[0]:
            kept = self._kept[service] = (now, self._build(service, now))
            self._name(service, kept[1])
        return kept[1]

    def homes(self, service: str, part: str, excluded: Collection[str]) -> list[str]:
        """Return the engines of each role at which prompts with a start are read first."""
        homes = []
        for role, names in self._named[service].items():
            key = (service, role, part)
            if key not in self._homes:
                self._homes[key] = home_of(part, names)
            home = self._homes[key]
            if home in excluded:
                home = home_of(part, [name for name in names if name not in excluded])
            if home is not None:
                homes.append(home)
        return homes

    def _name(self, service: str, candidates: dict[str, Candidate]) -> None:
        named: dict[Role | None, list[str]] = {}
        for name, each in candidates.items():
            named.setdefault(each.back_end.role, []).append(name)
        if named != self._named.get(service) or len(self._homes) > MOST_HOMES:
            self._named[service] = named
            self._homes.clear()

    def changed(self) -> None:
        """Take in that anything but the work has changed."""
        self._kept.clear()
