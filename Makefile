# Each rule first creates the virtual environment, so that it works in a new
# checkout.
VENV := .venv
PY := $(VENV)/bin/python
READY := $(VENV)/.ready

.PHONY: demo test lint bench fuzz capacity proofs format

$(READY): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps -e .
	touch $(READY)

demo: $(READY)
	$(PY) -m bench.demo

test: $(READY)
	$(PY) -m pytest -q

lint: $(READY)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

format: $(READY)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: $(READY)
	$(PY) -m bench.run
	$(PY) -m bench.gateway_cost

fuzz: $(READY)
	$(PY) -m bench.fuzz

capacity: $(READY)
	$(PY) -m bench.capacity

proofs: $(READY)
	$(PY) -m bench.proofs
