#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
