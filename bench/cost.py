"""Processor time of one relay host by task and function, for growing numbers of hosts."""

import cProfile
import logging
import pstats
from collections.abc import Mapping, Sequence
from pathlib import Path

from bench._report import Report, Table, average_rows
from bench._small_host import Load, Meter, SmallHost
from laburnumreel.relay import _peer_gossip
from laburnumreel.relay._work import Work

# Numbers of hosts of a deployment and of engines of its largest service.
SIZES = ((7, 8), (63, 42), (195, 90), (380, 170))
WARMUP_S, RUN_S = 3.0, 10.0
LOADS = (
    Load("idle", requests_per_s=0.0),
    Load("calm"),
    Load("trouble", has_faults=True),
    # Requests wait: no engine has a free slot, or each has a long queue of prompts to prefill.
    Load("full", work_per_engine=Work(64, 0, 64, 64 * 9000)),
    Load("queued", work_per_engine=Work(9, 80_000, 0, 0)),
)
PROFILED = ("calm", "queued")
FUNCTION_ROWS = 16

TEXT = (
    "One host's tasks on one thread and a manual clock, with small stand-ins: peers that send"
    f" real datagrams as often as hosts do, engines, and callers with 9 requests a second. Thread"
    f" processor time of {RUN_S:.0f} s after {WARMUP_S:.0f} s, the kernel's for the datagrams included;"
    " context switches and the connections of callers and engines are not included. A `datagram taken`"
    " is measured from the socket to the dispatcher's state, without the placement tries that follow."
    " A `report` is load that an engine's answer reports; a `look` is a renewed listing of all engines."
)
COSTS: Mapping[str, tuple[str, ...]] = {
    "datagram taken": ("news taken", "taken by exchange", "dispatcher UpdatesReceived"),
    "news made and sent": ("news sent", "own news", "dispatcher GetOwnBeliefs"),
    "report": tuple(f"dispatcher {name}" for name in ("Read", "Begun", "Judged", "Ended")),
    "look": ("dispatcher ListingRead",),
    "try": ("placement try",),
}


def run(seeds: Sequence[int]) -> Report:
    """Measure each load at each size."""
    logging.disable(logging.CRITICAL)
    gather_s, _peer_gossip.BATCH_WAIT_S = _peer_gossip.BATCH_WAIT_S, 0.0
    try:
        rows = [
            (load.name, hosts, engines, *_costs(load, hosts, engines, seed))
            for load in LOADS
            for hosts, engines in SIZES
            for seed in seeds
        ]
        functions = [row for load in LOADS if load.name in PROFILED for row in _function_rows(load)]
    finally:
        _peer_gossip.BATCH_WAIT_S = gather_s
        logging.disable(logging.NOTSET)
    headers = ("load", "hosts", "engines", "core", "ms/request", "tries/request")
    headers += tuple(f"us/{name}" for name in COSTS)
    size_headers = tuple(f"{hosts} hosts" for hosts, _ in SIZES)
    return Report(
        TEXT,
        [
            Table("means", headers, average_rows(rows, 3)),
            Table("functions", ("load", "own ms a second by cProfile", *size_headers), functions),
        ],
    )


def _run_host(load: Load, hosts: int, engines: int, seed: int, profile: cProfile.Profile | None):
    meter = Meter()
    host = SmallHost(hosts, engines, load, seed, meter)
    host.run(WARMUP_S)
    meter.clear(profile)
    host.counts.clear()
    host.run(RUN_S)
    host.close()
    return host, meter


def _costs(load: Load, hosts: int, engines: int, seed: int) -> tuple[float, ...]:
    """Return the share of a core, ms and tries per request, and microseconds for each event."""
    host, meter = _run_host(load, hosts, engines, seed, None)
    events = {
        "datagram taken": host.counts["datagrams"],
        "news made and sent": meter.calls["own news"],
        "report": sum(meter.calls[kind] for kind in COSTS["report"]),
        "look": meter.calls["dispatcher ListingRead"],
        "try": meter.calls["placement try"],
    }
    total_ms = sum(meter.ns.values()) / 1e6
    requests = host.counts["requests"]
    return (
        total_ms / 1000 / RUN_S,
        total_ms / requests if requests else 0.0,
        meter.calls["placement try"] / requests if requests else 0.0,
        *(
            sum(meter.ns[kind] for kind in kinds) / 1000 / max(1, events[name])
            for name, kinds in COSTS.items()
        ),
    )


def _function_rows(load: Load) -> list[tuple[str | float, ...]]:
    own_ms: list[dict[str, float]] = []
    for hosts, engines in SIZES:
        profile = cProfile.Profile()
        _run_host(load, hosts, engines, 1, profile)
        own_ms.append({})
        for (file, _, name), (_, _, seconds, _, _) in pstats.Stats(profile).stats.items():
            function = name.split(" at 0x")[0] if file == "~" else f"{Path(file).stem}.{name}"
            own_ms[-1][function] = own_ms[-1].get(function, 0.0) + 1000 * seconds / RUN_S
    # The functions that cost most at the second size, which is that of the further-grown site.
    costly = sorted(own_ms[1], key=own_ms[1].__getitem__, reverse=True)[:FUNCTION_ROWS]
    return [(load.name, name, *(each.get(name, 0.0) for each in own_ms)) for name in costly]
