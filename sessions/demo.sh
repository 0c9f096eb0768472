#!/usr/bin/env bash
# A first look: three data centres, tickets, requests, a killed host, a drained node.
source "$(dirname "$0")/../scripts/mesh.sh"

# reported N: the status of ticket N counts every node of every data centre.
reported() {
  local status
  status=$(./bin/gentianctl ticket show "$1" --platform "http://$platform")
  grep -q "hafn-c .*3 of 3" <<<"$status" && grep -q "reyk-a .*4 of 4" <<<"$status" && grep -q "reyk-b .*3 of 3" <<<"$status"
}

session() {
  say "The platform, ten nodes and their targets start as separate processes."
  start_mesh

  say "An operator files a ticket; the author may not approve it; another operator does."
  ctl ticket file sessions/ticket-1.yaml --author sigrun --firm frothvik
  ctl ticket approve 1 --author sigrun
  ctl ticket approve 1 --author jon
  wait_for "version 1 is in force on every node" all_run 1

  wait_for "every data centre has reported the version in force" reported 1
  ctl ticket show 1

  say "A ticket whose route names no service is refused, and says why."
  ctl ticket plan sessions/ticket-2.yaml
  ctl ticket file sessions/ticket-2.yaml --author jon --firm frothvik
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
  start_target reyk-a-1
  killed=
  wait_for "version 1 is in force on every node" all_run 1

  say "A node is asked to stop during an upload. The upload ends whole, then the node ends."
  ./bin/caller-standin --node "$(callers reyk-b-1)" --upload /media/wand-42.mp4 --upload-mb 16 --pause-every-mb 100ms 8>&- &
  local upload=$!
  sleep 0.5
  kill -TERM "${pids[node-reyk-b-1]}"
  wait "$upload"
  wait "${pids[node-reyk-b-1]}" && echo "the node ended with code 0"
}

play demo
