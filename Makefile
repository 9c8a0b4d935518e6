PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint demo bench soak format

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/ready

# The tests of misbehaving clients measure memory, and run without other load.
test: setup
	$(BIN)/python -m pytest -q -p no:cacheprovider -m "not hostile" lovagewalk soak
	$(BIN)/python -m pytest -q -p no:cacheprovider -m hostile lovagewalk

lint: setup
	$(BIN)/black --check --quiet lovagewalk benchmarks soak
	$(BIN)/isort --check-only --quiet lovagewalk benchmarks soak
	$(BIN)/flake8 lovagewalk benchmarks soak
	$(BIN)/lint-imports

format: setup
	$(BIN)/isort --quiet lovagewalk benchmarks soak
	$(BIN)/black --quiet lovagewalk benchmarks soak

demo: setup
	$(BIN)/lovagewalk demo

bench: setup
	$(BIN)/python -m benchmarks

# Runs the seeds that failed in the past, then 50 seeds of 20 s each; takes about half
# an hour.
soak: setup
	$(BIN)/python -m soak regress
	$(BIN)/python -m soak seeds 100 50 20
