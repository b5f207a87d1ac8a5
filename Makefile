PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: setup demo test check format bench fuzz scenarios experiment golden

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: setup
	$(BIN)/lovagesaddle demo

test: setup
	$(BIN)/python -m tests

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff check --fix --exit-zero --quiet .
	$(BIN)/ruff format .
	$(BIN)/ruff check .

scenarios: setup
	$(BIN)/python -m behave --no-capture --format progress3 features

bench: setup
	$(BIN)/python -m bench

fuzz: setup
	$(BIN)/python -m bench.fuzz

experiment: setup
	$(BIN)/python -m bench.experiment $(FILE)

golden: setup
	LOVAGESADDLE_RENEW_GOLDEN=1 $(BIN)/python -m tests tests.test_golden
