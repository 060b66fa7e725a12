#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They use no library but the standard one.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
