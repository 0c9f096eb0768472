#!/usr/bin/env bash
# Starts a system of three data centres as separate processes on loopback, files
# tickets, sends requests, kills a node, and compares the transcript with
# demo/transcript.golden. It ends only processes that it started, by id.
#   DEMO_PORT     first of about 200 ports (default 21000)
#   DEMO_UPDATE=1 writes the golden file instead of comparing
set -euo pipefail
cd "$(dirname "$0")/.."

port=${DEMO_PORT:-21000}
platform=127.0.0.1:$port
work=$(mktemp -d)
declare -A pids=()

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -9 "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
}
finish() {
  local status=$?
  stop_all
  if [ "$status" != 0 ]; then
    echo "demo failed; the logs are in $work" >&2
    tail -n 5 "$work"/*.log >&2 || true
  else
    rm -rf "$work"
  fi
}
trap finish EXIT

# start NAME PROGRAM ARGUMENT...
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}
address() { echo "127.0.0.1:$((port + 10 * $1 + $2))"; }
say() { printf '\n# %s\n' "$1"; }
ctl() {
  echo "\$ gentianctl $*"
  { ./bin/gentianctl "$@" --platform "http://$platform" 2>&1 || echo "exit code $?"; } |
    sed -E 's/[0-9]{4}-[0-9]{2}-[0-9]{2} [0-9:]{8} UTC/TIME/'
}

# wait_for DESCRIPTION COMMAND... tries for at most 20 seconds.
wait_for() {
  local what=$1 tries
  shift
  for tries in $(seq 100); do
    if "$@" >/dev/null 2>&1; then
      echo "$what"
      return
    fi
    sleep 0.2
  done
  echo "NOT REACHED: $what" >&2
  exit 1
}

hosts=(
  "reyk-a-1 reyk-a status-page" "reyk-a-2 reyk-a status-page" "reyk-a-3 reyk-a booking" "reyk-a-4 reyk-a bench-media"
  "reyk-b-1 reyk-b status-page" "reyk-b-2 reyk-b booking" "reyk-b-3 reyk-b bench-media"
  "hafn-c-1 hafn-c status-page" "hafn-c-2 hafn-c booking" "hafn-c-3 hafn-c bench-media"
)
declare -A number=()
for i in "${!hosts[@]}"; do
  read -r host _ <<<"${hosts[$i]}"
  number[$host]=$((i + 1))
done
kill_host() {
  local name
  for name in "node-$1" "target-$1"; do
    kill -9 "${pids[$name]}"
    wait "${pids[$name]}" 2>/dev/null || true
  done
}
callers() { address "${number[$1]}" 1; }
nodes() { address "${number[$1]}" 2; }
targets() { address "${number[$1]}" 3; }
admin() { address "${number[$1]}" 4; }

write_settings() {
  local host=$1 data_centre=$2
  cat >"$work/$host.yaml" <<SETTINGS
host: $host
data-centre: $data_centre
region: is-south
rack: $host
listen:
  callers: $(callers "$host")
  nodes: $(nodes "$host")
  targets: $(targets "$host")
  admin: $(admin "$host")
platform: http://$platform
seed-peers: [$(nodes "$data_centre-1"), $(nodes "$data_centre-2")]
SETTINGS
}
start_node() { start "node-$1" ./bin/gentian-node --settings "$work/$1.yaml"; }
ready() { ./bin/gentianctl config --node "$(admin "$1")" --output json | grep "\"running\": *$2\b" >/dev/null; }
all_run() {
  local entry host
  for entry in "${hosts[@]}"; do
    read -r host _ <<<"$entry"
    [ "$host" = "${killed:-}" ] || ready "$host" "$1" || return 1
  done
}
# knows HOST COUNT: the node knows that many ready targets in its data centre.
knows() { [ "$(./bin/gentianctl targets --node "$(admin "$1")" | grep -cw ready)" = "$2" ]; }
all_know() {
  knows reyk-a-1 "$1" && knows reyk-b-1 3 && knows hafn-c-1 3
}

run_demo() {
  say "The platform, ten nodes and their targets start as separate processes."
  start platform ./bin/platform-standin --listen "$platform"
  local entry host data_centre service
  for entry in "${hosts[@]}"; do
    read -r host data_centre service <<<"$entry"
    write_settings "$host" "$data_centre"
    start_node "$host"
    start "target-$host" ./bin/target-standin --service "$service" --node "$(targets "$host")" \
      --slots 20 --connections 110
  done
  wait_for "every target is known in its data centre" all_know 4

  say "An operator files a ticket; the author may not approve it; another operator does."
  ctl ticket file demo/ticket-1.yaml --author sigrun --firm frothvik
  ctl ticket approve 1 --author sigrun
  ctl ticket approve 1 --author jon
  wait_for "version 1 is in force on every node" all_run 1

  say "A ticket whose route names no service is refused, and says why."
  ctl ticket plan demo/ticket-2.yaml
  ctl ticket file demo/ticket-2.yaml --author jon --firm frothvik
  ctl ticket approve 2 --author sigrun

  say "Requests reach any node and are served by the right target."
  ./bin/caller-standin --node "$(callers reyk-a-4)" --read /status/machine-7 --reads 50
  ./bin/caller-standin --node "$(callers reyk-b-3)" --book /bookings/41 --key booking-41
  ./bin/caller-standin --node "$(callers hafn-c-1)" --upload /media/wand-41.mp4 --upload-mb 64

  say "A host dies without a word. Reads go on through the others."
  kill_host reyk-a-1
  killed=reyk-a-1
  ./bin/caller-standin --node "$(callers reyk-a-4)" --read /status/machine-7 --reads 50

  say "The host returns and runs the accepted version."
  start_node reyk-a-1
  start target-reyk-a-1 ./bin/target-standin --service status-page --node "$(targets reyk-a-1)" --slots 20 --connections 110
  killed=
  wait_for "version 1 is in force on every node" all_run 1

  say "A node is asked to stop during an upload. The upload ends whole, then the node ends."
  ./bin/caller-standin --node "$(callers reyk-b-1)" --upload /media/wand-42.mp4 --upload-mb 16 --pause-every-mb 100ms &
  local upload=$!
  sleep 0.5
  kill -TERM "${pids[node-reyk-b-1]}"
  wait "$upload"
  wait "${pids[node-reyk-b-1]}" && echo "the node ended with code 0"
}

# The demo runs in this shell, so that the trap knows every process.
run_demo > >(tee "$work/transcript")
wait $! || true
if [ "${DEMO_UPDATE:-}" = 1 ]; then
  cp "$work/transcript" demo/transcript.golden
  exit 0
fi
diff -u demo/transcript.golden "$work/transcript"
echo
echo "the transcript agrees with demo/transcript.golden"
