"""Benchmarks of the policies, most of them with the real state machines on fake engines."""
