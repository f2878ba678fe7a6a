VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0
TEST_WORKERS ?= 3
# Tests that are known to fail, see KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^red: /--deselect=/p' KNOWN-RED.txt)
# First and last seed, and seconds of faults in each run.
SOAK ?= 1 50 8

.PHONY: venv test lint format demo measure fuzz soak

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements-dev.txt
	touch $@

lint: venv
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: venv
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

test: venv
	$(PYTHON) -m pytest -n $(TEST_WORKERS) --dist loadfile $(KNOWN_RED)

demo: venv
	$(PYTHON) -m standins.demo

measure: venv
	$(PYTHON) -m measure

fuzz: venv
	HEATHERSHUNT_FUZZ=long $(PYTHON) -m pytest tests/fuzz

soak: venv
	$(PYTHON) -m soak $(SOAK)
