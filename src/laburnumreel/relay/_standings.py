"""What placement sees of backend servers, kept from one request to the next.

Load pattern that this answers: dozens of requests that wait for dozens of backend servers. Each try
to place one asks for all of them, and little has changed since the last try.
"""

from collections.abc import Callable

from laburnumreel.relay._placement import Candidate
from laburnumreel.relay._work import WorkLedger

# What changes by time alone, as rests that end and failures that fade, is seen this much later.
KEPT_S = 0.05


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

    def of(self, service: str, now: float) -> dict[str, Candidate]:
        """Return the candidates of a service by name. The caller must not change them."""
        worked = self._ledger.take_changed(now)
        for _, candidates in self._kept.values():
            for name in worked & candidates.keys():
                work = self._ledger.total(name, now)
                candidates[name] = candidates[name]._replace(work=work)
        kept = self._kept.get(service)
        if kept is None or not kept[0] <= now < kept[0] + KEPT_S:
            kept = self._kept[service] = (now, self._build(service, now))
        return kept[1]

    def changed(self) -> None:
        """Take in that anything but the work has changed."""
        self._kept.clear()
