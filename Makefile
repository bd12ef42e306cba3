VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

# The order of sets must not differ between runs.
export PYTHONHASHSEED = 0

.PHONY: demo test lint measure capacity report generate clean

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e .
	touch $@

$(VENV)/installed-dev: $(VENV)/installed
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

$(VENV)/installed-report: $(VENV)/installed
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[report]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m limpetpulley.demo

test: $(VENV)/installed-dev
	$(BIN)/python -m pytest -m "not integration"
	$(BIN)/python -m pytest -m integration -n 0

lint: $(VENV)/installed-dev
	$(BIN)/black --check --quiet limpetpulley tests measure
	$(BIN)/ruff check limpetpulley tests measure
	$(BIN)/mypy

measure: $(VENV)/installed-dev
	$(BIN)/python -m measure

capacity: $(VENV)/installed-dev
	$(BIN)/python -m measure.capacity

# make report LOG=FILE [FAULTS=FILE] [ORIGIN=SECONDS]
report: $(VENV)/installed-report
	$(BIN)/python -m measure.report $(if $(FAULTS),--faults '$(FAULTS)') \
	    $(if $(ORIGIN),--origin=$(ORIGIN)) '$(or $(LOG),$(error make report LOG=FILE))'

generate: $(VENV)/installed-dev
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[generate]'
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
	    --plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python \
	    limpetpulley/peer/peer.proto limpetpulley/peer/batch.proto

clean:
	rm -rf $(VENV)
