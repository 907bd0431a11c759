# Tasks for developers.

.PHONY: build lint test soak bench man

build:
	cargo build --release --workspace

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings

# Passes over exactly the tests that KNOWN-RED.txt lists.
test:
	.ci/tests

# A million steps a core for each property, with other seeds; then faults on real processes.
soak: build
	for seed in 1 2 3 4 5 6; do \
	    RW_STEPS=1000000 RW_SEED=$$seed cargo test --release -p rw-core --tests || exit 1; \
	done
	target/release/rw-load soak --seeds 10

bench: build
	target/release/rw-load bench

man: build
	mkdir -p target/man target/completions
	target/release/redwingwick man target/man
	for shell in bash zsh fish; do \
	    target/release/redwingwick completions $$shell > target/completions/redwingwick.$$shell; \
	done
