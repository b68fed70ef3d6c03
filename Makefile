PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
TAGS ?=
PACKAGES := fleet platform daemon cli jobs scheduler
PROJECTS := $(PACKAGES:%=packages/hawthorndeal-%)
INPUTS := constraints.txt requirements.txt $(PROJECTS:%=%/pyproject.toml)
STAMP := $(VENV)/installed-$(shell cat $(INPUTS) | cksum | cut -d' ' -f1)

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(PROJECTS:%=$(CURDIR)/%)):$(CURDIR)/features:$(CURDIR)/platform:$(CURDIR)
export PIP_DISABLE_PIP_VERSION_CHECK := 1

.PHONY: help install demo test lint format measure slopes proofs clean

help:
	@echo 'make demo     set up, then run the main job on stand-ins;'
	@echo '              KEEP=1 leaves a deployment running until Ctrl-C'
	@echo 'make test     set up, then run the tests; TAGS=@tag for a part'
	@echo 'make lint     formatter and linter, without changing anything'
	@echo 'make format   format every file'
	@echo 'make measure  measure the policies; QUICK=1 for fewer seeds'
	@echo 'make proofs   bring the table of docs/PROOFS.md up to date'
	@echo 'make slopes   measure the slopes of docs/CAPACITY.md'

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(PROJECTS:%=-e %)
	touch $@

install: $(STAMP)

demo: install
	$(BIN)/python -m demo.run $(if $(KEEP),--keep .demo) \
		$(if $(FAULT),--fault $(FAULT))

test: install
	$(BIN)/python -m runner $(if $(TAGS),--tags='$(TAGS)')

lint: install
	$(BIN)/ruff format --check --quiet .
	$(BIN)/flake8 .

format: install
	$(BIN)/ruff format --quiet .

measure: install
	$(BIN)/python -m measure.run $(if $(QUICK),--quick)

slopes: install
	$(BIN)/python -m measure.slopes

proofs: install
	$(BIN)/python -m proofs

clean:
	rm -rf $(VENV)
