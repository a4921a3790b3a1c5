# Run `make test` for everything that CI checks.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
MEASURE_STAMP := $(VENV)/.installed-measure
# Feature files run at once; the scenarios' bounds are seconds of the wall clock, so fewer than cores.
JOBS ?= 6
ARGS ?=

PACKAGES := $(patsubst %/pyproject.toml,%,$(wildcard packages/*/pyproject.toml platform/pyproject.toml standins/pyproject.toml))
MANIFESTS := $(addsuffix /pyproject.toml,$(PACKAGES))
CODE := $(wildcard packages/*/src platform/src platform/days standins/src tools features)
# mypy refuses a folder that holds no Python file.
TYPED := $(shell for folder in $(CODE); do find $$folder -name '*.py' | grep -q . && echo $$folder; done)

.DEFAULT_GOAL := test
.PHONY: venv lint journal test scenarios soak demo measure reference format clean

venv: $(STAMP)

# The stamp bears the time of the start, so that a manifest changed meanwhile counts as newer.
$(STAMP): requirements.txt $(MANIFESTS)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	touch $@.new
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps $(addprefix --editable ./,$(PACKAGES))
	mv $@.new $@

$(MEASURE_STAMP): $(STAMP) requirements-measure.txt
	$(BIN)/python -m pip install --quiet --requirement requirements-measure.txt
	touch $@

lint: venv
	$(BIN)/ruff check $(CODE)
	$(BIN)/black --check --quiet --diff $(CODE)
	$(BIN)/mypy $(TYPED)
	$(BIN)/lint-imports

# No entry of journal/ that is in the history may be missing.
journal: venv
	@$(BIN)/python tools/journal_history.py

# The scenarios run even if lint fails, and last, so that their result ends the output.
test: venv
	@status=0; \
	$(MAKE) --no-print-directory lint || status=$$?; \
	$(MAKE) --no-print-directory journal || status=$$?; \
	$(MAKE) --no-print-directory scenarios || status=$$?; \
	exit $$status

scenarios: venv
	@$(BIN)/python tools/scenarios.py --jobs $(JOBS) $(ARGS)

# Real entries under seeded faults; see docs/how-to/soak.md.
soak: venv
	@PYTHONPATH=features $(BIN)/python -m soak $(ARGS)

demo: venv
	PATH="$(CURDIR)/$(BIN):$$PATH" bash demo/run.sh

measure: $(MEASURE_STAMP)
	$(BIN)/python -m mimosaspur_load $(ARGS)

# The pages made from the code are committed; features/reference.feature checks them.
reference: venv
	$(BIN)/python tools/reference.py

format: venv
	$(BIN)/ruff check --fix $(CODE)
	$(BIN)/black --quiet $(CODE)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .import_linter_cache .hypothesis
	find $(wildcard packages standins) -name '*.egg-info' -prune -exec rm -rf {} +
