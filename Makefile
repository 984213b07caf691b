PYTHON ?= python3.11
VENV ?= .venv
DEPLOYMENT ?= coral-strand
SEEDS ?= 1-50
SOAK_SECONDS ?= 10
ORGANISATIONS ?= 0
HOSTILE ?= 0
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src
export PYTHONHASHSEED := 0

.PHONY: setup test format lint types unit demo measure slopes soak golden clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --no-deps -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps -e .
	touch $@

test: setup lint types unit

format: setup
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/python -m sesameladder.testing.known_red KNOWN-RED.txt

demo: setup
	$(BIN)/python -m sesameladder.measure.demo --deployment $(DEPLOYMENT)

measure: setup
	$(BIN)/python -m sesameladder.measure

slopes: setup
	$(BIN)/python -m sesameladder.measure.slopes

soak: setup
	$(BIN)/python -m sesameladder.node.tests.soak --seeds $(SEEDS) --seconds $(SOAK_SECONDS) --organisations $(ORGANISATIONS) --hostile $(HOSTILE)

golden: setup
	SESAMELADDER_REGENERATE_GOLDEN=1 $(BIN)/python -m pytest -k golden

clean:
	rm -rf build .mypy_cache .ruff_cache .pytest_cache
