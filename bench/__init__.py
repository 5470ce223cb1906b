"""Benchmarks. Each module has `run(seeds)`, which returns rows of figures."""
