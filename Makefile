VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format model bench capacity combined soak clean

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m standins.demo --shape=$(or $(SHAPE),harada)
	PYTHONPATH=platform $(PY) -m adapter.tests.demo

test: $(STAMP)
	$(PY) -m standins.run_tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Drawn failures under load; SEED repeats a run, RUN_S says how long.
combined: $(STAMP)
	$(PY) -m standins.combined --shape=$(or $(SHAPE),small) --seed=$(or $(SEED),0) --run_s=$(or $(RUN_S),30)

# Drawn faults around forwarders; SEEDS runs so many from SEED on (0 draws one).
soak: $(STAMP)
	PYTHONPATH=platform $(PY) -m adapter.tests.soak.run --seed=$(or $(SEED),0) --run_s=$(or $(RUN_S),20) --seeds=$(or $(SEEDS),1) --logs=var/soak

model: $(STAMP)
	$(PY) -m endivepick.model

bench: $(STAMP)
	$(VENV)/bin/endivepick bench table

capacity: $(STAMP)
	$(PY) -m endivepick.bench.capacity

clean:
	rm -rf $(VENV) build var
