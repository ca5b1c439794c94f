#!/bin/sh
# Builds the stand-ins of the second review with the Rust toolchain and no library. Run it at any place.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/standins review/standins-2.rs
