#!/bin/bash
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins.rs
