# Developer commands; they wrap CMake and the scripts in scripts/.
JOBS ?= $(shell nproc)

.PHONY: all install-packages configure build check demo soak soak-platform \
    bench experiment format format-check lint clean

all: build

## install-packages: install the Debian packages the build needs
install-packages:
	@scripts/install-packages.sh

configure: install-packages
	@cmake -S . -B build -G Ninja > build-configure.log || \
	    (cat build-configure.log; exit 1)

## build: build every package, tool and test
build: configure
	@cmake --build build -j $(JOBS)

## check: install, build and run all tests
check: build
	@scripts/check.sh

## demo: run the demo with an example (EXAMPLE=pall-cloth, ticket-office)
EXAMPLE ?= pall-cloth
demo: build
	@scripts/demo.sh $(EXAMPLE)

## bench: measure latency, processor time, memory and control traffic
bench: build
	@build/tools/bench/bench --example examples/pall-cloth $(BENCH_ARGS)

## soak: run the soak test: pairs of faults, scheduled from SEED, for ROUNDS
SEED ?= 1
ROUNDS ?= 20
soak: build
	@AGATEBANK_SOAK_SEED=$(SEED) AGATEBANK_SOAK_ROUNDS=$(ROUNDS) \
	    build/tests/process/process_tests "[soak]"

## soak-platform: the same for processes in the platform's form
soak-platform: build
	@AGATEBANK_SOAK_SEED=$(SEED) AGATEBANK_SOAK_ROUNDS=$(ROUNDS) \
	    build/tests/platform/platform_process_tests "[soak]"

## format: format all sources
format:
	@scripts/format.sh

## format-check: fail if a source is not formatted
format-check:
	@scripts/format.sh --check

## lint: run clang-tidy over all sources
lint: build
	@JOBS=$(JOBS) scripts/lint.sh

## experiment: compare the dispatch policies; writes docs/measurements
experiment: build
	@build/tools/experiment/experiment --out docs/measurements

## clean: remove the build directory
clean:
	@cmake -E rm -rf build build-configure.log
