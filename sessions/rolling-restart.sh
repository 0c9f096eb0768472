#!/usr/bin/env bash
# Every host of a data centre but one is replaced, one after the other, under reads and an upload. No request fails.
source "$(dirname "$0")/../scripts/mesh.sh"

# read_on reads until the file "$work/enough" is there, and prints whether every read was done.
read_on() {
  local bad=0
  while [ ! -e "$work/enough" ]; do
    ./bin/caller-standin --node "$(callers reyk-a-4)" --read /status/machine-7 --reads 100 >>"$work/reads.log" || bad=$((bad + 1))
  done
  echo "batches of reads with a failure: $bad"
}

session() {
  say "Three of the four hosts of reyk-a are drained and replaced while callers read and upload."
  start_mesh
  first_ticket
  read_on >"$work/reads.out" 8>&- &
  local reader=$! host upload
  for host in reyk-a-1 reyk-a-2 reyk-a-3; do
    ./bin/caller-standin --node "$(callers "$host")" --upload "/media/$host.mp4" --upload-mb 8 --pause-every-mb 100ms 8>&- &
    upload=$!
    sleep 0.3
    kill -TERM "${pids[node-$host]}"
    wait "$upload"
    wait "${pids[node-$host]}"
    kill -TERM "${pids[target-$host]}"
    wait "${pids[target-$host]}" || true
    echo "$host has drained and ended"
    start_node "$host"
    start_target "$host"
    wait_for "$host is ready again" is_ready "$host"
    wait_for "its target is known again" knows reyk-a-4 4
  done
  touch "$work/enough"
  wait "$reader"
  cat "$work/reads.out"
}

play rolling-restart
