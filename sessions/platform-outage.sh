#!/usr/bin/env bash
# The platform loses answers, then goes away: requests go on, no node runs an
# older version, and a data centre without evidence serves nothing.
source "$(dirname "$0")/../scripts/mesh.sh"

session() {
  say "Every second answer of the platform to a write is lost after the write took effect."
  start_mesh
  platform_faults '{"lose-answers": 2}'
  first_ticket

  say "The platform goes away. Requests go on; an operator is told that nothing was done."
  platform_faults '{"outage": true}'
  ctl ticket file sessions/ticket-3.yaml --author sigrun --firm frothvik
  ./bin/caller-standin --node "$(callers reyk-a-4)" --read /status/machine-7 --reads 50

  say "A host dies and returns while the platform is away. Its peers tell what it may run."
  kill_host reyk-a-2
  start_node reyk-a-2
  start_target reyk-a-2
  wait_for "reyk-a-2 runs version 1" ready reyk-a-2 1
  wait_for "reyk-a-2 takes requests" is_ready reyk-a-2
  ./bin/caller-standin --node "$(callers reyk-a-2)" --read /status/machine-7 --reads 50

  say "Every host of hafn-c restarts at once. None knows what it ran before, so none serves."
  local host
  for host in hafn-c-1 hafn-c-2 hafn-c-3; do kill_host "$host"; done
  for host in hafn-c-1 hafn-c-2 hafn-c-3; do start_node "$host"; done
  for host in hafn-c-1 hafn-c-2 hafn-c-3; do start_target "$host"; done
  wait_for "hafn-c knows its targets again" knows hafn-c-1 3
  sleep 5
  for host in hafn-c-1 hafn-c-2 hafn-c-3; do
    not_ready "$host" && echo "$host serves nothing"
  done
  ./bin/caller-standin --node "$(callers hafn-c-1)" --read /status/machine-7 --reads 5 || true

  say "The platform returns. hafn-c serves, and the next ticket is in force everywhere."
  platform_faults '{}'
  wait_for "version 1 is in force on every node" all_run 1
  ctl ticket file sessions/ticket-3.yaml --author sigrun --firm frothvik
  ctl ticket approve 2 --author jon
  wait_for "version 2 is in force on every node" all_run 2
  ./bin/caller-standin --node "$(callers hafn-c-1)" --read /status/machine-7 --reads 50
}

play platform-outage
