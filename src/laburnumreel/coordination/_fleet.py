"""The known back ends: host list, late load and cache reports, own and peers' work, drain marks."""

import math
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from laburnumreel.coordination._back_ends import BackEnd, Drain, LoadReport
from laburnumreel.state import Host

# Reports are some seconds old. A send within this time before a report's arrival is taken as not
# in the report: counting it twice for a moment is safer than sending a burst to one back end.
REPORT_LAG_S = 2.0
# Two exchange rounds may be lost before a peer's in-flight work is no longer counted.
PEER_WORK_TTL_S = 3.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0
# A back end that has not failed for this long after its pause starts again at the first pause.
FAILURE_RESET_S = 30.0
# Bounds the digests held for one engine; 4096 blocks are 1 MiB of prompt text.
MAX_PREFIXES = 4096
PLAIN_REQUESTS_PER_WORKER = 16


class _InFlightRequest(NamedTuple):
    at: float
    prefill_tokens: int


class _BackEndState:
    """What is known of one back end."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.report: LoadReport | None = None
        self.covers_until = float("-inf")
        self.clock_offset = float("inf")
        self.in_flight: dict[str, _InFlightRequest] = {}
        self.finished_at: list[float] = []
        self.prefixes: dict[str, None] = {}
        self.frozen_prefixes_cache: frozenset[str] | None = frozenset()
        self.failures = 0
        self.backoff_until = 0.0

    def on_report(self, report: LoadReport, now: float) -> None:
        if self.report is not None and report.at < self.report.at:
            self.clock_offset = float("inf")
        # The least difference between the clocks belongs to the report that was delayed least.
        self.clock_offset = min(self.clock_offset, now - report.at)
        self.report = report
        self.covers_until = report.at + self.clock_offset - REPORT_LAG_S
        self.finished_at = [at for at in self.finished_at if at > self.covers_until]

    def unreported(self) -> list[_InFlightRequest]:
        return [request for request in self.in_flight.values() if request.at > self.covers_until]

    def backlog(self, now: float) -> tuple[int, int]:
        """Return the reported and the unreported prefill tokens that are still queued.

        The engine is taken as one queue that is served at its reported speed.
        """
        if self.report is None:
            return 0, sum(request.prefill_tokens for request in self.in_flight.values())
        speed = self.report.prefill_tokens_per_s
        reported = float(self.report.queued_prefill_tokens)
        unreported = 0.0
        at = self.covers_until
        for request in [*self.unreported(), _InFlightRequest(now, 0)]:
            done = speed * max(0.0, request.at - at)
            at = max(at, request.at)
            unreported = max(0.0, unreported - max(0.0, done - reported))
            reported = max(0.0, reported - done)
            unreported += request.prefill_tokens
        return int(reported), int(unreported)

    def frozen_prefixes(self) -> frozenset[str]:
        if self.frozen_prefixes_cache is None:
            self.frozen_prefixes_cache = frozenset(self.prefixes)
        return self.frozen_prefixes_cache


class Fleet:
    """The back ends that a gateway knows.

    While all `gateways` (this one included) were heard lately, an engine's requests are those that
    the gateways have in flight, and its prefill queue is the prompts whose first token has not
    come: these are half a second old where reports are several. Otherwise the last report is used,
    with the sends that it cannot show on top.

    >>> fleet = Fleet()
    >>> host = Host("w1", "127.0.0.1:80", "xela-a", "xela", "orders", "plain", False, "live")
    >>> fleet.on_hosts([host], now=0.0)
    >>> [back_end.address for back_end in fleet.candidates("orders", "", now=0.0, cheap=False)]
    [('127.0.0.1', 80)]
    """

    def __init__(self, gateways: int = 1) -> None:
        self._gateway_count = gateways
        self._reports_first_tokens = False
        self._entries: dict[str, _BackEndState] = {}
        self._services: dict[str, list[_BackEndState]] = {}
        self._peers: dict[str, tuple[float, dict[str, tuple[int, int]]]] = {}
        self._drains: dict[str, Drain] = {}

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(self._entries)

    def addresses(self, kind: str = "engine") -> dict[str, tuple[str, int]]:
        """Return the addresses of the listed back ends of a kind, by name."""
        return {
            name: _address(entry.host.address)
            for name, entry in self._entries.items()
            if entry.host.kind == kind
        }

    def on_hosts(self, hosts: Sequence[Host], now: float) -> None:
        """Take the platform's list. A back end that is no longer listed is forgotten."""
        entries: dict[str, _BackEndState] = {}
        for host in hosts:
            previous = self._entries.get(host.name)
            if previous is None or previous.host.address != host.address:
                previous = _BackEndState(host)
            previous.host = host
            entries[host.name] = previous
        self._entries = entries
        self._services = {}
        for entry in entries.values():
            self._services.setdefault(entry.host.service, []).append(entry)
        self._drains = {name: drain for name, drain in self._drains.items() if drain.until > now}

    def on_load(self, name: str, report: LoadReport, now: float) -> None:
        """Take a load report that arrived at `now`."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.on_report(report, now)

    def on_cache_events(
        self, name: str, stored: Sequence[str], evicted: Sequence[str], gap: bool
    ) -> None:
        """Take cache events. After a gap nothing older is trusted, as evictions may be missing."""
        entry = self._entries.get(name)
        if entry is None:
            return
        if gap:
            entry.prefixes.clear()
        for prefix in evicted:
            entry.prefixes.pop(prefix, None)
        self._store_prefixes(entry, stored)

    def on_sent(
        self,
        name: str,
        request_id: str,
        prefill_tokens: int,
        now: float,
        prefixes: Sequence[str] = (),
    ) -> None:
        """Count a request that is being sent.

        `prefixes` are taken as cached from now on, because the engine's event comes seconds later.
        """
        entry = self._entries.get(name)
        if entry is not None:
            entry.in_flight[request_id] = _InFlightRequest(now, prefill_tokens)
            self._store_prefixes(entry, prefixes)

    def on_first_token(self, name: str, request_id: str, now: float) -> None:
        """Count the first token of a request: its prompt has been processed."""
        entry = self._entries.get(name)
        if entry is not None and request_id in entry.in_flight:
            self._reports_first_tokens = True
            entry.in_flight[request_id] = entry.in_flight[request_id]._replace(prefill_tokens=0)

    def on_finished(self, name: str, request_id: str, now: float) -> None:
        """Count the end of a request, whatever its outcome."""
        entry = self._entries.get(name)
        if entry is None:
            return
        request = entry.in_flight.pop(request_id, None)
        if request is not None and request.at <= entry.covers_until:
            entry.finished_at.append(now)

    def on_peer_work(self, peer: str, work: Mapping[str, tuple[int, int]], now: float) -> None:
        """Replace what a peer's `local_work` returned: requests and prefill tokens by back end."""
        self._peers[peer] = (now, dict(work))
        self._peers = {
            name: item for name, item in self._peers.items() if now - item[0] <= PEER_WORK_TTL_S
        }

    def on_drain(self, target: str, reason: str, until: float) -> None:
        """Give a back end, or all of a zone, no new work until a time. A later end wins."""
        previous = self._drains.get(target)
        if previous is None or previous.until < until:
            self._drains[target] = Drain(target, reason, until)

    def on_failed(self, name: str, now: float) -> None:
        """Pause a back end after a dial or answer failure, longer after each further one."""
        entry = self._entries.get(name)
        if entry is None or now < entry.backoff_until:
            return
        if now - entry.backoff_until > FAILURE_RESET_S:
            entry.failures = 0
        entry.failures += 1
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(entry.failures - 1, 10))
        entry.backoff_until = now + backoff_s

    def drains(self, now: float) -> list[Drain]:
        """Return the drain marks in force, for the peers."""
        return [drain for drain in self._drains.values() if drain.until > now]

    def local_work(self) -> dict[str, tuple[int, int]]:
        """Return by back end what this gateway has in flight, for the peers.

        These are its requests that have not ended, and the prompt tokens of those whose first
        token has not come. A gateway that is not told of first tokens gives the prompts that the
        load report cannot show: otherwise each prompt would count as queued until its answer ends.
        """
        work = {}
        for name, entry in self._entries.items():
            if entry.in_flight:
                queued = (
                    entry.in_flight.values() if self._reports_first_tokens else entry.unreported()
                )
                work[name] = (
                    len(entry.in_flight),
                    sum(request.prefill_tokens for request in queued),
                )
        return work

    def capacity(
        self,
        service: str,
        now: float,
        cheap: bool,
        gateways: int = 1,
        token_gap_s: float = math.inf,
    ) -> int:
        """Return how many requests of a service this gateway may run at once.

        It is an equal share for each gateway, rounded up, of the streams that the usable back ends
        have slots for and can decode within the token gap goal.
        """
        total = 0.0
        for entry in self._services.get(service, ()):
            if not self._is_usable(entry, now, cheap):
                continue
            if entry.host.kind == "plain":
                total += PLAIN_REQUESTS_PER_WORKER
            elif entry.report is not None:
                in_time = max(1.0, entry.report.decode_tokens_per_s * token_gap_s)
                total += min(entry.report.max_streams, in_time)
        return math.ceil(total / max(1, gateways))

    def candidates(
        self, service: str, model: str, now: float, cheap: bool, exclude: Collection[str] = ()
    ) -> list[BackEnd]:
        """Return the back ends that may get a request of the service now.

        Engines that have not reported yet are used only where no other may be.
        """
        usable = [
            entry
            for entry in self._services.get(service, ())
            if entry.host.name not in exclude and self._is_usable(entry, now, cheap)
        ]
        suitable = [
            entry
            for entry in usable
            if entry.host.kind == "plain" or (entry.report and model in entry.report.models)
        ]
        if not suitable:
            suitable = [entry for entry in usable if entry.report is None]
        peers = self._peer_work(now)
        heard_peers = sum(now - at <= PEER_WORK_TTL_S for at, _ in self._peers.values())
        all_peers_heard = heard_peers + 1 >= self._gateway_count
        return [
            _back_end(
                entry,
                peers.get(entry.host.name, (0, 0)),
                all_peers_heard,
                all_peers_heard and self._reports_first_tokens,
                now,
            )
            for entry in suitable
        ]

    def _is_usable(self, entry: _BackEndState, now: float, cheap: bool) -> bool:
        host = entry.host
        if host.state != "live" or now < entry.backoff_until or (host.cheap and not cheap):
            return False
        if entry.report is not None and entry.report.draining:
            return False
        marks = (self._drains.get(host.name), self._drains.get(host.zone))
        return not any(mark is not None and mark.until > now for mark in marks)

    def _peer_work(self, now: float) -> dict[str, tuple[int, int]]:
        total: dict[str, tuple[int, int]] = {}
        for at, work in self._peers.values():
            if now - at > PEER_WORK_TTL_S:
                continue
            for name, (requests, tokens) in work.items():
                previous = total.get(name, (0, 0))
                total[name] = (previous[0] + requests, previous[1] + tokens)
        return total

    def _store_prefixes(self, entry: _BackEndState, prefixes: Sequence[str]) -> None:
        for prefix in prefixes:
            entry.prefixes.pop(prefix, None)
            entry.prefixes[prefix] = None
        while len(entry.prefixes) > MAX_PREFIXES:
            del entry.prefixes[next(iter(entry.prefixes))]
        entry.frozen_prefixes_cache = None


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _back_end(
    entry: _BackEndState, peers: tuple[int, int], all_requests: bool, all_prompts: bool, now: float
) -> BackEnd:
    """Return the view of a back end.

    `all_requests` means that every gateway's requests in flight are known, `all_prompts` that
    their first tokens are known as well.
    """
    host, report = entry.host, entry.report
    streams = max(0, report.decode_streams - len(entry.finished_at)) if report else 0
    in_flight_count = len(entry.in_flight) + peers[0]
    # In-flight counts also show requests that wait for a slot, which no report does. Where some
    # gateways were not heard from, the report shows theirs; then the larger figure is used.
    unreported_requests = in_flight_count - streams
    if not all_requests:
        unreported_requests = max(len(entry.unreported()), unreported_requests)
    if all_prompts:
        reported, unreported = 0, sum(
            request.prefill_tokens for request in entry.in_flight.values()
        )
    else:
        reported, unreported = entry.backlog(now)
    return BackEnd(
        name=host.name,
        address=_address(host.address),
        zone=host.zone,
        region=host.region,
        service=host.service,
        kind=host.kind,
        cheap=host.cheap,
        role=report.role if report else "both",
        models=report.models if report else (),
        queued_prefill_tokens=reported,
        decode_streams=streams,
        max_streams=report.max_streams if report else 0,
        prefill_tokens_per_s=report.prefill_tokens_per_s if report else 0.0,
        decode_tokens_per_s=report.decode_tokens_per_s if report else 0.0,
        kv_free_tokens=report.kv_free_tokens if report else 0,
        unreported_requests=unreported_requests,
        unreported_prefill_tokens=unreported + peers[1],
        cached_prefixes=entry.frozen_prefixes(),
    )
