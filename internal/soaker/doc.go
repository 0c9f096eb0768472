// Package soaker holds the fault soak: it runs real nodes as separate
// processes on loopback, with stand-ins of the users' platform around them, and
// harms them from outside while callers send requests.
//
// A seed draws the faults, their times and their places. They overlap and come
// more than once: connections that are slow, reset, cut one way or silent for
// good; nodes that are stopped, paused, killed and started again; targets that
// crash, leave, lose answers or are slow; a store that is away, busy, slow, loses
// answers or its history. Configurations change all the while. Then everything
// heals, and the promises are checked from what callers and targets have seen.
//
//	go test ./internal/soaker                               # the seeds that once failed, and one more
//	go test ./internal/soaker -soak.seeds 50 -soak.timed    # fifty seeds, with the bounds in time
//
// Bounds in time are checked only with -soak.timed, on a machine that does little else.
package soaker
