BUILD ?= build
SANITIZE_BUILD ?= build-sanitize

.PHONY: all install-deps build check check-format lint test check-sanitize \
	bench demo fleet-check soak fuzz format clean

all: build

install-deps:
	@.ci/install

$(BUILD)/build.ninja:
	meson setup $(BUILD)

build: $(BUILD)/build.ninja
	@meson compile -C $(BUILD)

SOURCES = $(shell git ls-files --cached --others --exclude-standard \
	'*.c' '*.h' '*.cpp')

check: check-format build lint test

check-format:
	@clang-format --dry-run --Werror $(SOURCES)

format:
	@clang-format -i $(SOURCES)

lint: build
	@test/run-lint $(BUILD)

test: build
	@test/run-tests $(BUILD)

$(SANITIZE_BUILD)/build.ninja:
	meson setup $(SANITIZE_BUILD) -Db_sanitize=address,undefined \
		-Db_lundef=false

check-sanitize: $(SANITIZE_BUILD)/build.ninja
	@meson compile -C $(SANITIZE_BUILD)
	@test/run-tests $(SANITIZE_BUILD)

bench: build
	@bench/run $(BUILD)

demo: install-deps build
	@test/demo $(BUILD)

fleet-check: build
	@test/fleet-check $(BUILD)

# Variables: TARGET=reply|request|frame|page|entry|routes|leaf [SECONDS=S]. Needs clang.
fuzz:
	@test/fuzz/run $(TARGET) $(or $(SECONDS),60)

# Runs all seeds of test/soak/seeds, or one with SEED=N [SOAK_SECONDS=S].
soak: build
	@test/soak/run $(BUILD) $(SEED)

clean:
	rm -rf $(BUILD) $(SANITIZE_BUILD) build-fuzz
