VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test setup bench fuzz

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" sh examples/demo.sh

test: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy
	$(BIN)/python -m pytest

bench: setup
	$(BIN)/sassafras-bench overload

fuzz: setup
	HYPOTHESIS_PROFILE=long $(BIN)/python -m pytest tests/fuzz
