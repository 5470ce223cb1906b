"""Tests that hold the catalogues in docs/ and the code equal."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent

# A fresh interpreter, because tests define events and metrics of their own.
_PRINT_PAGE = """
import sys
sys.path.insert(0, "tools")
import catalogue
sys.stdout.write(catalogue.pages()[sys.argv[1]])
"""


@pytest.mark.parametrize("page", ["logs.md", "metrics.md", "errors.md"])
def test_page_equals_code(page):
    """Guards against an operator looking up an event, metric or error that the page lacks."""
    written = subprocess.run(
        [sys.executable, "-c", _PRINT_PAGE, page],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert (ROOT / "docs" / page).read_text(
        encoding="utf-8"
    ) == written, "run `python tools/catalogue.py`"
