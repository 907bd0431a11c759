#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
