package logger

import "slices"

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	all := slices.Concat(lifecycleEvents, distributionEvents, membershipEvents, requestEvents, limitEvents, platformEvents)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
