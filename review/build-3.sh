#!/usr/bin/env bash
# Builds the stand-ins of the third review. Needs no network: they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-3/platform/Cargo.toml --target-dir target/review-3
