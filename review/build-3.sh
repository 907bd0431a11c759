#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. No network is needed.
set -e
cd "$(dirname "$0")/harness-3"
cargo build --offline --release
