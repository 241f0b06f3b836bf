#!/usr/bin/env bash
# The developers' commands: ./recipes.sh NAME
set -euo pipefail
cd "$(dirname "$0")"
case "${1:-help}" in
  check) .ci/run ;;
  demo) cargo run --release -- demo ;;
  format) cargo fmt ;;
  lint) cargo clippy --all-targets -- -D warnings ;;
  test) cargo test ;;
  bench) cargo bench --bench "${2:?name a bench, see benches/}" ;;
  *) echo "recipes: check, demo, format, lint, test, bench NAME" ;;
esac
