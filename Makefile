# Short names for the common jobs; see README.md.

JOBS ?= $(shell nproc)
RELEASE := build/release
CHECKED := build/test
LINT := build/lint

.PHONY: all deps release checked demo test bench lint format clean

all: release

deps:
	@tools/install-deps

release: deps
	@cmake -S . -B $(RELEASE) -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@ninja -C $(RELEASE) -j $(JOBS)

checked: deps
	@cmake -S . -B $(CHECKED) -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBUCKTHORNSHUNT_SANITIZE=ON >/dev/null
	@ninja -C $(CHECKED) -j $(JOBS) buckthornshunt-tests buckthornshunt buckthornshuntd

demo: release
	@tools/demo $(RELEASE)

test: checked
	@tools/run-tests $(CHECKED)

bench: release
	@$(RELEASE)/buckthornshunt-bench build/bench.json

lint: deps
	@cmake -S . -B $(LINT) -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBUCKTHORNSHUNT_PCH=OFF >/dev/null
	@tools/lint $(LINT) $(JOBS)

format:
	@clang-format-16 -i $$(git ls-files '*.h' '*.cpp')

clean:
	@rm -rf build
