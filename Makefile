# Build, test, lint and run frostfall. `make run CONFIG=path/to/config.json` starts one agent.
PYTHON ?= python3
VENV ?= .venv
CONFIG ?= deploy/example.json

.PHONY: build test lint run bench clean

build: $(VENV)/dev.txt

$(VENV)/dev.txt: requirements.txt requirements-dev.txt requirements-bench.txt requirements-group.txt \
		requirements-zones.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt -r requirements-bench.txt -r requirements-group.txt \
		-r requirements-zones.txt
	cp requirements.txt $(VENV)/installed.txt
	cp requirements-dev.txt $(VENV)/dev.txt

test: build
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash tests/run

lint: build
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

run: build
	BALANCER_CONFIG=$(CONFIG) $(VENV)/bin/python -m frostfall

bench: build
	$(VENV)/bin/python -m frostfall bench slow-peers

clean:
	rm -rf $(VENV) .ci-venv .mypy_cache .pytest_cache .ruff_cache
