#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/play review/stand_ins-2/main.rs
