#!/usr/bin/env bash
# Processes freeze and thaw: a relay past its lease, and targets in the middle of a booking.
source "$(dirname "$0")/../scripts/mesh.sh"

# relay_of DATA_CENTRE prints the host that holds relay slot 0.
relay_of() {
  get "$(admin "$1-1")" /debug/blackboard | tr -d ' \n' | grep -o '"slot":0,"epoch":[0-9]*,"host":"[^"]*"' | sed 's/.*"host":"//; s/"//' | awk 'NR==1'
}
has_relay() { [ -n "$(relay_of "$1")" ]; }
# bookings_run KEY prints how often any target ran the booking with the key.
bookings_run() {
  local host total=0 n
  for host in reyk-a-3 reyk-b-2 hafn-c-2; do
    n=$(get "$(target_address "$host")" /admin/counts | grep -o "\"$1\":[0-9]*" | grep -o '[0-9]*$' | awk 'NR==1' || true)
    total=$((total + ${n:-0}))
  done
  echo "$total"
}

session() {
  say "A relay of reyk-b is frozen while a new version is accepted."
  start_mesh
  first_ticket
  wait_for "reyk-b has a relay" has_relay reyk-b
  local relay
  relay=$(relay_of reyk-b)
  kill -STOP "${pids[node-$relay]}"
  killed=$relay
  ctl ticket file sessions/ticket-3.yaml --author sigrun --firm frothvik
  ctl ticket approve 2 --author jon
  wait_for "version 2 is in force on every other node" all_run 2

  say "It thaws long after its lease lapsed, catches up, and takes nobody back."
  sleep 16
  kill -CONT "${pids[node-$relay]}"
  killed=
  wait_for "version 2 is in force on every node" all_run 2

  say "Every booking target freezes with the request in its hands. The caller is told that the outcome is unknown."
  local host
  for host in reyk-a-3 reyk-b-2 hafn-c-2; do target_faults "$host" '{"fault": "frozen"}'; done
  ./bin/caller-standin --node "$(callers reyk-a-4)" --book /bookings/42 --key booking-42 || true
  for host in reyk-a-3 reyk-b-2 hafn-c-2; do target_faults "$host" '{}'; done

  say "The caller asks again with the same key, through another node. The booking is not run a second time."
  ./bin/caller-standin --node "$(callers reyk-a-2)" --book /bookings/42 --key booking-42 || true
  echo "runs of the booking at all targets: $(bookings_run booking-42)"
}

play frozen
