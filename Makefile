# Set VENV to a shared virtual environment to use one installation from several work trees.
VENV ?= .venv
# Number of seeds that `make soak` plays.
SEEDS ?= 50
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo demo-forward demo-dist test soak soak-ci soak-regressions soak-mutations fuzz mutations bench bench-forwarding slopes run-dev format check dist

$(VENV)/.installed: requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	touch $@

test: $(VENV)/.installed
	$(PYTHON) -m scripts.run_tests

demo: $(VENV)/.installed
	$(PYTHON) -m scripts.demo

demo-forward: $(VENV)/.installed
	$(PYTHON) -m scripts.demo_forward

demo-dist: dist
	$(PYTHON) -m scripts.demo --zipapp dist/medlarvale.pyz

run-dev: $(VENV)/.installed
	$(PYTHON) -m scripts.demo --keep

fuzz: $(VENV)/.installed
	HYPOTHESIS_PROFILE=fuzz $(PYTHON) -m scripts.run_tests --pattern "test_*_properties.py"

mutations: $(VENV)/.installed
	$(PYTHON) -m scripts.mutations

bench: $(VENV)/.installed
	$(PYTHON) -m bench

bench-forwarding: $(VENV)/.installed
	$(PYTHON) -m bench.forwarding

soak: $(VENV)/.installed
	$(PYTHON) -m soak --seeds $(SEEDS)

soak-ci: $(VENV)/.installed
	$(PYTHON) -m soak --hosts 4 --troubles deadlines standstill kill late-store server-kill --seeds 1
	$(PYTHON) -m soak --hosts 4 --troubles late deadlines standstill stop --first-seed 2 --seeds 1
	$(PYTHON) -m soak --hosts 4 --troubles late stop --first-seed 31 --seeds 1

soak-regressions: $(VENV)/.installed
	$(PYTHON) -m soak --regressions

soak-mutations: $(VENV)/.installed
	$(PYTHON) -m soak.mutations

slopes: $(VENV)/.installed
	$(PYTHON) -m bench.slopes

dist: $(VENV)/.installed
	$(PYTHON) -m scripts.build_zipapp

format: $(VENV)/.installed
	$(VENV)/bin/black --quiet src tests scripts bench soak
	$(VENV)/bin/ruff check --fix --quiet src tests scripts bench soak

check: $(VENV)/.installed
	$(VENV)/bin/black --check --quiet src tests scripts bench soak
	$(VENV)/bin/ruff check src tests scripts bench soak
	$(VENV)/bin/mypy
