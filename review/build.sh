#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no network: the package has no dependency.
set -eu
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path standins/Cargo.toml
