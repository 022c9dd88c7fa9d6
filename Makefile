# Each target sets up what it needs on a fresh machine.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SEED ?= 1
STEPS ?= 80
SEEDS ?= 1
SECONDS ?= 10

.PHONY: demo test lint format fuzz soak bench capacity throughput dist settings-doc

$(VENV)/.installed: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m tools.demo

test: $(VENV)/.installed lint
	$(BIN)/python -m tools.run_tests

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

fuzz: $(VENV)/.installed
	$(BIN)/python -m tools.fuzz --seed $(SEED) --steps $(STEPS)

soak: $(VENV)/.installed
	$(BIN)/python -m tools.soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

bench: $(VENV)/.installed
	$(BIN)/python -m bench.policy --seed $(SEED)

throughput: $(VENV)/.installed
	$(BIN)/python -m bench.throughput

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity

dist: $(VENV)/.installed
	$(BIN)/python -m tools.build_dist
