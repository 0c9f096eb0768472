#!/usr/bin/env bash
# Measures a fleet of node processes of one data centre on loopback, with the
# platform stand-in. Prints one line of figures for each step: processor time,
# memory and control bytes of nodes and relays, calls of the platform, time
# until a change is in force, and a restart of all nodes at once.
#
#   scripts/measure-fleet.sh NODES [SECONDS] [SERVICES]
#   SURVEY_PORT   first of 4 ports a node (default 10000; they end below 32768)
#
# It ends only processes that it started, by id.
set -euo pipefail
cd "$(dirname "$0")/.."

nodes=${1:?number of nodes}
seconds=${2:-20}
services=${3:-3600}
port=${SURVEY_PORT:-10000}
most_nodes=300
memory_mb=16000
if [ "$nodes" -lt 2 ] || [ "$nodes" -gt "$most_nodes" ]; then
  echo "NODES is from 2 to $most_nodes" >&2
  exit 2
fi
free_mb=$(awk '/^MemAvailable/ {print int($2 / 1024)}' /proc/meminfo)
if [ "$free_mb" -lt "$memory_mb" ]; then
  echo "less than half of the machine's memory is free" >&2
  exit 2
fi

work=$(mktemp -d)
platform=127.0.0.1:$((port - 1))
pids=()
platform_pid=
watcher_pid=

stop_nodes() {
  local pid
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() {
  local status=$?
  stop_nodes
  [ -z "$watcher_pid" ] || kill -9 "$watcher_pid" 2>/dev/null || true
  [ -z "$platform_pid" ] || kill -9 "$platform_pid" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ "$status" = 0 ]; then rm -rf "$work"; else echo "failed; the logs are in $work" >&2; fi
}
trap finish EXIT

address() { echo "127.0.0.1:$((port + 4 * $1 + $2))"; }

write_settings() {
  cat >"$work/node-$1.yaml" <<SETTINGS
host: buc-a-$1
data-centre: buc-a
region: ro-buc
rack: rack-$(($1 / 20))
listen:
  callers: $(address "$1" 0)
  nodes: $(address "$1" 1)
  targets: $(address "$1" 2)
  admin: $(address "$1" 3)
platform: http://$platform
seed-peers: [$(address 0 1), $(address 1 1)]
SETTINGS
}

# start_nodes starts every node and lists it in the file "nodes".
start_nodes() {
  local i
  : >"$work/nodes"
  for ((i = 0; i < nodes; i++)); do
    ./bin/gentian-node --settings "$work/node-$i.yaml" >>"$work/node-$i.log" 2>&1 &
    pids+=($!)
    echo "buc-a-$i $! $(address "$i" 3)" >>"$work/nodes"
  done
}

# watch_memory ends the fleet when the nodes together take half of the machine's memory.
watch_memory() {
  local used
  while sleep 2; do
    used=$(awk '/^Rss:/ {s += $2} END {print int(s / 1024)}' $(awk '{print "/proc/" $2 "/smaps_rollup"}' "$work/nodes") 2>/dev/null || echo 0)
    if [ "$used" -gt "$memory_mb" ]; then
      echo "the nodes take $used MB; ending" >&2
      kill -TERM $$
    fi
  done
}

counts() {
  exec 9<>"/dev/tcp/${platform%:*}/${platform#*:}"
  printf 'GET /admin/counts HTTP/1.0\r\nHost: %s\r\n\r\n' "$platform" >&9
  tail -n 1 <&9
  exec 9<&- 9>&-
}

survey() { ./bin/surveyor -nodes "$work/nodes" -platform "http://$platform" -data-centre buc-a "$@"; }

# measure_operator times a command that reads the whole configuration.
measure_operator() {
  cat >"$work/ticket.yaml" <<TICKET
reason: measurement
commit: "0"
services:
  - {name: service-0, firm: firm-0, slots: 10, connections: 120, queue: 1, bulk-percent: 50, urgent-slots: 2, retry-percent: 10}
TICKET
  /usr/bin/time -f "operator ticket plan: wall=%es user=%Us system=%Ss most-rss-KB=%M" \
    ./bin/gentianctl ticket plan "$work/ticket.yaml" --platform "http://$platform" 2>&1 >"$work/plan.log"
}

go build -o bin/ ./cmd/gentian-node ./cmd/gentianctl ./cmd/platform-standin ./internal/surveyor
for ((i = 0; i < nodes; i++)); do write_settings "$i"; done
./bin/platform-standin --listen "$platform" >"$work/platform.log" 2>&1 &
platform_pid=$!
start_nodes
watch_memory &
watcher_pid=$!
survey -step survey -services "$services" -seconds "$seconds"
measure_operator

stop_nodes
counts >"$work/counts"
begun=$(date +%s%3N)
start_nodes
survey -step restart -begun "$begun" -before "$work/counts"
