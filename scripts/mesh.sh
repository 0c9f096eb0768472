# Functions of the whole-path sessions. A session is a script that sources this
# file, defines the function "session", and ends with "play NAME": its transcript
# is compared with sessions/NAME.golden. Processes run on loopback; the script
# ends only processes that it started, by id.
#   SESSION_PORT     first of about 200 ports (default 21000)
#   SESSION_UPDATE=1 writes the golden file instead of comparing
# shellcheck shell=bash
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

port=${SESSION_PORT:-21000}
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
    # The end of the output is what CI keeps: what was reached stands there.
    tail -n 5 "$work"/*.log >&2 || true
    echo "session $0 failed with code $status; the logs are in $work; its transcript ended with:" >&2
    tail -n 8 "$work/transcript" >&2 || true
    [ ! -e "$work/not-reached" ] || cat "$work/not-reached" >&2
  else
    rm -rf "$work"
  fi
}
trap finish EXIT

# start NAME PROGRAM ARGUMENT...
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 8>&- &
  pids[$name]=$!
}
address() { echo "127.0.0.1:$((port + 10 * $1 + $2))"; }
say() { printf '\n# %s\n' "$1"; }
ctl() {
  echo "\$ gentianctl $*"
  { ./bin/gentianctl "$@" --platform "http://$platform" 2>&1 || echo "exit code $?"; } |
    sed -E 's/[0-9]{4}-[0-9]{2}-[0-9]{2} [0-9:]{8} UTC/TIME/'
}

# wait_for DESCRIPTION COMMAND... tries for at most a minute: a busy machine is no failure.
wait_for() {
  local what=$1 tries
  shift
  for tries in $(seq 300); do
    if "$@" >/dev/null 2>&1; then
      echo "$what"
      return
    fi
    sleep 0.2
  done
  echo "NOT REACHED: $what" | tee "$work/not-reached" >&2
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
target_address() { address "${number[$1]}" 5; }

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

# send METHOD ADDRESS PATH [BODY] changes a switch of a stand-in.
send() {
  local to=$2 body=${4:-}
  exec 9<>"/dev/tcp/${to%:*}/${to#*:}"
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" "$to" "${#body}" "$body" >&9
  head -n 1 <&9 | grep -q ' 20[0-9] '
  exec 9<&- 9>&-
}
put_json() { send PUT "$1" "$2" "$3"; }
post() { send POST "$1" "$2"; }
platform_faults() { put_json "$platform" /admin/faults "$1"; }
target_faults() { put_json "$(target_address "$1")" /admin/faults "$2"; }

# get ADDRESS PATH prints the body of an answer.
get() {
  local to=$1
  exec 9<>"/dev/tcp/${to%:*}/${to#*:}"
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\nConnection: close\r\n\r\n' "$2" "$to" >&9
  cat <&9
  exec 9<&- 9>&-
}
is_ready() { get "$(admin "$1")" /readyz | grep -q ' 200 '; }
not_ready() { ! is_ready "$1"; }

start_target() {
  local entry host service
  for entry in "${hosts[@]}"; do
    read -r host _ service <<<"$entry"
    [ "$host" = "$1" ] || continue
    start "target-$host" ./bin/target-standin --service "$service" --node "$(targets "$host")" \
      --listen "$(target_address "$host")" --slots 20 --connections 110
  done
}

# none_ended fails when a process has ended, as it does when its port is taken.
none_ended() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || { echo "$name has ended; set SESSION_PORT if its port is taken" >&2; exit 1; }
  done
}

# start_mesh starts the platform, every node and every target.
start_mesh() {
  start platform ./bin/platform-standin --listen "$platform"
  local entry host data_centre
  for entry in "${hosts[@]}"; do
    read -r host data_centre _ <<<"$entry"
    write_settings "$host" "$data_centre"
    start_node "$host"
    start_target "$host"
  done
  wait_for "every target is known in its data centre" all_know 4
  none_ended
}

# first_ticket files and approves the first ticket and waits for it.
first_ticket() {
  ctl ticket file sessions/ticket-1.yaml --author sigrun --firm frothvik
  ctl ticket approve 1 --author jon
  wait_for "version 1 is in force on every node" all_run 1
}

# play NAME runs the session in this shell, so that the trap knows every process.
play() {
  local tee
  exec 8> >(tee "$work/transcript")
  tee=$!
  session >&8
  exec 8>&-
  wait "$tee"
  if [ "${SESSION_UPDATE:-}" = 1 ]; then
    cp "$work/transcript" "sessions/$1.golden"
    return
  fi
  diff -u "sessions/$1.golden" "$work/transcript"
  printf '\nthe transcript agrees with sessions/%s.golden\n' "$1"
}
