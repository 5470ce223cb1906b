"""Benchmarks of the policies: the real state machines on a fake of engines and traffic."""
