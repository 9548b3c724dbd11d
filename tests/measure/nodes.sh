#!/usr/bin/env bash
# Measures real node processes on loopback: memory, processor time and control traffic of a node
# in a calm fleet. By hand, not in CI: its figures depend on the machine.
#   tests/measure/nodes.sh NODES [SECONDS]
# Starts NODES node processes and a stand-in platform, waits until all know all, then measures for
# SECONDS (default 20). Ends the processes that it started, by their ids.
set -euo pipefail
cd "$(dirname "$0")/../.."
nodes=${1:?how many nodes}
seconds=${2:-20}
cargo build --release --locked --bins >&2
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; rm -rf "$work"; }
trap stop EXIT

first_line() { # FILE: waits for the first line that a process prints
  for _ in $(seq 200); do [ -s "$1" ] && { head -n 1 "$1"; return; }; sleep 0.05; done
  echo "a process printed nothing" >&2; exit 1
}
field() { sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/"; }

"$bin/catkinmast-standin" platform > "$work/platform" &
pids+=($!)
platform=$(first_line "$work/platform")
peers=""
http=()
node_pids=()
for n in $(seq 0 $((nodes - 1))); do
  "$bin/catkinmast-node" --name "entry-$n" --data-centre "salle-$((n % 5))" \
    --http 127.0.0.1:0 --control 127.0.0.1:0 --peers "$peers" --platform "$platform" \
    --shared-key "only for a measurement" --open-access --log-level error \
    > "$work/node-$n" 2> "$work/log-$n" &
  pids+=($!); node_pids+=($!)
  line=$(first_line "$work/node-$n")
  http+=("$(echo "$line" | field http)")
  [ "$n" -lt 3 ] && peers="${peers:+$peers,}$(echo "$line" | field control)"
done
last=${http[$((nodes - 1))]}
for _ in $(seq 120); do
  known=$(curl -s "http://$last/v1/status" | grep -o '"refutation"' | wc -l)
  [ "$known" -ge "$nodes" ] && break
  sleep 0.5
done
sleep 5

bytes() { # sent and received by all nodes
  for at in "${http[@]}"; do curl -s "http://$at/metrics"; done |
    awk '/^catkinmast_control_(sent|received)_bytes_total/ {sum += $2} END {print sum}'
}
ticks() { # processor time of all nodes, in clock ticks
  for pid in "${node_pids[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done |
    awk '{sum += $1} END {print sum}'
}
bytes_before=$(bytes); ticks_before=$(ticks)
sleep "$seconds"
ticks_after=$(ticks); bytes_after=$(bytes)
rss=$(for pid in "${node_pids[@]}"; do awk '/^VmRSS/ {print $2}' "/proc/$pid/status"; done |
  awk '{sum += $1} END {print sum}')
anon=$(for pid in "${node_pids[@]}"; do awk '/^RssAnon/ {print $2}' "/proc/$pid/status"; done |
  awk '{sum += $1} END {print sum}')
awk -v n="$nodes" -v s="$seconds" -v hz="$(getconf CLK_TCK)" -v t="$((ticks_after - ticks_before))" \
  -v b="$((bytes_after - bytes_before))" -v rss="$rss" -v anon="$anon" -v known="$known" 'BEGIN {
    printf "nodes %d (known to the last: %d): RSS %.1f MB, of it anonymous %.1f MB, %.3f %% of a core, %.0f payload bytes/s of control, each\n",
      n, known, rss / n / 1024, anon / n / 1024, 100 * t / hz / s / n, b / s / n }'
