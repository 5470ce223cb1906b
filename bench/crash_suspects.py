"""Compare rules that find the prompt parts that crash backend servers, by hosts and load.

Each host has its own `CrashSuspects` and hears of its peers at the interval of the relay's gossip,
or at once after news. Nothing is lost on the way. Hosts know which servers are down.
"""

import random
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from bench._crash_cases import Case, Result
from bench._crash_fleet import Fleet
from bench._crash_rules import RULES, WHOLE_REQUESTS, Rule
from bench._report import Report, Table, average_rows

# Hosts, the regions that they are in, and backend servers, about as on the sites.
SIZES = ((3, 1, 6), (7, 1, 12), (63, 1, 42), (195, 3, 90))
RUNNING = (1, 8, 48)
RULE_SIZE, RULE_RUNNING = (7, 1, 12), 8
# Larger ones take minutes a run.
MAX_LOAD = 63 * 8
PRESENT = RULES[0]
PROCESSES = 4
# Rules that differ from others little without a deadly part.
_ONLY_WITH_A_PART = ("no share", "one server from 2", "ends waiting")

CASES = {
    "one part": Case(deadly=("deadly-0",)),
    "two parts": Case(deadly=("deadly-0", "deadly-1")),
    "three parts": Case(deadly=("deadly-0", "deadly-1", "deadly-2")),
    "beside crashes": Case(deadly=("deadly-0",), lost_servers=20, lost_within_s=20.0),
    "sound before": Case(deadly=("deadly-0",), deadly_from_s=6.0),
    "first part of half": Case(deadly=("first-b",), first_parts=("first-a", "first-b")),
}
SOUND_CASES = {
    "20 servers in 1 ms": Case(lost_servers=20, lost_within_s=0.001),
    "20 servers in 2 s": Case(lost_servers=20, lost_within_s=2.0),
    "20 servers in 20 s": Case(lost_servers=20, lost_within_s=20.0, sound_run_s=28.0),
    "a zone in 0.1 s": Case(lost_share=1 / 3, lost_within_s=0.1),
    "10 of 12 early, slow answers": Case(
        lost_share=10 / 12,
        lost_from_s=2.0,
        lost_within_s=4.0,
        sound_run_s=20.0,
        first_byte_s=(0.3, 6.0),
    ),
    "one server in a loop": Case(has_crash_loop=True, sound_run_s=34.0),
    "all crash on everything": Case(crashes_on_all_from_s=4.0),
}
SOUND_LOADS = (1, 8)
SOUND_RULES = [rule for rule in RULES if rule.name not in _ONLY_WITH_A_PART]

TEXT = (
    "Two kinds of requests share a first part and twelve customers' parts; a deadly part is in 5% of one kind's. An answer begins "
    "after 0.1 to 0.9 s and is written for 1.5 s; a request has two attempts; a server returns 5 s after its crash. `first held`, "
    "`last held`: crashes until the first and the last host hold it. `late`: requests with a deadly part that reach servers later "
    "than 3 s after its fifth crash, over all hosts (allowed: 3). `wrong`: sound parts held in a run, the first part named apart "
    "(allowed: 0), `wrong at end` those that still are. `lost`: sound requests lost, of all. `cpu`: the most processor time of one host for the evidence in a second, in "
    "cores of this machine (a host has 0.5 of one). `update`: bytes of evidence in the largest update. `urgent`: an update at "
    "once after a new crash, hold or first answer of a suspect. `whole requests only` is the baseline."
)


class _Run(NamedTuple):
    key: tuple[Any, ...]
    case: Case
    rule: Rule
    size: tuple[int, int, int]
    running: int
    urgent: bool
    seed: int


def _play(run: _Run) -> tuple[tuple[Any, ...], Result]:
    hosts, regions, servers = run.size
    rng = random.Random(f"{run.seed} {hosts} {run.running}")
    fleet = Fleet(rng, run.case, run.rule, hosts, regions, servers, run.running, run.urgent)
    return run.key, fleet.play()


def _play_all(runs: Sequence[_Run]) -> Iterable[tuple[tuple[Any, ...], Result]]:
    with ProcessPoolExecutor(PROCESSES) as executor:
        for key, result in executor.map(_play, runs):
            print(*key, *map(_short, _figures(result) + _costs(result)), flush=True)
            yield key, result


def _short(figure: Any) -> str:
    return f"{figure:.4g}"


def _figures(result: Result) -> tuple[Any, ...]:
    return (
        result.crashes,
        result.first_held_crashes,
        result.last_held_crashes,
        result.late_sends,
        len(result.wrong_parts),
        sum(part.startswith("first") for part in result.wrong_parts),
        result.wrong_at_end,
        result.lost_share,
    )


_HEADERS = (
    "crashes",
    "first held",
    "last held",
    "late",
    "wrong",
    "wrong first",
    "wrong at end",
    "lost",
)
_COSTS = ("cpu", "update", "bytes a crash", "datagrams a crash")


def _costs(result: Result) -> tuple[Any, ...]:
    return (
        result.cpu_share,
        result.update_bytes,
        result.bytes_per_crash,
        result.datagrams_per_crash,
    )


def run(seeds: Sequence[int]) -> Report:
    """Play all sizes with the present rule, all rules at some sizes, and cases without a part."""
    sizes = [
        _Run(
            (f"{size[0]} hosts", f"{running} {name}"),
            CASES["one part"],
            rule,
            size,
            running,
            urgent,
            seed,
        )
        for size in SIZES
        for running in RUNNING
        if size[0] * running <= MAX_LOAD
        for name, rule, urgent in (
            ("urgent", PRESENT, True),
            ("interval", PRESENT, False),
            ("whole requests", WHOLE_REQUESTS, False),
        )
        for seed in seeds
    ]
    rules = [
        _Run((name, rule.name), case, rule, RULE_SIZE, RULE_RUNNING, True, seed)
        for name, case in CASES.items()
        for rule in RULES
        for seed in seeds
    ]
    sound = [
        _Run((name, rule.name), case, rule, (7, 1, 24), running, True, 100 * number + seed)
        for name, case in SOUND_CASES.items()
        for rule in SOUND_RULES
        for number, running in enumerate(SOUND_LOADS)
        for seed in seeds
    ]
    size_rows = [(*key, *_figures(each), *_costs(each)) for key, each in _play_all(sizes)]
    sound_rows, names = [], {}
    for key, each in _play_all(sound):
        sound_rows.append((*key, *_figures(each)[4:]))
        names.setdefault(key, set()).update(part.split("-")[0] for part in each.wrong_parts)
    rule_rows = [(*key, *_figures(each)) for key, each in _play_all(rules)]
    sound_means = [
        (*row, ", ".join(sorted(names[row[:2]])) or "none") for row in average_rows(sound_rows, 2)
    ]
    keys = ("hosts", "running, news")
    return Report(
        TEXT,
        [
            Table("sizes", (*keys, *_HEADERS, *_COSTS), average_rows(size_rows, 2), "late"),
            Table("sizes-runs", (*keys, *_HEADERS, *_COSTS), size_rows),
            Table("rules", ("case", "rule", *_HEADERS), average_rows(rule_rows, 2), "late"),
            Table("no-part", ("case", "rule", *_HEADERS[4:], "which"), sound_means, "wrong"),
        ],
    )
