#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/8; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --target-dir target/review-2 \
    --manifest-path review/standins-2/Cargo.toml
