"""The limits of the listed backend servers, and which of them have room for a send of this host."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._back_ends import BackEndList, ListedBackEnd, Role
from laburnumreel.relay._events import LIMITED_SEND, LIMITED_SEND_DENIED
from laburnumreel.relay._limited_sends import Limited, LimitedSends
from laburnumreel.relay._metrics import RELAY_LIMITED, RELAY_LIMITED_SENDS
from laburnumreel.relay._news import News
from laburnumreel.relay._server_limits import LimitNews, ServerLimits

_NONE: frozenset[str] = frozenset()

_log = Log("relay.dispatcher")


class LimitRoom(NamedTuple):
    """In how many seconds a first send is within limits, and how many there may be in a second."""

    first_s: float
    per_s: float


class LimitsTold(NamedTuple):
    """What a host tells its peers: limits, what callers ask of the services with such servers, in
    requests a second, and its sends to these servers."""

    limits: Mapping[str, LimitNews]
    asked: Mapping[str, float]
    limited_sends: Mapping[str, int]


class FleetLimits:
    """What the dispatcher asks before it sends anything to a backend server that named a limit.

    `region_of` gives the region of an availability zone, `asked_per_s` the requests a second for a
    service that come to this host.
    """

    def __init__(
        self,
        host: str,
        region: str,
        region_of: Callable[[str], str],
        back_ends: BackEndList,
        asked_per_s: Callable[[str, float], float],
    ) -> None:
        self._region_of = region_of
        self._back_ends = back_ends
        self._asked_per_s = asked_per_s
        self._limits = ServerLimits()
        self._sends = LimitedSends(host, region)

    @property
    def limited(self) -> frozenset[str]:
        """The names of the backend servers with a limit."""
        return self._limits.limited

    def set_hosts(self, hosts: int) -> None:
        """Take how many hosts there are, heard or not, this one included."""
        self._sends.set_hosts(hosts)

    def heard(self, back_end: ListedBackEnd, per_s: float, now: float) -> None:
        """Take the limit that a backend server named in an answer to this host."""
        self._limits.heard(back_end, per_s, now)

    def ended(self, back_end: ListedBackEnd, now: float) -> None:
        """Take in that a backend server with a limit answered without it."""
        self._limits.ended(back_end, now)

    def peer(self, news: News, now: float) -> None:
        """Take a peer's news."""
        if news.stopping:
            self._sends.forget_peer(news.sender)
        elif self._sends.peer(
            news.sender, news.boot, self._region_of(news.zone), news.asked, news.limited_sends, now
        ):
            self._limits.tell_again()
        for name, each in news.limits.items():
            self._limits.told(name, each, now)

    def forget_peer(self, host: str) -> None:
        """Take in that a peer is not heard any more."""
        self._sends.forget_peer(host)

    def news(self, far: bool, now: float) -> LimitsTold:
        """Return what peers are to be told now, nearby or in other regions."""
        services = {
            back_end.service
            for name in self._limits.limited
            if (back_end := self._back_ends.get(name)) is not None
        }
        rates = {service: self._asked_per_s(service, now) for service in services}
        asked = {service: per_s for service, per_s in rates.items() if per_s > 0}
        self._sends.told(asked)
        return LimitsTold(self._limits.news(far, now), asked, self._sends.sent)

    def closed(self, service: str, now: float) -> frozenset[str]:
        """Return the backend servers of a service to which this host sends nothing for now."""
        if not self._limits:
            return _NONE
        return frozenset(
            each.back_end for each in self._of(service, now) if self._sends.wait_s(each, now) > 0
        )

    def room(self, service: str, usable: Iterable[ListedBackEnd], now: float) -> LimitRoom | None:
        """Return the room of this host in the limits of some backend servers.

        None where one of them has no limit. Engines that only read prompts don't count.
        """
        limited = {each.back_end: each for each in self._of(service, now)}
        first_s, per_s = float("inf"), 0.0
        for back_end in usable:
            if back_end.role is Role.PREFILL:
                continue
            server = limited.get(back_end.name)
            if server is None:
                return None
            first_s = min(first_s, self._sends.wait_s(server, now))
            per_s += self._sends.part(server, now).per_s
        return LimitRoom(first_s, per_s) if limited else None

    def take(self, back_end: ListedBackEnd, request_id: str, now: float) -> bool:
        """Count a request that goes to a backend server, and return whether that has a limit."""
        server = self._server(back_end, now)
        if server is None:
            return False
        self._sends.take(server, now)
        RELAY_LIMITED_SENDS.inc(outcome="sent")
        part = self._sends.part(server, now)
        _log.info(
            LIMITED_SEND,
            request=request_id,
            back_end=back_end.name,
            service=back_end.service,
            limit_per_s=server.per_s,
            part_per_s=round(part.per_s, 3),
            hosts=part.hosts,
        )
        return True

    def may_call(self, back_end: ListedBackEnd, now: float) -> bool:
        """Decide whether a call that is no request may go to a backend server, and count it."""
        server = self._server(back_end, now)
        if server is None:
            return True
        if self._sends.wait_s(server, now) > 0:
            RELAY_LIMITED_SENDS.inc(outcome="denied")
            _log.info(LIMITED_SEND_DENIED, back_end=back_end.name, limit_per_s=server.per_s)
            return False
        self._sends.take(server, now)
        RELAY_LIMITED_SENDS.inc(outcome="sent")
        return True

    def forget_old(self, now: float) -> None:
        """Drop what counts no more."""
        if self._limits:
            self._limits.forget_old((each.name for each in self._back_ends), now)
            self._sends.keep_only(self._limits.limited)
        RELAY_LIMITED.set(len(self._limits.limited))

    def _of(self, service: str, now: float) -> list[Limited]:
        """Return the backend servers of a service that have a limit."""
        if not self._limits:
            return []
        listed = [each for each in self._back_ends if each.service == service]
        regions = {self._region_of(each.zone) for each in listed}
        return [
            self._limited(each, per_s, regions)
            for each in listed
            if (per_s := self._limits.of(each)) is not None
        ]

    def _server(self, back_end: ListedBackEnd, now: float) -> Limited | None:
        found = (each for each in self._of(back_end.service, now) if each.back_end == back_end.name)
        return next(found, None)

    def _limited(self, back_end: ListedBackEnd, per_s: float, regions: Collection[str]) -> Limited:
        region = self._region_of(back_end.zone)
        return Limited(back_end.name, back_end.service, region, per_s, regions)
