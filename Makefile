SEED ?= 1
ROUNDS ?= 200
KEEP ?= 0
MINUTES ?= 1

.PHONY: run test build sanitize fuzz bench capacity lint format soak

build:
	bash scripts/packages
	bash scripts/build

run: build
	KEEP=$(KEEP) bash scripts/run

test: build
	bash scripts/test

sanitize:
	bash scripts/packages
	bash scripts/sanitize

fuzz: build
	SEED=$(SEED) ROUNDS=$(ROUNDS) bash scripts/fuzz

bench: build
	bash scripts/bench

capacity: build
	bash scripts/capacity

lint: build
	bash scripts/lint

format:
	find include src apps tests bench platform -name '*.h' -o -name '*.cc' | xargs clang-format -i

# Real processes under faults from outside; see scripts/soak.
soak: build
	SEED=$(SEED) MINUTES=$(MINUTES) bash scripts/soak
