#!/bin/sh
# Builds the stand-ins of all cases. The node is built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --target-dir target/review --manifest-path review/standins/Cargo.toml
