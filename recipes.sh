#!/usr/bin/env bash
# The developers' commands: ./recipes.sh NAME
set -euo pipefail
cd "$(dirname "$0")"

# The deployments that each landing is measured on, each with the days of a hunt.
sites=(
  sites/kencana-cube.toml:40
  sites/ruedaparque-fleet.toml:40
  large/ruedaparque-fleet-large.toml:8
  grown/kencana-cube-grown.toml:8
  grown/ruedaparque-fleet-grown.toml:8
)

# Scores the deployments in force and hunts on them: days [JOBS]
days() {
  local jobs="${1:-3}" kit="${USERS_KIT:-../given/kit/more/system}" bench site count status=0
  bench="$(find "$kit" -path '*bench-*/bin/fleetbench' | sort | tail -1)"
  if [ -z "$bench" ]; then
    echo "The users' bench is not under $kit; set USERS_KIT to the folder that holds it." >&2
    exit 1
  fi
  for site in "${sites[@]}"; do
    count="${site#*:}" site="$kit/${site%%:*}"
    "$bench" score "$site" --jobs "$jobs" --why "regression run" || status=1
    "$bench" hunt "$site" --days "$count" --jobs "$jobs" --why "regression run" || status=1
  done
  return "$status"
}

case "${1:-help}" in
  check) .ci/run ;;
  days) days "${2:-3}" ;;
  demo) cargo run --release -- demo ;;
  format) cargo fmt ;;
  lint) cargo clippy --all-targets -- -D warnings ;;
  test) cargo test ;;
  bench) cargo bench --bench "${2:?name a bench, see benches/}" ;;
  *) echo "recipes: check, days [JOBS], demo, format, lint, test, bench NAME" ;;
esac
