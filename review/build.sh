#!/bin/sh
# Builds the stand-ins of the scripts with the compiler alone; no dependency is used.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_ins review/stand_ins/main.rs
