#!/usr/bin/env bash
# A data centre loses its only target of a service: requests go to another data centre, and come back.
source "$(dirname "$0")/../scripts/mesh.sh"

# knows_remote HOST TEXT: the node knows this of another data centre.
knows_remote() { ./bin/gentianctl targets --node "$(admin "$1")" | grep "$2" >/dev/null; }
lacks_target() { ! ./bin/gentianctl targets --node "$(admin "$1")" | grep "$2.*ready.*alive" >/dev/null; }

session() {
  say "Each data centre knows what the others have."
  start_mesh
  first_ticket
  wait_for "hafn-c knows the booking target of reyk-a" knows_remote hafn-c-1 "booking .*1 target.* in reyk-a"
  wait_for "reyk-a knows the booking target of hafn-c" knows_remote reyk-a-1 "booking .*1 target.* in hafn-c"

  say "hafn-c loses its only booking target. Stock checks and a booking are served by another data centre."
  kill_host hafn-c-2
  ./bin/caller-standin --node "$(callers hafn-c-1)" --read /stock/wand-9 --reads 50
  wait_for "hafn-c has no booking target of its own" lacks_target hafn-c-1 booking
  ./bin/caller-standin --node "$(callers hafn-c-1)" --book /bookings/43

  say "The host returns and is used again."
  start_node hafn-c-2
  start_target hafn-c-2
  wait_for "version 1 is in force on every node" all_run 1
  wait_for "hafn-c knows its targets again" knows hafn-c-1 3
  ./bin/caller-standin --node "$(callers hafn-c-1)" --read /stock/wand-9 --reads 50

  say "The target of reyk-b is asked to drain. Its node refuses at once, and others are asked."
  post "$(target_address reyk-b-2)" /admin/drain
  ./bin/caller-standin --node "$(callers reyk-b-1)" --read /stock/wand-9 --reads 50
}

play spill
