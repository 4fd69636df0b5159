#!/usr/bin/env bash
# Measures the CPU time of an entry instance's process per request. Runs one control instance, one stand-in group and
# one entry instance on loopback, with the load from a fourth process. Stops only the processes that it started.
#
#   crates/cumincart-load/entry-processor-time.sh [requests per second] [seconds]
set -euo pipefail
cd "$(dirname "$0")/../.."
rate=${1:-500}
span_s=${2:-10}
service=pbx-organisations-1
cargo build --release --quiet --workspace --bins
folder=$(mktemp -d)
started=()
end() {
    for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done
    for process in "${started[@]}"; do wait "$process" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap end EXIT

# Waits up to 10 s until file $1 has a line that begins with $2, and prints the last word of that line.
address() {
    for _ in $(seq 200); do
        line=$(grep -m1 "^$2" "$1" 2>/dev/null) && { echo "${line##* }"; return; }
        sleep 0.05
    done
    echo "no address in $1" >&2
    return 1
}

head -c 24 /dev/urandom | base64 >"$folder/fleet-secret"
head -c 24 /dev/urandom | base64 >"$folder/operator-token"
common='"domain": "sofia-a", "http_address": "127.0.0.1:0", "fleet_secret_file": "fleet-secret",
  "operator_token_file": "operator-token", "endpoint_login": {"user": "load", "database": "load"},
  "log": {"level": "error"}'
control_peer=127.0.0.1:$((20000 + RANDOM % 5000))
entry_peer=127.0.0.1:$((25000 + RANDOM % 5000))
cat >"$folder/control.jsonc" <<JSON
{"instance": "control-1", "peer_address": "$control_peer", "data_folder": "data", $common,
  "members": [{"instance": "control-1", "peer_address": "$control_peer"}]}
JSON
cat >"$folder/entry.jsonc" <<JSON
{"instance": "entry-1", "peer_address": "$entry_peer", "control_addresses": ["$control_peer"], $common}
JSON
target/release/cumincart-control "$folder/control.jsonc" >"$folder/control.out" &
started+=($!)
control=http://$(address "$folder/control.out" http)
target/release/cumincart-standin --service "$service" --announce-to "$control" \
    --load "create table emergency_numbers (region text primary key, number text not null)" \
    >"$folder/standin.out" &
started+=($!)
address "$folder/standin.out" "$service-3" >/dev/null
target/release/cumincart-entry "$folder/entry.jsonc" >"$folder/entry.out" &
entry_process=$!
started+=("$entry_process")
entry=http://$(address "$folder/entry.out" http)
target/release/cumincart apply --control "$control" --token-file "$folder/operator-token" \
    --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc >/dev/null
target/release/cumincart-load run --entry "$entry" --service "$service" --route emergency-number \
    --argument region=plovdiv --rate "$rate" --span-s "$span_s" --process "$entry_process"
