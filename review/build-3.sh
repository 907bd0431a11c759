#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. No network is needed.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
