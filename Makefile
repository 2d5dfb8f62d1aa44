PYTHON := .venv/bin/python

.PHONY: build test lint run

build: .venv/bin/pytest

.venv/bin/pytest: requirements.txt requirements-console.txt requirements-lab.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .

run: build
	@if [ -n "$$RELAY_CONFIG" ]; then exec $(PYTHON) -m linkdock; \
	else exec $(PYTHON) -m linkdock.lab.processes; fi
