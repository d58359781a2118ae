PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check format thrift bench

$(VENV)/.installed: requirements.txt deploy/requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo --deployment=examples/ghala-pamoja.json

test: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy
	$(BIN)/python -m pytest

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

thrift:
	thrift --gen py:package_prefix=skylarktally._gen. -out skylarktally/_gen skylarktally/skylarktally.thrift
	thrift --gen py:package_prefix=skylarktally._gen. -out skylarktally/_gen skylarktally/entry.thrift
