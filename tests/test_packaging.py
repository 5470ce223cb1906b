"""Tests of the pinned requirements, which a fresh clone installs."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_requirements_are_exact_pins():
    """Guards against paths and version ranges, which another machine may resolve differently."""
    lines = (ROOT / "requirements.txt").read_text().split()
    assert lines and all(re.fullmatch(r"[\w.-]+==[\w.]+", line) for line in lines)


def test_every_dependency_is_pinned():
    """Guards against a dependency that is not installed because it has no pin."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    dependencies = project["dependencies"] + project["optional-dependencies"]["dev"]
    names = {re.match(r"[\w-]+", name)[0].lower() for name in dependencies}
    pinned = {line.partition("==")[0].lower() for line in (ROOT / "requirements.txt").open()}
    assert names <= pinned
