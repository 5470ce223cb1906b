"""Runs the examples in the docstrings of all modules."""

import doctest
import importlib
import pkgutil

import laburnumreel_platform
import pytest

import laburnumreel
import laburnumreel_standins

GENERATED_PREFIX = "laburnumreel.protocol.gen"
# Modules that run their program when they are imported.
PROGRAM_SUFFIX = ".__main__"


def module_names():
    for package in (laburnumreel, laburnumreel_platform, laburnumreel_standins):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if module.name.startswith(GENERATED_PREFIX) or module.name.endswith(PROGRAM_SUFFIX):
                continue
            yield module.name


def has_examples(name):
    return any(
        test.examples for test in doctest.DocTestFinder().find(importlib.import_module(name))
    )


@pytest.mark.parametrize("name", [name for name in module_names() if has_examples(name)])
def test_examples_of_docstrings(name):
    assert doctest.testmod(importlib.import_module(name)).failed == 0
