#!/usr/bin/env bash
# Builds the stand-ins of the third review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standins-3 review/standins-3.rs
