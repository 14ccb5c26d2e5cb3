PYTHON ?= python3
VENV ?= .venv
RUN := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format bench generate

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: setup
	$(RUN) -m briarknot_standins.demo

test: setup
	$(RUN) -m pytest

lint: setup
	$(RUN) tools/generate.py --check
	$(RUN) tools/write_reference.py --check
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .
	$(RUN) -m flake8 .

format: setup
	$(RUN) -m ruff check --fix .
	$(RUN) -m ruff format .

bench: setup
	$(RUN) -m benchmarks
	$(RUN) -m benchmarks.capacity

generate: setup
	$(RUN) tools/generate.py
	$(RUN) tools/write_reference.py
