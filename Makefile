# `make demo` and `make test` set up a virtual environment with the pinned dependencies first.

PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup test lint bench demo fuzz

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

test: setup
	$(VENV)/bin/python -m pytest -m "not crowd"
	$(VENV)/bin/python -m pytest -m crowd -n 0

lint: setup
	$(VENV)/bin/black --check --quiet src platform tests bench examples
	$(VENV)/bin/ruff check src platform tests bench examples

bench: setup
	$(VENV)/bin/python -m bench

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(VENV)/bin/python -m pytest -m "not processes" --timeout 3600

demo: setup
	$(VENV)/bin/python examples/demo.py
