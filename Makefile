PYTHON := .venv/bin/python

KIT ?= ../given/kit/more/mass/other
SITE_FILES := real.json wire.json unlock.txt

.PHONY: build test lint run sites

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
	.venv/bin/ruff format --check .

run: build
	@if [ -n "$$RELAY_CONFIG" ]; then exec $(PYTHON) -m linkdock; \
	else exec $(PYTHON) -m linkdock.lab.processes; fi

# Lays what the bench wants beside the deployments drawn up in deploy/sites; git ignores it. Their names are the kit's own.
sites:
	@test -d $(KIT) || { echo "make sites: there is no kit in $(KIT); name its folder by KIT=..."; exit 1; }
	@cd $(KIT) && cp -f $(SITE_FILES) $(CURDIR)/deploy/sites/ && chmod u+w $(SITE_FILES:%=$(CURDIR)/deploy/sites/%)
