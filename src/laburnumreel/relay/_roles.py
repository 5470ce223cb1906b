"""Planning of engine roles: which engines read prompts and which generate.

Engines may start with any role, and the mix of long prompts and long answers changes. Each change
of a role costs one order and makes the engine unavailable for some seconds.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from laburnumreel.coordination import AuthorizedSender, JsonResponse
from laburnumreel.core import Log
from laburnumreel.relay._back_ends import ListedBackEnd, Role
from laburnumreel.relay._config import RelayService
from laburnumreel.relay._events import ROLE_ORDERED, ROLE_REFUSED
from laburnumreel.relay._ports import DutyWire
from laburnumreel.relay._work import NO_WORK, Work
from laburnumreel.state import Authority

# Target share of a service's engines that read prompts.
READING_SHARE = 0.5
# Minimum number of generating engines, so that the loss of one can be absorbed.
MIN_GENERATORS = 3
# Maximum share of a service's engines that may change their role at the same time, at least one.
MAX_CHANGING_SHARE = 0.1
# Maximum time after a role change until the list shows it.
CHANGE_VISIBLE_S = 2.0
REFUSED_RETRY_S = 2.0

_log = Log("relay.roles")


class RoleChange(NamedTuple):
    """An engine and its new role."""

    back_end: ListedBackEnd
    role: Role


def wanted_change(
    engines: Iterable[ListedBackEnd],
    work: Mapping[str, Work],
    reading_share: float,
    unchangeable: Collection[str] = (),
) -> RoleChange | None:
    """Return the next role change towards the share of reading engines, or None.

    Chooses an engine of the zone that has most engines of its role, and there the one with the
    least work. Engines named in `unchangeable` keep their role.
    """
    engines = [each for each in engines if each.role is not None]
    readers = [each for each in engines if each.role is Role.PREFILL]
    generators = [each for each in engines if each.role is Role.DECODE]
    wanted = round(len(engines) * reading_share)
    wanted = max(0, min(wanted, len(engines) - MIN_GENERATORS))
    if len(readers) < wanted:
        candidates, role = generators, Role.PREFILL
    elif len(readers) > wanted + 1:
        candidates, role = readers, Role.DECODE
    else:
        return None

    def sort_key(engine: ListedBackEnd) -> tuple[int, int]:
        peers = sum(1 for each in candidates if each.zone == engine.zone)
        at_work = work.get(engine.name, NO_WORK)
        return -peers, at_work.streams + at_work.requests

    free = [each for each in candidates if each.name not in unchangeable]
    return RoleChange(min(free, key=sort_key), role) if free else None


class RolePlanner:
    """Orders role changes, a few at a time for each service.

    Engines returned by `limited_engines` have named a request limit and keep their roles.
    `avoid` is called with the name of an ordered engine and the seconds of its
    change, `on_answer` with each answer of an engine.
    """

    def __init__(
        self,
        sender: AuthorizedSender,
        wire: DutyWire,
        services: Callable[[], Mapping[str, RelayService]],
        fleet: Callable[[], tuple[Iterable[ListedBackEnd], Mapping[str, Work]]],
        avoid: Callable[[str, float], None],
        on_answer: Callable[[ListedBackEnd, JsonResponse], None],
        limited_engines: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._sender = sender
        self._duty_wire = wire
        self._services = services
        self._fleet = fleet
        self._avoid = avoid
        self._on_answer = on_answer
        self._limited_engines = limited_engines
        self._next_at: dict[str, float] = {}
        # Ordered roles by engine, and until when the list must show them.
        self._changing: dict[str, tuple[Role, float]] = {}

    def step(self, authority: Authority, now: float) -> None:
        """Send the orders that are due."""
        back_ends, work = self._fleet()
        self._forget_finished(back_ends, now)
        for service in self._services().values():
            if service.engine is None or now < self._next_at.get(service.name, 0.0):
                continue
            engines = self._with_ordered_roles(
                each for each in back_ends if each.service == service.name and not each.draining
            )
            for _ in range(max(1, round(len(engines) * MAX_CHANGING_SHARE)) - len(self._changing)):
                change = wanted_change(engines, work, READING_SHARE, self._limited_engines())
                if change is None or not self._order(authority, service, change, now):
                    break
                engines = self._with_ordered_roles(engines)

    def _forget_finished(self, back_ends: Iterable[ListedBackEnd], now: float) -> None:
        """Forget the changes that the list shows, and those that are overdue."""
        shown = {each.name: each.role for each in back_ends}
        self._changing = {
            name: (role, until)
            for name, (role, until) in self._changing.items()
            if now < until and name in shown and shown[name] is not role
        }

    def _with_ordered_roles(self, engines: Iterable[ListedBackEnd]) -> list[ListedBackEnd]:
        """Return the engines with the roles that were ordered for them."""
        return [
            (
                each._replace(role=self._changing[each.name][0])
                if each.name in self._changing
                else each
            )
            for each in engines
        ]

    def _order(
        self, authority: Authority, service: RelayService, change: RoleChange, now: float
    ) -> bool:
        engine, switch_s = change.back_end, service.engine.switch_s
        call = self._duty_wire.role(authority, engine, change.role)
        sent = self._sender.post(authority, engine.address, call.path, call.body, call.headers)
        if sent.is_ok():
            self._on_answer(engine, sent.ok)
        fields = {"back_end": engine.name, "role": str(change.role), "fence": authority.fence}
        if sent.is_ok() and sent.ok.status in (200, 202):
            self._avoid(engine.name, switch_s)
            self._changing[engine.name] = (change.role, now + switch_s + CHANGE_VISIBLE_S)
            _log.info(ROLE_ORDERED, **fields)
            return True
        self._next_at[service.name] = now + REFUSED_RETRY_S
        detail = sent.error.detail if sent.is_error() else f"status {sent.ok.status}"
        _log.warning(ROLE_REFUSED, detail=detail[:200], **fields)
        return False
