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
  shifted/ruedaparque-fleet-now-grown.toml:8
  demands/corrib-ptl-grown.toml:8
  demands/bayar-shopfloor-grown.toml:8
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

# Prints measured / expected times from a log of a day, with simulated time and the VM's name before
# each line: calibration LOG
calibration() {
  awk '
    function field(name,  rest) {
      if (!match($0, "\"" name "\":")) return ""
      rest = substr($0, RSTART + RLENGTH)
      sub(/^"/, "", rest)
      sub(/[",}].*/, "", rest)
      return rest
    }
    function print_ratio(what, took, expected) {
      if (expected != "" && took != "") {
        print what, kind[id], model[id], phase[id], took / (expected > 1 ? expected : 1)
      }
    }
    /"message":"(sent|first event|run ended)"/ {
      id = $2 "/" field("request") "/" field("attempt")
      message = field("message")
    }
    /"message":"sent"/ && field("model") != "" {
      reason = field("reason")
      kind[id] = reason == "first" ? "first" : reason ~ /low confidence/ ? "larger" : "other"
      model[id] = field("model")
      phase[id] = $1 < 4 ? "0-4s" : $1 < 10 ? "4-10s" : "10s+"
      first[id] = field("expected_ms")
      end[id] = field("expected_end_ms")
    }
    /"message":"first event"/ && id in kind { print_ratio("begin", field("took_ms"), first[id]) }
    /"message":"run ended"/ && /Whole/ && id in kind { print_ratio("end", field("took_ms"), end[id]) }
  ' "$1" | sort -k1,4 -k5,5g | awk '
    function quantile(share) { return ratio[int(share * (count - 1)) + 1] }
    function flush() {
      if (count) printf "%-30s %6d %6.2f %6.2f %6.2f %6.2f\n", group, count,
        quantile(0.1), quantile(0.5), quantile(0.9), quantile(0.99)
      count = 0
    }
    BEGIN { printf "%-30s %6s %6s %6s %6s %6s\n", "measured / expected", "runs", "10%", "50%", "90%", "99%" }
    { key = $1 " " $2 " " $3 " " $4 }
    key != group { flush(); group = key }
    { ratio[++count] = $5 }
    END { flush() }
  '
}

case "${1:-help}" in
  calibration) calibration "${2:?name the log of a day}" ;;
  check) .ci/run ;;
  days) days "${2:-3}" ;;
  demo) cargo run --release -- demo ;;
  format) cargo fmt ;;
  lint) cargo clippy --all-targets -- -D warnings ;;
  test) cargo test ;;
  bench) cargo bench --bench "${2:?name a bench, see benches/}" ;;
  *) echo "recipes: calibration LOG, check, days [JOBS], demo, format, lint, test, bench NAME" ;;
esac
