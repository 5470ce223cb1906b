"""Runs the benchmarks: `python -m bench [NAME ...] [--seeds 1,2,3]`."""

import argparse
import importlib
import pkgutil
import sys
import time
from pathlib import Path

import bench
from bench._report import write_report

RESULTS = Path(__file__).parent / "results"


def main(arguments: list[str] | None = None) -> int:
    """Run the named benchmarks, or all of them, and write their results."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("names", nargs="*", help="benchmarks to run; all without a name")
    parser.add_argument("--seeds", default="1,2,3", help="comma separated random seeds")
    options = parser.parse_args(arguments)
    seeds = [int(seed) for seed in options.seeds.split(",")]
    known = [
        module.name for module in pkgutil.iter_modules(bench.__path__) if module.name[0] != "_"
    ]
    for name in options.names or known:
        if name not in known:
            parser.error(f"no benchmark {name}; there are: {', '.join(known)}")
        module = importlib.import_module(f"bench.{name}")
        if not hasattr(module, "run"):
            continue
        print(f"{name}: seeds {options.seeds}", flush=True)
        started = time.monotonic()
        report = module.run(seeds)
        print(write_report(RESULTS, name, report, seeds))
        print(f"{name}: took {time.monotonic() - started:.0f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
